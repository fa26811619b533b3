//! The order in which service returns after a restart, as a state machine.
//!
//! | phase | what happens | ends with | timeout |
//! | --- | --- | --- | --- |
//! | querying peers | peers are queried; no client is served, nothing is sent | the end of the query | `peer_query_timeout` |
//! | awaiting endpoints | expired or failed messages are completed; nothing is sent | the first word of the own discovery agent | `endpoint_list_timeout` |
//! | draining the backlog | pending messages are sent; new ones are rejected | an empty backlog | `backlog_timeout` |
//! | admitting gradually | new messages are admitted at a growing rate | the end of the ramp | `admission_ramp` |
//! | full service | normal operation | the end of the process | |
//!
//! A process whose machine was not restarted begins at full service. Nothing of the phases is persisted: a power loss in
//! the middle is another restart, which begins with the first phase.
use crate::admission::Admission;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The timeouts of the phases, and the rate at which new messages are admitted at first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The timeout of querying peers.
    pub peer_query_timeout: Duration,
    /// The timeout of awaiting endpoints.
    pub endpoint_list_timeout: Duration,
    /// The timeout of draining the backlog.
    pub backlog_timeout: Duration,
    /// The length of the gradual admission.
    pub admission_ramp: Duration,
    /// New messages per second at the beginning of the gradual admission.
    pub initial_admissions_per_second: f64,
}

/// How far service has returned. JSON names are part of the `/status/recovery` and trace formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecoveryPhase {
    /// Peers are queried.
    #[serde(rename = "asking")]
    QueryingPeers,
    /// The endpoint list is awaited.
    #[serde(rename = "listing")]
    AwaitingEndpoints,
    /// Pending messages of before the restart are sent.
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
    /// Returns what the phase waits for, as shown to operators.
    #[must_use]
    pub fn waits_for(self) -> &'static str {
        match self {
            Self::QueryingPeers => "what other senders know",
            Self::AwaitingEndpoints => "the list of this sender's own agent",
            Self::DrainingBacklog => "what is owed from before",
            Self::AdmittingGradually => "nothing: newcomers come in at a rate that grows",
            Self::FullService => "nothing",
        }
    }

    /// Returns the phase after this one.
    fn next(self) -> Self {
        match self {
            Self::QueryingPeers => Self::AwaitingEndpoints,
            Self::AwaitingEndpoints => Self::DrainingBacklog,
            Self::DrainingBacklog => Self::AdmittingGradually,
            Self::AdmittingGradually | Self::FullService => Self::FullService,
        }
    }
}

/// Why a phase ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PhaseEnd {
    /// The awaited condition occurred.
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
    /// The own discovery agent has sent a first message about the endpoint list.
    EndpointListReceived,
    /// This many messages of before the restart still wait for a call or for their notification.
    Backlog(usize),
    /// Time has passed.
    Timer,
}

/// A phase that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseRecord {
    /// The phase.
    #[serde(rename = "stage")]
    pub phase: RecoveryPhase,
    /// The length of the phase, in microseconds.
    #[serde(rename = "took")]
    pub took_us: u64,
    /// Why the phase ended.
    #[serde(rename = "why")]
    pub end: PhaseEnd,
}

/// The phases of one process.
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
    /// Creates the phases of a process that begins with querying peers.
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

    /// Creates the phases of a process that begins at full service.
    #[must_use]
    pub fn at_full_service(settings: Settings, now: Duration) -> Self {
        Self { phase: RecoveryPhase::FullService, ..Self::new(settings, now) }
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> RecoveryPhase {
        self.phase
    }

    /// Returns when the current phase began.
    #[must_use]
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Returns the phases that have ended, in their order.
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

    /// Returns when [`Input::Timer`] is due.
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.timeout().map(|timeout| self.since + timeout)
    }

    /// Handles an input, and returns whether the phase has changed. `now` never goes back.
    pub fn handle(&mut self, input: Input, now: Duration) -> bool {
        let before = self.phase;
        self.has_endpoint_list |= input == Input::EndpointListReceived;
        let is_timed_out = self.due().is_some_and(|due| due <= now);
        let is_completed = match (self.phase, input) {
            // A query that ended with its time has timed out.
            (RecoveryPhase::QueryingPeers, Input::PeersQueried) => !is_timed_out,
            (RecoveryPhase::AwaitingEndpoints, _) => self.has_endpoint_list,
            (RecoveryPhase::DrainingBacklog, Input::Backlog(0)) => true,
            _ => false,
        };
        if is_completed {
            self.end_phase(PhaseEnd::Completed, now);
            // The endpoint list may have arrived while peers were queried.
            if self.phase == RecoveryPhase::AwaitingEndpoints && self.has_endpoint_list {
                self.end_phase(PhaseEnd::Completed, now);
            }
        } else if is_timed_out {
            // The gradual admission ends with its time as intended.
            let is_intended = self.phase == RecoveryPhase::AdmittingGradually;
            self.end_phase(if is_intended { PhaseEnd::Completed } else { PhaseEnd::TimedOut }, now);
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

    /// Whether pending messages of before the restart may be sent.
    #[must_use]
    pub fn sends_backlog(&self) -> bool {
        self.phase >= RecoveryPhase::DrainingBacklog
    }

    /// Whether new messages are admitted.
    #[must_use]
    pub fn admits_new_messages(&self) -> bool {
        self.phase >= RecoveryPhase::AdmittingGradually
    }

    /// Admits a new message.
    ///
    /// # Errors
    /// Returns how long the client has to wait; if no message is admitted in this phase, until its timeout.
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
