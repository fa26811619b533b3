//! Requests of operators: changed configurations, metrics.
use super::EventLoop;
use super::configuration::{PreparedReload, ReloadError, idle_timeout, poll_config, report_fields};
use crate::daemon::config::{Config, ConfigReadError};
use crate::daemon::endpoint_list::Phase;
use crate::daemon::events::AdminRequest;
use crate::daemon::membership::MembershipConfig;
use crate::daemon::metrics::Metrics;
use crate::daemon::poll_schedule::PollConfig;
use crate::daemon::watch_cell::WatchCell;
use crate::{EndpointId, Event};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// A snapshot of the metrics serves all requests within this time.
const SNAPSHOT_LIFETIME: Duration = Duration::from_millis(100);

/// The parts of the configuration that other tasks follow.
pub(super) struct PublishedConfiguration {
    /// Where the discovery agent listens, which takes notifications, too.
    pub(super) discovery: WatchCell<SocketAddr>,
    /// The terms on which the endpoint list is polled.
    pub(super) poll_config: WatchCell<PollConfig>,
    /// Takes the members of the fleet, where membership is on.
    pub(super) members: Option<UnboundedSender<MembershipConfig>>,
}

/// The counts of this process, and the last snapshot that was made of them.
pub(super) struct MetricsRecorder {
    pub(super) counts: Metrics,
    snapshot: Option<MetricsSnapshot>,
}

struct MetricsSnapshot {
    captured_at: Instant,
    metrics: Rc<Metrics>,
}

impl MetricsRecorder {
    /// Continues from these counts.
    pub(super) fn new(counts: Metrics) -> Self {
        Self { counts, snapshot: None }
    }

    /// Has the next request make a new snapshot.
    pub(super) fn discard_snapshot(&mut self) {
        self.snapshot = None;
    }

    /// Returns the last snapshot if it is recent enough at `now`.
    fn recent_snapshot(&self, now: Instant) -> Option<Rc<Metrics>> {
        let snapshot =
            self.snapshot.as_ref().filter(|snapshot| now < snapshot.captured_at + SNAPSHOT_LIFETIME);
        snapshot.map(|snapshot| snapshot.metrics.clone())
    }
}

impl EventLoop {
    /// Answers a request of an operator or of a peer.
    pub(super) fn handle_admin_request(&mut self, request: AdminRequest) {
        match request {
            AdminRequest::Metrics(reply) => drop(reply.send(self.metrics_snapshot())),
            AdminRequest::PeerReport(reply) => drop(reply.send(self.endpoint_reports())),
            AdminRequest::SetMaintenance { endpoint, change, reply } => {
                let _ = reply.send(self.change_maintenance(&endpoint, change));
            }
        }
    }

    /// Follows a changed configuration. A file that cannot be used must not stop a sender at work.
    pub(super) fn reload(&mut self, config: Result<Box<Config>, ConfigReadError>) {
        let applied = config.map_err(ReloadError::from).and_then(|config| self.apply_configuration(config));
        match applied {
            Ok(discovery_changed) => {
                self.metrics.counts.reconfig_ok += 1;
                self.log(format_args!(
                    "reload: applied discovery={} discovery_changed={discovery_changed} classes={}",
                    self.configuration.config.discovery,
                    self.configuration.classes.names().count()
                ));
            }
            Err(error) => {
                self.metrics.counts.reconfig_failed += 1;
                self.log(format_args!("reload: rejected, the running configuration stays error={error}"));
            }
        }
    }

    /// Applies a configuration whole, or leaves everything as it was; true if the discovery agent has moved.
    fn apply_configuration(&mut self, config: Box<Config>) -> Result<bool, ReloadError> {
        let mut prepared = self.configuration.prepare(&config, &*self.ports.storage)?;
        let members = prepared.members.take();
        if let (Some(membership), Some(members)) = (&self.published.members, members) {
            let _ = membership.send(members);
        }
        let discovery_changed = self.published.discovery.set(config.discovery);
        self.apply_settings(prepared, &config);
        self.configuration.config = config.into();
        Ok(discovery_changed)
    }

    fn apply_settings(&mut self, prepared: PreparedReload, config: &Config) {
        let has_changed = self.configuration.apply(prepared);
        self.list_classes_in_metrics();
        self.calls.pool.set_idle_timeout(idle_timeout(&config.settings));
        self.calls.context.report_fields = report_fields(&config.settings);
        if has_changed {
            let settings = self.configuration.settings.clone();
            self.published.poll_config.set(poll_config(&settings));
            self.queue.push(self.clock.now(), Event::Settings(Box::new(settings)));
        }
    }

    /// Writes down what the classes mean, before any client is served.
    pub(super) fn store_classes(&self) {
        if let Err(error) = self.configuration.store_classes(&*self.ports.storage) {
            self.log(format_args!(
                "classes: not written down, a next process goes by the classes in its settings error={error}"
            ));
        }
    }

    /// Lists all configured classes in the metrics, also those of which no message has ended.
    pub(super) fn list_classes_in_metrics(&mut self) {
        for class in self.configuration.classes.names() {
            self.metrics.counts.add_class(class);
        }
    }

    /// Returns the metrics as they are now, or were a moment ago.
    pub(super) fn metrics_snapshot(&mut self) -> Rc<Metrics> {
        let now = Instant::now();
        if let Some(metrics) = self.metrics.recent_snapshot(now) {
            return metrics;
        }
        let listed = self.endpoints.iter().filter(|(_, tracked)| tracked.listed.phase != Phase::Deleted);
        let metrics = Rc::new(Metrics {
            backend_calls: self.calls.messages_written(),
            inflight: self.messages.unfinished(),
            violations: self.violations.counts(),
            hosts_listed: listed.clone().count(),
            hosts_down: listed.filter(|(id, tracked)| !tracked.is_serving || self.avoids(*id, now)).count(),
            ..self.metrics.counts.clone()
        });
        self.metrics.snapshot = Some(MetricsSnapshot { captured_at: now, metrics: metrics.clone() });
        metrics
    }

    fn avoids(&self, endpoint: EndpointId, now: Instant) -> bool {
        self.engine.is_unavailable(self.clock.timestamp(now), endpoint)
    }
}
