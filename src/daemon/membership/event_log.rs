//! Log and trace lines about membership events.
use crate::daemon::ports::Log;
use micadrum_membership::{Event, LocalStatus};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Writes membership events to the log.
pub struct EventLog {
    log: Rc<dyn Log>,
    writes_traces: bool,
    /// Whether the last write of the incarnation record failed. Its failure was logged.
    write_failed: bool,
}

impl EventLog {
    /// Creates an event log without trace records.
    pub fn new(log: Rc<dyn Log>) -> Self {
        Self { log, writes_traces: false, write_failed: false }
    }

    /// Creates an event log that also writes a trace record for each event, as JSON.
    pub fn with_traces(log: Rc<dyn Log>) -> Self {
        Self { writes_traces: true, ..Self::new(log) }
    }

    /// Logs the first of several consecutive failures to write the incarnation record.
    pub fn record_written(&mut self, result: &io::Result<()>) {
        if let Err(error) = result
            && !self.write_failed
        {
            self.log
                .line(&format!("membership: incarnation not persisted, sending is suspended error={error}"));
        }
        self.write_failed = result.is_err();
    }

    /// Logs an event that occurred at `at` on the clock of the membership state machine.
    pub fn event(&self, at: Duration, event: &Event) {
        if self.writes_traces {
            // Encoding strings and integers as JSON cannot fail.
            let json = serde_json::to_string(event).unwrap_or_default();
            self.log.line(&format!("trace peers at={} {json}", at.as_micros()));
        }
        self.log.line(&format!("membership: {}", describe(event)));
    }
}

/// Returns the log line of an event, without the component prefix.
fn describe(event: &Event) -> String {
    match event {
        Event::StatusChanged { name, previous, current, incarnation } => format!(
            "status changed member={name} status={current:?} previous={previous:?} incarnation={incarnation}"
        ),
        Event::NewIncarnation { name, incarnation, lost_state } => {
            format!("new incarnation member={name} incarnation={incarnation} lost_state={lost_state}")
        }
        Event::StateLossDetected { incarnation, known } => format!(
            "the state folder was lost or restored from an older copy, continuing under a higher incarnation \
             incarnation={incarnation} known={known}"
        ),
        Event::RosterMismatch { name, differs: true } => format!(
            "roster differs, the operator files of all senders must list the same members member={name}"
        ),
        Event::RosterMismatch { name, differs: false } => format!("roster matches again member={name}"),
        Event::LocalStatusChanged(LocalStatus::Superseded) => {
            "superseded by a later process with this sender's name, sending stopped".to_owned()
        }
        Event::LocalStatusChanged(LocalStatus::Exhausted) => {
            "incarnation numbers exhausted, sending stopped".to_owned()
        }
        Event::LocalStatusChanged(status) => format!("local status changed status={status:?}"),
        Event::Stalled { late_ms } => format!("process stalled late_ms={late_ms}"),
        Event::IsolationChanged(true) => {
            "isolated, no member answers, statuses of other members are unreliable".to_owned()
        }
        Event::IsolationChanged(false) => "no longer isolated, a member answers again".to_owned(),
    }
}
