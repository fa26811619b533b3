//! The state machine of the recovery phases, which define the order in which a sender resumes service after a
//! restart.
//!
//! | phase | activity | ends when | timeout |
//! | --- | --- | --- | --- |
//! | querying peers | peers are queried; no client is served | the query has ended | `peer_query_timeout` |
//! | awaiting endpoints | expired messages are completed | discovery has answered | `endpoint_list_timeout` |
//! | draining the backlog | pending messages are sent | the backlog is empty | `backlog_timeout` |
//! | admitting gradually | new messages are rate-limited | the ramp has ended | `admission_ramp` |
//! | full service | normal operation | the process ends | |
//!
//! No message is sent before the phase that drains the backlog, and new messages are rejected until the
//! gradual admission. A process that does not need to recover starts at full service. The phases are not
//! persisted: after another restart, recovery starts with the first phase again.
use crate::admission::Admission;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The timeouts of the phases and the initial rate of the gradual admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The timeout of the phase [`RecoveryPhase::QueryingPeers`].
    pub peer_query_timeout: Duration,
    /// The timeout of the phase [`RecoveryPhase::AwaitingEndpoints`].
    pub endpoint_list_timeout: Duration,
    /// The timeout of the phase [`RecoveryPhase::DrainingBacklog`].
    pub backlog_timeout: Duration,
    /// The duration of the phase [`RecoveryPhase::AdmittingGradually`].
    pub admission_ramp: Duration,
    /// The number of new messages per second that are admitted at the start of the gradual admission.
    pub initial_admissions_per_second: f64,
}

/// A recovery phase, in the order in which they follow each other. The JSON names are part of the
/// `/status/recovery` and trace formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecoveryPhase {
    /// Peers are queried. No client is served and no message is sent.
    #[serde(rename = "asking")]
    QueryingPeers,
    /// The sender waits for the first message of its discovery agent. Expired and failed messages are
    /// completed.
    #[serde(rename = "listing")]
    AwaitingEndpoints,
    /// Pending messages from before the restart are sent. New messages are rejected.
    #[serde(rename = "finishing")]
    DrainingBacklog,
    /// New messages are admitted at a growing rate.
    #[serde(rename = "admitting")]
    AdmittingGradually,
    /// Normal operation.
    #[serde(rename = "full")]
    FullService,
}

impl RecoveryPhase {
    /// Returns a description for operators of what ends the phase.
    #[must_use]
    pub fn waits_for(self) -> &'static str {
        match self {
            Self::QueryingPeers => "reports from other senders",
            Self::AwaitingEndpoints => "the endpoint list of the discovery agent",
            Self::DrainingBacklog => "the pending messages from before the restart",
            Self::AdmittingGradually => "the end of the admission ramp",
            Self::FullService => "nothing",
        }
    }

    /// Returns the phase that follows this one; full service is the last.
    fn next(self) -> Self {
        match self {
            Self::QueryingPeers => Self::AwaitingEndpoints,
            Self::AwaitingEndpoints => Self::DrainingBacklog,
            Self::DrainingBacklog => Self::AdmittingGradually,
            Self::AdmittingGradually | Self::FullService => Self::FullService,
        }
    }
}

/// The reason why a phase ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PhaseEnd {
    /// The condition that the phase waits for was met.
    #[serde(rename = "done")]
    Completed,
    /// The timeout expired.
    #[serde(rename = "late")]
    TimedOut,
}

/// An input to the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The query of peers has ended.
    PeersQueried,
    /// The sender's discovery agent has sent its first message about the endpoint list.
    EndpointListReceived,
    /// The number of messages from before the restart whose call or notification is still pending.
    Backlog(usize),
    /// The time that [`Phases::due`] returned has been reached.
    Timer,
}

/// A phase that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseRecord {
    /// The phase that ended.
    #[serde(rename = "stage")]
    pub phase: RecoveryPhase,
    /// The duration of the phase, in microseconds.
    #[serde(rename = "took")]
    pub took_us: u64,
    /// Why the phase ended.
    #[serde(rename = "why")]
    pub end: PhaseEnd,
}

/// The state machine of the recovery phases of one process.
#[derive(Clone, Debug)]
pub struct Phases {
    settings: Settings,
    phase: RecoveryPhase,
    since: Duration,
    has_endpoint_list: bool,
    admission: Option<Admission>,
    ended: Vec<PhaseRecord>,
}

