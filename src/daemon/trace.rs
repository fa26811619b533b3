//! Trace lines of the calls and messages of a sender, for statistics over a whole fleet.
//!
//! Traces are off by default, because a line per call is a lot of output under load. The statistics are
//! computed by `micadrum-testkit aggregate`.
use super::endpoint_list::EndpointList;
use super::journal::FinalOutcome;
use super::ports::Log;
use crate::{LoadReport, Outcome, TimeDelta, Timestamp};
use std::fmt;
use std::rc::Rc;

/// Writes trace lines to the log if traces are enabled.
pub struct Trace(Option<Rc<dyn Log>>);

/// The fields of a trace line for a completed call.
pub struct CompletedCall<'a> {
    /// The number of the destination called.
    pub destination: u64,
    /// The ID of the endpoint in the endpoint list.
    pub endpoint: &'a str,
    /// The number of messages in the call.
    pub messages: usize,
    /// The outcome of the first message.
    pub outcome: Outcome,
    /// The duration of the call.
    pub elapsed: TimeDelta,
    /// The load report of the response.
    pub report: Option<LoadReport>,
}

/// The way in which an undelivered message ended.
#[derive(Clone, Copy)]
pub enum MessageEnd {
    /// The message was not accepted.
    Rejected,
    /// The message was accepted, and returned undelivered.
    Returned,
    /// The message was accepted, and failed.
    Failed,
}

impl From<FinalOutcome> for MessageEnd {
    fn from(outcome: FinalOutcome) -> Self {
        match outcome {
            FinalOutcome::Failed => Self::Failed,
            FinalOutcome::Returned(_) => Self::Returned,
        }
    }
}

impl fmt::Display for MessageEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Rejected => "door",
            Self::Returned => "returned",
            Self::Failed => "failed",
        })
    }
}

impl Trace {
    /// Writes lines to `log` if traces are `enabled`.
    pub fn new(enabled: bool, log: Rc<dyn Log>) -> Self {
        Self(enabled.then_some(log))
    }

    /// Traces a completed call.
    pub fn call(&self, at: Timestamp, call: &CompletedCall<'_>) {
        let CompletedCall { destination, endpoint, messages, outcome, elapsed, report } = call;
        let (outcome, wait) = (outcome_name(*outcome), retry_after(*outcome));
        let wait = wait.map_or(String::new(), |wait| format!(" wait_us={}", wait.0));
        let report = report.map_or(String::new(), |report| {
            format!(" left={} limit={}", report.remaining_share, report.limit_per_second)
        });
        self.line(format_args!(
            "trace call at={} destination={destination} endpoint={endpoint} messages={messages} \
             outcome={outcome} elapsed_us={}{wait}{report}",
            at.0, elapsed.0
        ));
    }

    /// Traces an attempt to connect to an endpoint, successful or not.
    pub fn connected(&self, at: Timestamp, destination: u64, endpoint: &str) {
        let at = at.0;
        self.line(format_args!("trace connect at={at} destination={destination} endpoint={endpoint}"));
    }

    /// Traces an endpoint list, or changes to one.
    pub fn endpoint_list(&self, at: Timestamp, list: &EndpointList) {
        let EndpointList { revision, complete, endpoints, .. } = list;
        let (at, entries) = (at.0, endpoints.len());
        self.line(format_args!("trace list at={at} revision={revision} whole={complete} entries={entries}"));
    }

    /// Traces that a message was accepted.
    pub fn message_accepted(&self, at: Timestamp, destination: u64) {
        self.line(format_args!("trace taken at={} destination={destination}", at.0));
    }

    /// Traces that a message was rejected, or has ended undelivered.
    pub fn message_ended(
        &self,
        at: Timestamp,
        destination: u64,
        end: MessageEnd,
        class: &str,
        attempts: u32,
    ) {
        let at = at.0;
        self.line(format_args!(
            "trace ended at={at} destination={destination} how={end} class={class} attempts={attempts}"
        ));
    }

    fn line(&self, line: fmt::Arguments<'_>) {
        if let Some(log) = &self.0 {
            log.line(&line.to_string());
        }
    }
}

/// Returns the name of an outcome in trace lines.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Success => "success",
        Outcome::Failure => "failure",
        Outcome::Rejected { .. } => "full",
        Outcome::TimedOut => "timeout",
        Outcome::ConnectFailed => "unreachable",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "void",
        Outcome::Deferred => "withheld",
    }
}

fn retry_after(outcome: Outcome) -> Option<TimeDelta> {
    match outcome {
        Outcome::Rejected { retry_after } => retry_after,
        _ => None,
    }
}
