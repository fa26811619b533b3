//! The recovery status of this process, shared between the event loop, the admin endpoint and the links.
use super::peer_queries::QuerySummary;
use crate::daemon::ports::Log;
use micadrum_recovery::journal_trust::ClockTrust;
use micadrum_recovery::message_recovery::{
    JournaledMessage, MessageTimes, RecoveryAction, Redelivery, assess_message, rejection_time_left,
    time_left,
};
use micadrum_recovery::phases::{Input, PhaseEnd, PhaseRecord, RecoveryPhase, Settings};
use micadrum_recovery::{Phases, Record, Trust};
use serde::Serialize;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The contents of `/status/recovery`.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The phase of recovery that this sender is in.
    #[serde(rename = "stage")]
    pub phase: RecoveryPhase,
    /// How long the phase has lasted, in microseconds.
    pub for_us: u64,
    /// What the phase waits for.
    pub waits_for: &'static str,
    /// How far the journal and the clock are trusted.
    pub trust: Trust,
    /// A summary of the query of peers, or `None` if no peer was queried.
    #[serde(rename = "asked")]
    pub peer_query: Option<QuerySummary>,
    /// The phases that have ended.
    #[serde(rename = "steps")]
    pub ended_phases: Vec<PhaseRecord>,
}

/// The parameters of [`RecoveryStatus::start`].
pub struct RecoveryParameters {
    pub trust: Trust,
    pub settings: Settings,
    pub deduplication_hold: Duration,
    pub origin: Instant,
    pub log: Rc<dyn Log>,
    pub writes_traces: bool,
}

/// The trust in journal and clock after the query of peers, and a summary of the query.
pub struct QueriedTrust {
    pub trust: Trust,
    pub peer_query: Option<QuerySummary>,
}

struct State {
    trust: Trust,
    settings: Settings,
    phases: Phases,
    peer_query: Option<QuerySummary>,
    origin: Instant,
    deduplication_hold: Duration,
    full_service_since: Option<Instant>,
    log: Rc<dyn Log>,
    writes_traces: bool,
}

/// A shared handle to the recovery status of this process. It is empty until the journal is read, or
/// permanently if recovery is disabled. While it is empty, the process counts as being at full service.
#[derive(Clone, Default)]
pub struct RecoveryStatus(Rc<RefCell<Option<State>>>);

impl RecoveryStatus {
    /// Starts the recovery with the phase in which peers are queried.
    pub fn start(&self, parameters: RecoveryParameters) {
        let RecoveryParameters { trust, settings, deduplication_hold, origin, log, writes_traces } =
            parameters;
        *self.0.borrow_mut() = Some(State {
            trust,
            settings,
            phases: Phases::new(settings, Duration::ZERO),
            peer_query: None,
            origin,
            deduplication_hold,
            full_service_since: None,
            log,
            writes_traces,
        });
    }

    /// Ends the query of peers, and enters the next phase, or full service if the other phases are not
    /// needed.
    pub fn finish_query(&self, queried: QueriedTrust) {
        self.with_state(|state, now| {
            let QueriedTrust { trust, peer_query } = queried;
            state.write_trace(&Record::Trust(trust.clone()));
            if trust.recovers_in_phases() {
                state.phases.handle(Input::PeersQueried, now);
            } else {
                state.phases = Phases::at_full_service(state.settings, now);
                state.full_service_since = Some(Instant::now());
            }
            state.trust = trust;
            state.peer_query = peer_query;
            state.log_ended_phases(0);
        });
    }

    /// Returns the recovery status, or `None` if recovery is disabled or the journal is not read yet.
    pub fn report(&self) -> Option<Report> {
        let state = self.0.borrow();
        let State { trust, phases, peer_query, origin, .. } = state.as_ref()?;
        Some(Report {
            phase: phases.phase(),
            for_us: origin.elapsed().saturating_sub(phases.since()).as_micros() as u64,
            waits_for: phases.phase().waits_for(),
            trust: trust.clone(),
            peer_query: peer_query.clone(),
            ended_phases: phases.ended().to_vec(),
        })
    }

