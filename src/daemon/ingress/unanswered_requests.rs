//! Reports connections that this process closes before a request on them is answered.
use super::request_stage::RequestStage;
use crate::daemon::error_log_limit::ErrorLogLimit;
use crate::daemon::events::ListenerState;
use crate::daemon::ports::Log;
use crate::daemon::runtime_checks::Violations;
use crate::daemon::watch_cell::WatchCell;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

/// Logs and counts the connections that this process closes before the response to a request is written.
pub struct UnansweredRequests {
    /// The component that the log lines name.
    component: &'static str,
    log: Rc<dyn Log>,
    log_limit: RefCell<ErrorLogLimit>,
    started_at: Instant,
    listener: WatchCell<ListenerState>,
    violations: Violations,
}

impl UnansweredRequests {
    /// Creates a report to `log` and `violations`. `listener` is the state that the log lines name.
    pub fn new(
        component: &'static str,
        log: Rc<dyn Log>,
        listener: WatchCell<ListenerState>,
        violations: Violations,
    ) -> Self {
        let (log_limit, started_at) = (RefCell::default(), Instant::now());
        Self { component, log, log_limit, started_at, listener, violations }
    }

    /// Records that this process closes a connection at `stage`.
    pub fn record_close(&self, stage: RequestStage) {
        match stage {
            RequestStage::Idle => return,
            RequestStage::Head | RequestStage::Body => {}
            // The client has sent the whole request.
            RequestStage::Processing | RequestStage::Responding => {
                self.violations.record_unanswered_request();
            }
        }
        if let Some(suppressed) = self.log_limit.borrow_mut().admit(self.started_at.elapsed()) {
            self.log.line(&format!(
                "{}: connection closed before the response was written stage={stage} listener={:?} \
                 suppressed={suppressed}",
                self.component,
                self.listener.get()
            ));
        }
    }
}
