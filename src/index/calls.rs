//! Calls in flight, with the number of messages that each carries.
use crate::Timestamp;
use rustc_hash::FxHashMap;

/// A call that carries one message or a batch of messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// When the call was sent.
    pub sent_at: Timestamp,
    /// The time since the last response of the endpoint when the call was sent, in seconds.
    pub idle_seconds: f64,
    /// The slots of the routes: the endpoint's own route, and the one that all endpoints of the destination
    /// share.
    pub routes: [Option<usize>; 2],
}

/// The progress of a call after one of its messages has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallProgress {
    /// The call to which the ended message belongs.
    pub call: Call,
    /// Whether this message is the first one of the call to end.
    pub is_first: bool,
    /// Whether all messages of the call have ended.
    pub is_complete: bool,
}

#[derive(Clone)]
struct CallInFlight {
    call: Call,
    open_messages: usize,
    has_ended_message: bool,
}

/// All calls in flight, by call number. Numbers are never reused.
#[derive(Clone, Default)]
pub struct InFlightCalls {
    by_number: FxHashMap<u64, CallInFlight>,
    last_number: u64,
}

impl InFlightCalls {
    /// Returns the number of calls in flight.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Adds a call with one message, and returns the number of the call.
    pub fn begin(&mut self, call: Call) -> u64 {
        self.last_number += 1;
        let in_flight = CallInFlight { call, open_messages: 1, has_ended_message: false };
        self.by_number.insert(self.last_number, in_flight);
        self.last_number
    }

    /// Adds one message to a call; does nothing if the call is not in flight.
    pub fn join(&mut self, number: u64) {
        if let Some(in_flight) = self.by_number.get_mut(&number) {
            in_flight.open_messages += 1;
        }
    }

    /// Returns the call with a number, or `None` if it is not in flight.
    pub fn get(&self, number: u64) -> Option<&Call> {
        self.by_number.get(&number).map(|in_flight| &in_flight.call)
    }

    /// Records that one message of a call has ended, and removes the call after its last message. Returns
    /// `None` if the call is not in flight.
    pub fn end(&mut self, number: u64) -> Option<CallProgress> {
        let in_flight = self.by_number.get_mut(&number)?;
        in_flight.open_messages -= 1;
        let progress = CallProgress {
            call: in_flight.call,
            is_first: !in_flight.has_ended_message,
            is_complete: in_flight.open_messages == 0,
        };
        in_flight.has_ended_message = true;
        if progress.is_complete {
            self.by_number.remove(&number);
        }
        Some(progress)
    }
}

#[cfg(test)]
mod tests;
