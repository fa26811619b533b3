//! Calls in flight, and the messages that each carries.
use crate::Timestamp;
use rustc_hash::FxHashMap;

/// One call, carrying one message or a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// When it was sent.
    pub sent_at: Timestamp,
    /// How long its endpoint had been without an answer then, in seconds.
    pub idle_seconds: f64,
    /// The slots of its routes: the endpoint's own, and the one shared by its destination.
    pub routes: [Option<usize>; 2],
}

/// How far a call has got when one of its messages ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallProgress {
    /// The call.
    pub call: Call,
    /// Whether this is the first of its messages to end.
    pub is_first: bool,
    /// Whether all of its messages have ended.
    pub is_complete: bool,
}

#[derive(Clone)]
struct CallInFlight {
    call: Call,
    open_messages: usize,
    has_ended_message: bool,
}

/// All calls in flight, by numbers that are never used again.
#[derive(Clone, Default)]
pub struct InFlightCalls {
    by_number: FxHashMap<u64, CallInFlight>,
    last_number: u64,
}

impl InFlightCalls {
    /// Returns how many calls are in flight.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Adds a call with one message; returns its number.
    pub fn begin(&mut self, call: Call) -> u64 {
        self.last_number += 1;
        let in_flight = CallInFlight { call, open_messages: 1, has_ended_message: false };
        self.by_number.insert(self.last_number, in_flight);
        self.last_number
    }

    /// Adds one more message to a call.
    pub fn join(&mut self, number: u64) {
        if let Some(in_flight) = self.by_number.get_mut(&number) {
            in_flight.open_messages += 1;
        }
    }

    /// Returns a call in flight.
    pub fn get(&self, number: u64) -> Option<&Call> {
        self.by_number.get(&number).map(|in_flight| &in_flight.call)
    }

    /// Records that one message of a call has ended; the call goes with its last message.
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