impl Phases {
    /// Creates a state machine that starts in the phase [`RecoveryPhase::QueryingPeers`].
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            phase: RecoveryPhase::QueryingPeers,
            since: now,
            has_endpoint_list: false,
            admission: None,
            ended: Vec::new(),
        }
    }

    /// Creates a state machine that starts in the phase [`RecoveryPhase::FullService`].
    #[must_use]
    pub fn at_full_service(settings: Settings, now: Duration) -> Self {
        Self { phase: RecoveryPhase::FullService, ..Self::new(settings, now) }
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> RecoveryPhase {
        self.phase
    }

    /// Returns the time at which the current phase began.
    #[must_use]
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Returns the records of the phases that have ended, in order.
    #[must_use]
    pub fn ended(&self) -> &[PhaseRecord] {
        &self.ended
    }

    fn timeout(&self) -> Option<Duration> {
        match self.phase {
            RecoveryPhase::QueryingPeers => Some(self.settings.peer_query_timeout),
            RecoveryPhase::AwaitingEndpoints => Some(self.settings.endpoint_list_timeout),
            RecoveryPhase::DrainingBacklog => Some(self.settings.backlog_timeout),
            RecoveryPhase::AdmittingGradually => Some(self.settings.admission_ramp),
            RecoveryPhase::FullService => None,
        }
    }

    /// Returns the time at which [`Input::Timer`] is due, or `None` at full service.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.timeout().map(|timeout| self.since + timeout)
    }

    /// Handles an input and returns whether the phase has changed. `now` must not decrease between calls.
    pub fn handle(&mut self, input: Input, now: Duration) -> bool {
        let before = self.phase;
        self.has_endpoint_list |= input == Input::EndpointListReceived;
        let is_timed_out = self.due().is_some_and(|due| due <= now);
        let is_completed = match (self.phase, input) {
            // A query that ended at its deadline counts as timed out.
            (RecoveryPhase::QueryingPeers, Input::PeersQueried) => !is_timed_out,
            (RecoveryPhase::AwaitingEndpoints, _) => self.has_endpoint_list,
            (RecoveryPhase::DrainingBacklog, Input::Backlog(0)) => true,
            _ => false,
        };
        if is_completed {
            self.end_phase(PhaseEnd::Completed, now);
            // The endpoint list may have arrived during the query of peers.
            if self.phase == RecoveryPhase::AwaitingEndpoints && self.has_endpoint_list {
                self.end_phase(PhaseEnd::Completed, now);
            }
        } else if is_timed_out {
            // The gradual admission always ends by its timer, so this is its regular end.
            let is_regular_end = self.phase == RecoveryPhase::AdmittingGradually;
            self.end_phase(if is_regular_end { PhaseEnd::Completed } else { PhaseEnd::TimedOut }, now);
        }
        before != self.phase
    }

    fn end_phase(&mut self, end: PhaseEnd, now: Duration) {
        let took_us = now.saturating_sub(self.since).as_micros() as u64;
        self.ended.push(PhaseRecord { phase: self.phase, took_us, end });
        self.since = now;
        self.phase = self.phase.next();
        self.admission = (self.phase == RecoveryPhase::AdmittingGradually).then(|| {
            let Settings { initial_admissions_per_second, admission_ramp, .. } = self.settings;
            Admission::new(initial_admissions_per_second, admission_ramp, now)
        });
    }

    /// Returns whether pending messages from before the restart may be sent.
    #[must_use]
    pub fn sends_backlog(&self) -> bool {
        self.phase >= RecoveryPhase::DrainingBacklog
    }

    /// Returns whether new messages are admitted, possibly at a limited rate.
    #[must_use]
    pub fn admits_new_messages(&self) -> bool {
        self.phase >= RecoveryPhase::AdmittingGradually
    }

    /// Admits a new message if the phase and the rate allow it.
    ///
    /// # Errors
    /// Returns the time after which the client may retry. In a phase that admits no messages, this is the
    /// time until the phase times out.
    pub fn admit(&mut self, now: Duration) -> Result<(), Duration> {
        match (&mut self.admission, self.phase) {
            (_, RecoveryPhase::FullService) => Ok(()),
            (Some(admission), _) => admission.admit(now),
            (None, _) => Err(self.due().unwrap_or(now).saturating_sub(now)),
        }
    }
}

#[cfg(test)]
mod tests;
