//! Calls that are out, and what each carries.
use crate::Timestamp;
use rustc_hash::FxHashMap;

/// One call, carrying one message or a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// When it was sent.
    pub sent_at: Timestamp,
    /// How long its endpoint had been without an answer then, in seconds.
    pub idle_seconds: f64,
    /// The places of the lines that it went by.
    pub routes: [Option<usize>; 2],
}

/// What the end of one message tells of its call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallProgress {
    /// The call.
    pub call: Call,
    /// Nothing was told of it before.
    pub is_first: bool,
    /// All of its messages have ended.
    pub is_complete: bool,
}

/// All of them, by numbers that are never used again.
#[derive(Clone, Default)]
pub struct InFlightCalls {
    out: FxHashMap<u64, (Call, usize, bool)>,
    next: u64,
}

impl InFlightCalls {
    /// How many are out.
    pub fn len(&self) -> usize {
        self.out.len()
    }

    /// A call begins, with one message: its number.
    pub fn begin(&mut self, call: Call) -> u64 {
        self.next += 1;
        self.out.insert(self.next, (call, 1, false));
        self.next
    }

    /// One more message goes with a call.
    pub fn join(&mut self, number: u64) {
        if let Some((_, left, _)) = self.out.get_mut(&number) {
            *left += 1;
        }
    }

    /// A call that is out.
    pub fn get(&self, number: u64) -> Option<&Call> {
        self.out.get(&number).map(|(call, ..)| call)
    }

    /// One message of a call has ended.
    pub fn end(&mut self, number: u64) -> Option<CallProgress> {
        let (call, left, told) = self.out.get_mut(&number)?;
        *left -= 1;
        let ended =
            CallProgress { call: *call, is_first: !std::mem::replace(told, true), is_complete: *left == 0 };
        if ended.is_complete {
            self.out.remove(&number);
        }
        Some(ended)
    }
}

#[cfg(test)]
mod tests;
