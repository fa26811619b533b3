//! What passes between a sender and its partners, a line an event, for counts over a whole fleet.
//!
//! Off unless it is asked for: a line a call is much on a busy day. `micadrum-testkit count` adds the lines up.
use super::endpoint_list::EndpointList;
use super::ports::Log;
use crate::{LoadReport, Outcome, TimeDelta, Timestamp};
use std::rc::Rc;

/// Writes the lines, if it is on.
pub struct Trace(Option<Rc<dyn Log>>);

/// A call that has ended.
pub struct Ended<'a> {
    /// The destination's number.
    pub destination: u64,
    /// The endpoint's name.
    pub endpoint: &'a str,
    /// Messages that it carried.
    pub messages: usize,
    /// How the first of them fared.
    pub outcome: Outcome,
    /// How long it was out.
    pub elapsed: TimeDelta,
    /// What its answer told.
    pub report: Option<LoadReport>,
}

impl Trace {
    /// Lines go to `log` if it is `on`.
    pub fn new(on: bool, log: Rc<dyn Log>) -> Self {
        Self(on.then_some(log))
    }

    /// A call has ended.
    pub fn call(&self, at: Timestamp, ended: &Ended<'_>) {
        let Some(log) = &self.0 else { return };
        let Ended { destination, endpoint, messages, outcome, elapsed, report } = ended;
        let (outcome, wait) = match outcome {
            Outcome::Success => ("success", None),
            Outcome::Failure => ("failure", None),
            Outcome::Rejected { retry_after: wait } => ("full", *wait),
            Outcome::TimedOut => ("timeout", None),
            Outcome::ConnectFailed => ("unreachable", None),
            Outcome::Reset => ("reset", None),
            Outcome::Cancelled => ("cancelled", None),
            Outcome::NotSent => ("void", None),
            Outcome::Deferred => ("withheld", None),
        };
        let wait = wait.map_or(String::new(), |wait| format!(" wait_us={}", wait.0));
        let report = report
            .map_or(String::new(), |r| format!(" left={} limit={}", r.remaining_share, r.limit_per_second));
        log.line(&format!(
            "trace call at={} destination={destination} endpoint={endpoint} messages={messages} \
             outcome={outcome} elapsed_us={}{wait}{report}",
            at.0, elapsed.0
        ));
    }

    /// A connection to an endpoint was opened, or was not to be had.
    pub fn connect(&self, at: Timestamp, destination: u64, endpoint: &str) {
        let Some(log) = &self.0 else { return };
        log.line(&format!("trace connect at={} destination={destination} endpoint={endpoint}", at.0));
    }

    /// News of the list.
    pub fn list(&self, at: Timestamp, targets: &EndpointList) {
        let Some(log) = &self.0 else { return };
        let EndpointList { revision, complete, members, .. } = targets;
        log.line(&format!(
            "trace list at={} revision={revision} whole={complete} entries={}",
            at.0,
            members.len()
        ));
    }

    /// A message was taken on.
    pub fn taken(&self, at: Timestamp, destination: u64) {
        let Some(log) = &self.0 else { return };
        log.line(&format!("trace taken at={} destination={destination}", at.0));
    }

    /// A message was turned away at the door, or has ended undelivered.
    pub fn ended(&self, at: Timestamp, destination: u64, how: &str, class: &str, attempts: u32) {
        let Some(log) = &self.0 else { return };
        let at = at.0;
        log.line(&format!(
            "trace ended at={at} destination={destination} how={how} class={class} attempts={attempts}"
        ));
    }
}
