//! Requests of clients that arrive in two pieces.
use super::World;
use crate::plan::{PlannedFault, SeededRng};
use std::time::Duration;

/// How the clients of a sender cut their requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCuts {
    /// The share of requests that are cut.
    share: f64,
    /// Upper bound of the time between the two pieces.
    max_pause: Duration,
}

impl RequestCuts {
    /// Returns the cuts that a fault asks for.
    pub fn of(fault: &PlannedFault) -> Self {
        Self { share: fault.call_share, max_pause: Duration::from_micros(fault.delay.0) }
    }
}

/// The cut of one request.
pub(super) struct RequestCut {
    /// The number of bytes in the first piece.
    pub(super) first_bytes: usize,
    /// The time between the two pieces.
    pub(super) pause: Duration,
}

impl World {
    /// Draws whether and where a client of `sender` cuts the request of `length` bytes that submits message
    /// `id`.
    pub(super) fn draw_request_cut(&self, sender: u32, id: &str, length: usize) -> Option<RequestCut> {
        let cuts = self.senders[sender as usize].request_cuts.get()?;
        let mut random = SeededRng::new(self.plan.seed, &format!("cut {id}"));
        if !random.chance(cuts.share) {
            return None;
        }
        self.cut_requests.set(self.cut_requests.get() + 1);
        let pause = cuts.max_pause.mul_f64(random.unit());
        Some(RequestCut { first_bytes: 1 + random.below(length - 1), pause })
    }

    /// Returns the number of requests that were cut.
    pub fn cut_requests(&self) -> u64 {
        self.cut_requests.get()
    }
}