    /// Returns how long this process has been at full service, in microseconds, or `None` while it recovers.
    /// `since_start` is the age of the process.
    pub fn at_full_service_us(&self, since_start: Duration) -> Option<u64> {
        match &*self.0.borrow() {
            Some(state) => state.full_service_since.map(|since| since.elapsed().as_micros() as u64),
            None => Some(since_start.as_micros() as u64),
        }
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut State, Duration) -> T) -> Option<T> {
        let mut state = self.0.borrow_mut();
        state.as_mut().map(|state| {
            let now = state.origin.elapsed();
            act(state, now)
        })
    }

    /// Returns whether new messages are admitted.
    pub fn admits_messages(&self) -> bool {
        self.0.borrow().as_ref().is_none_or(|state| state.phases.admits_new_messages())
    }

    /// Returns whether pending messages that were accepted before the restart may be sent.
    pub fn sends_backlog(&self) -> bool {
        self.0.borrow().as_ref().is_none_or(|state| state.phases.sends_backlog())
    }

    /// Returns whether this process is at full service.
    pub fn is_at_full_service(&self) -> bool {
        self.0.borrow().as_ref().is_none_or(|state| state.phases.phase() == RecoveryPhase::FullService)
    }

    /// Returns when the current phase times out, or `None` if it does not.
    pub fn due(&self) -> Option<Instant> {
        let state = self.0.borrow();
        let state = state.as_ref()?;
        state.phases.due().map(|due| state.origin + due)
    }

    /// Handles an input. Returns whether the phase has changed.
    pub fn handle(&self, input: Input) -> bool {
        self.with_state(|state, now| {
            let already_ended = state.phases.ended().len();
            let has_changed = state.phases.handle(input, now);
            state.log_ended_phases(already_ended);
            has_changed
        })
        .unwrap_or(false)
    }

    /// Admits a new message.
    ///
    /// # Errors
    /// Returns how long the client has to wait before it tries again.
    pub fn admit(&self) -> Result<(), Duration> {
        self.with_state(|state, now| state.phases.admit(now)).unwrap_or(Ok(()))
    }

    /// Decides what happens to a message that was read from the journal; see [`assess_message`].
    pub fn assess_message(&self, redelivery: Redelivery, message: JournaledMessage) -> RecoveryAction {
        let state = self.0.borrow();
        state
            .as_ref()
            .map_or(RecoveryAction::Unchanged, |state| assess_message(&state.trust, redelivery, message))
    }

    /// Returns how much longer new messages of a class are rejected, or `None` if they are accepted; see
    /// [`rejection_time_left`].
    pub fn rejection_time_left(&self, redelivery: Redelivery) -> Option<Duration> {
        let state = self.0.borrow();
        let state = state.as_ref()?;
        rejection_time_left(&state.trust, redelivery, state.deduplication_hold, state.origin.elapsed())
    }

    /// Returns the time left to a message that was accepted before the restart, in microseconds; see
    /// [`time_left`].
    pub fn time_left(&self, times: MessageTimes) -> u64 {
        match &*self.0.borrow() {
            Some(state) => time_left(&state.trust, times),
            None => times.deadline.saturating_sub(times.wall),
        }
    }

    /// Returns whether durations between times before the restart and now are reliable.
    pub fn trusts_clock(&self) -> bool {
        self.0.borrow().as_ref().is_none_or(|state| state.trust.clock == ClockTrust::Trusted)
    }
}

impl State {
    fn write_trace(&self, record: &Record) {
        if self.writes_traces {
            // Encoding strings and integers as JSON cannot fail.
            let record = serde_json::to_string(record).unwrap_or_default();
            self.log.line(&format!("trace recovery {record}"));
        }
    }

    /// Logs the phases that have ended after the first `already_ended`, and records when full service began.
    fn log_ended_phases(&mut self, already_ended: usize) {
        for ended in &self.phases.ended()[already_ended..] {
            let PhaseRecord { phase, took_us, end } = *ended;
            self.write_trace(&Record::PhaseEnded(*ended));
            let reason = match end {
                PhaseEnd::Completed => "completed",
                PhaseEnd::TimedOut => "timed-out",
            };
            let took_ms = took_us / 1000;
            self.log
                .line(&format!("recovery: phase ended phase={phase:?} took_ms={took_ms} reason={reason}"));
        }
        let phase = self.phases.phase();
        if self.phases.ended().len() > already_ended {
            let waits_for = phase.waits_for();
            self.log.line(&format!("recovery: phase began phase={phase:?} waits_for=\"{waits_for}\""));
        }
        if phase == RecoveryPhase::FullService && self.full_service_since.is_none() {
            self.full_service_since = Some(Instant::now());
        }
    }
}
