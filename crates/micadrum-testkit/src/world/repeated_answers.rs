//! Answers that a stand-in sends more than once on a connection.
use super::World;
use crate::http::HttpConnection;
use crate::plan::PlannedFault;
use crate::scenario::RepeatTrigger;
use std::time::Duration;
use tokio::time::Instant;

/// How a stand-in repeats its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Repetition {
    /// The share of answers that are repeated.
    share: f64,
    /// Upper bound of the time from the trigger to the repetition.
    max_delay: Duration,
    trigger: RepeatTrigger,
}

impl Repetition {
    /// Returns the repetition that a fault asks for.
    pub fn of(fault: &PlannedFault) -> Self {
        Self {
            share: fault.call_share,
            max_delay: Duration::from_micros(fault.delay.0),
            trigger: fault.repeat_trigger,
        }
    }
}

impl World {
    /// Has the last answer on a connection repeated, if `trigger` is the one of `repetition` and chance has it.
    pub(super) fn repeat_answer(
        &self,
        http: &mut HttpConnection,
        repetition: Option<Repetition>,
        trigger: RepeatTrigger,
    ) {
        let Some(repetition) = repetition.filter(|repetition| repetition.trigger == trigger) else { return };
        let mut random = self.repetition_random.borrow_mut();
        let (is_repeated, part) = (random.chance(repetition.share), random.between(0.0, 1.0));
        if is_repeated && http.repeat_last_answer(Instant::now() + repetition.max_delay.mul_f64(part)) {
            self.repeated_answers.set(self.repeated_answers.get() + 1);
        }
    }

    /// Returns the number of answers that were repeated, or are to be.
    pub fn repeated_answers(&self) -> u64 {
        self.repeated_answers.get()
    }
}
