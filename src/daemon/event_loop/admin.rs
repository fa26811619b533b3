//! Configuration reloads, metrics, and requests through the admin endpoint.
use super::EventLoop;
use super::configuration::{PreparedReload, ReloadError, idle_timeout, poll_config, report_fields};
use crate::daemon::class_registry::MAX_CLASSES;
use crate::daemon::config::{Config, ConfigReadError};
use crate::daemon::endpoint_list::Phase;
use crate::daemon::events::AdminRequest;
use crate::daemon::membership::MembershipConfig;
use crate::daemon::metrics::Metrics;
use crate::daemon::poll_schedule::PollConfig;
use crate::daemon::watch_cell::WatchCell;
use crate::{ClassId, EndpointId, Event};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// How long a snapshot of the metrics is reused for further requests.
const SNAPSHOT_LIFETIME: Duration = Duration::from_millis(100);

/// The parts of the configuration that are published to other tasks.
pub(super) struct PublishedConfiguration {
    /// The address of the discovery agent, which also receives the notifications.
    pub(super) discovery: WatchCell<SocketAddr>,
    /// The settings for polling the endpoint list.
    pub(super) poll_config: WatchCell<PollConfig>,
    /// Sends changed members of the fleet to the membership task; `None` if membership is disabled.
    pub(super) members: Option<UnboundedSender<MembershipConfig>>,
}

/// The metrics of this process, and the latest snapshot of them.
pub(super) struct MetricsRecorder {
    pub(super) counts: Metrics,
    snapshot: Option<MetricsSnapshot>,
}

struct MetricsSnapshot {
    captured_at: Instant,
    metrics: Rc<Metrics>,
}

impl MetricsRecorder {
    /// Creates a recorder that continues from `counts`.
    pub(super) fn new(counts: Metrics) -> Self {
        Self { counts, snapshot: None }
    }

    /// Discards the snapshot, so that the next request captures a new one.
    pub(super) fn discard_snapshot(&mut self) {
        self.snapshot = None;
    }

    /// Returns the latest snapshot if it has not expired at `now`.
    fn recent_snapshot(&self, now: Instant) -> Option<Rc<Metrics>> {
        let snapshot =
            self.snapshot.as_ref().filter(|snapshot| now < snapshot.captured_at + SNAPSHOT_LIFETIME);
        snapshot.map(|snapshot| snapshot.metrics.clone())
    }
}

impl EventLoop {
    /// Answers a request from an operator or a peer.
    pub(super) fn handle_admin_request(&mut self, request: AdminRequest) {
        match request {
            AdminRequest::Metrics(reply) => drop(reply.send(self.metrics_snapshot())),
            AdminRequest::PeerReport(reply) => drop(reply.send(self.endpoint_reports())),
            AdminRequest::SetMaintenance { endpoint, change, reply } => {
                let _ = reply.send(self.change_maintenance(&endpoint, change));
            }
        }
    }

    /// Applies a changed configuration. If it is invalid, logs the error and keeps the active configuration.
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
                self.log(format_args!("reload: rejected, keeping the running configuration error={error}"));
            }
        }
    }

    /// Applies a configuration completely, or changes nothing if it is invalid. Returns whether the address
    /// of the discovery agent has changed.
    fn apply_configuration(&mut self, config: Box<Config>) -> Result<bool, ReloadError> {
        let mut prepared =
            self.configuration.prepare(&config, &self.classes_in_use(), &*self.ports.storage)?;
        let members = prepared.members.take();
        if let (Some(membership), Some(members)) = (&self.published.members, members) {
            let _ = membership.send(members);
        }
        let discovery_changed = self.published.discovery.set(config.discovery);
        self.apply_settings(prepared, &config);
        self.configuration.config = config.into();
        Ok(discovery_changed)
    }

    /// Returns the classes that messages belong to, in the engine or on their way to it.
    fn classes_in_use(&self) -> BTreeSet<ClassId> {
        let queued = self.queue.messages().chain(self.recovery.held_messages());
        self.engine.classes_in_use().chain(queued.map(|message| message.class)).collect()
    }

    fn apply_settings(&mut self, prepared: PreparedReload, config: &Config) {
        let has_changed = self.configuration.apply(prepared);
        self.register_classes_in_metrics();
        self.calls.pool.set_idle_timeout(idle_timeout(&config.settings));
        self.calls.context.report_fields = report_fields(&config.settings);
        if has_changed {
            let settings = self.configuration.settings.clone();
            self.published.poll_config.set(poll_config(&settings));
            self.queue.push(self.clock.now(), Event::Settings(Box::new(settings)));
        }
    }

    /// Stores the classes in the state folder before any client is served. Logs an error if that fails.
    pub(super) fn store_classes(&self) {
        if let Err(error) = self.configuration.store_classes(&*self.ports.storage) {
            self.log(format_args!(
                "classes: storing failed, after a restart only the classes in the settings are known error={error}"
            ));
        }
    }

    /// Adds all configured classes to the metrics, including those without an ended message. Drops classes that
    /// the process no longer knows if there are too many.
    pub(super) fn register_classes_in_metrics(&mut self) {
        let classes = &self.configuration.classes;
        if self.metrics.counts.calls.len() > MAX_CLASSES {
            self.metrics.counts.calls.retain(|name, _| classes.has_definition(name));
        }
        for class in self.configuration.classes.names() {
            self.metrics.counts.add_class(class);
        }
    }

    /// Returns the current metrics, or a snapshot of them that has not expired.
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
            hosts_down: listed
                .filter(|(id, tracked)| !tracked.is_serving || self.is_avoided(*id, now))
                .count(),
            ..self.metrics.counts.clone()
        });
        self.metrics.snapshot = Some(MetricsSnapshot { captured_at: now, metrics: metrics.clone() });
        metrics
    }

    fn is_avoided(&self, endpoint: EndpointId, now: Instant) -> bool {
        self.engine.is_unavailable(self.clock.timestamp(now), endpoint)
    }
}
