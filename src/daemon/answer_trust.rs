//! Decides which answers belong to the call that is in progress on their connection.
//!
//! HTTP/1.1 matches answers to requests by their order alone. If an endpoint, or a proxy before it, answers a
//! call twice, the second answer looks like the answer to the next call on the connection, and every later
//! answer belongs to the call before. Only the first answer on a connection is certain. On a connection that
//! is used again:
//!
//! - an answer that comes much sooner than any endpoint has been seen to answer is doubtful, and counts only
//!   if no other follows within [`CONFIRMATION_PERIOD`];
//! - if endpoints answer so fast that this does not reveal an answer that comes [`REPETITION_TIME`] after
//!   another one, the connection has to be quiet for the rest of that time before the next request;
//! - once anything has arrived that no call asked for, no answer counts, and connections are used for one call
//!   each during [`DISTRUST_PERIOD`].
//!
//! This module performs no I/O and reads no clock.
use std::time::Duration;
use tokio::time::Instant;

/// The time within which a repeated answer is expected to follow the first one.
const REPETITION_TIME: Duration = Duration::from_millis(15);
/// How long another answer may take to follow a doubtful one.
pub const CONFIRMATION_PERIOD: Duration = Duration::from_secs(2);
/// How long connections are used for one call each after an answer that no call asked for.
const DISTRUST_PERIOD: Duration = Duration::from_secs(900);
/// The status by which a server announces that it closes an idle connection (RFC 9110, section 15.5.9).
const REQUEST_TIMEOUT: u16 = 408;
/// Answers are not doubted below this time, in which the scheduling of processes varies as much.
const MIN_DOUBTFUL_TIME: Duration = Duration::from_millis(5);
/// The number of answers after which the fastest of those before them is forgotten.
const ANSWERS_PER_GENERATION: u32 = 1024;
/// An answer on a used connection is doubtful if it takes less than this share of the fastest known one.
const DOUBTFUL_SHARE_OF_USED: f64 = 0.5;
/// The same for the fastest answer on new connections, which take longer as the endpoint sets them up.
const DOUBTFUL_SHARE_OF_NEW: f64 = 0.25;

/// An answer, as far as its attribution depends on it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedAnswer {
    /// Whether the call is the first one on its connection.
    pub is_first_on_connection: bool,
    /// The time from the last byte of the request to the answer; `None` if the answer came before that byte.
    pub delay: Option<Duration>,
}

/// Whether an answer belongs to the call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// The answer belongs to the call.
    Certain,
    /// The answer belongs to the call unless another one follows.
    Doubtful,
    /// The answer may belong to another call.
    Unknown,
}

/// The fastest of the latest answers of all endpoints together.
#[derive(Default)]
struct FastestAnswer {
    current: Option<Duration>,
    /// The fastest of the [`ANSWERS_PER_GENERATION`] answers before those of `current`.
    previous: Option<Duration>,
    answers: u32,
}

impl FastestAnswer {
    fn record(&mut self, time: Duration) {
        if self.answers == ANSWERS_PER_GENERATION {
            *self = Self { previous: self.current, ..Self::default() };
        }
        self.answers += 1;
        self.current = Some(self.current.map_or(time, |fastest| fastest.min(time)));
    }

    fn get(&self) -> Option<Duration> {
        self.current.into_iter().chain(self.previous).min()
    }
}

/// What is known about the attribution of endpoints' answers.
#[derive(Default)]
pub struct AnswerTrust {
    /// The end of the period in which connections are used once.
    distrusted_until: Option<Instant>,
    new_connections: FastestAnswer,
    used_connections: FastestAnswer,
}

impl AnswerTrust {
    /// Returns whether connections may be used for more than one call.
    pub fn permits_reuse(&self, now: Instant) -> bool {
        self.distrusted_until.is_none_or(|until| now >= until)
    }

    /// Records that something arrived that no call asked for, with its status if it is a response. Returns
    /// whether connections are used once from now on, and were not before.
    pub fn record_unsolicited(&mut self, status: Option<u16>, now: Instant) -> bool {
        if status == Some(REQUEST_TIMEOUT) {
            return false;
        }
        let was_trusted = self.permits_reuse(now);
        self.distrusted_until = Some(now + DISTRUST_PERIOD);
        was_trusted
    }

    /// Returns the time before which an answer on a used connection is doubtful; zero if none is.
    fn doubtful_before(&self) -> Duration {
        let new = self.new_connections.get().map(|time| time.mul_f64(DOUBTFUL_SHARE_OF_NEW));
        let used = self.used_connections.get().map(|time| time.mul_f64(DOUBTFUL_SHARE_OF_USED));
        let before = new.into_iter().chain(used).min().unwrap_or_default();
        if before < MIN_DOUBTFUL_TIME { Duration::ZERO } else { before }
    }

    /// Returns how long a connection has to be quiet after an answer before it carries the next call.
    pub fn quiet_period(&self) -> Duration {
        REPETITION_TIME.saturating_sub(self.doubtful_before())
    }

    /// Returns whether an answer that arrived at `now` belongs to its call.
    pub fn attribute(&self, answer: &ReceivedAnswer, now: Instant) -> Attribution {
        let Some(delay) = answer.delay else { return Attribution::Unknown };
        if answer.is_first_on_connection {
            return Attribution::Certain;
        }
        if !self.permits_reuse(now) {
            return Attribution::Unknown;
        }
        if delay < self.doubtful_before() { Attribution::Doubtful } else { Attribution::Certain }
    }

    /// Records the time of an answer that belongs to its call.
    pub fn record_attributed(&mut self, answer: &ReceivedAnswer) {
        let Some(delay) = answer.delay else { return };
        if answer.is_first_on_connection {
            self.new_connections.record(delay);
        } else {
            self.used_connections.record(delay);
        }
    }
}

#[cfg(test)]
mod tests;
