//! The event loop around the decision engine: it gives the engine events, carries out the engine's actions,
//! and keeps the journal ahead of both. It translates the names on the wire into the engine's numbers.
//!
//! Each part of the loop's state has one owner: [`endpoint_table`], [`message_table`], [`calls`],
//! [`checkpointing`], [`recovery`], [`shutdown`] and [`admin`] each hold a type with the state and the loop's
//! methods that use it most.
mod admin;
mod admission;
mod attempt_check;
mod calls;
mod checkpointing;
mod configuration;
mod construction;
mod durable_effects;
mod endpoint_table;
mod endpoints;
mod journal_repair;
mod message_table;
mod peer_reports;
mod recovery;
mod shutdown;
mod step;
mod step_queue;

use super::clock::Clock;
use super::config::Config;
use super::config_schema::ConfigSchema;
use super::events::{ListenerState, LoopEvent};
use super::handover::InheritedState;
use super::membership::MembershipConfig;
use super::metrics::Metrics;
use super::notifications::Notification;
use super::poll_schedule::PollConfig;
use super::ports::Ports;
use super::recovery::{RecoveryOutcome, RecoveryStatus};
use super::runtime_checks::Violations;
use super::trace::Trace;
use super::watch_cell::WatchCell;
use crate::{DeliveryEngine, Event, MessageId};
use admin::{MetricsRecorder, PublishedConfiguration};
use calls::CallTable;
use checkpointing::Checkpointing;
use configuration::ActiveConfiguration;
pub use configuration::EventLoopError;
use durable_effects::DurableEffects;
use endpoint_table::EndpointTable;
use journal_repair::JournalRepair;
use message_table::MessageTable;
use recovery::RecoveryProgress;
pub use shutdown::HandoverState;
use shutdown::Lifecycle;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use step_queue::StepQueue;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// A sender at work.
pub struct EventLoop {
    engine: DeliveryEngine,
    configuration: ActiveConfiguration,
    published: PublishedConfiguration,
    /// The events for the engine's next step.
    queue: StepQueue,
    endpoints: EndpointTable,
    messages: MessageTable,
    calls: CallTable,
    /// Takes notifications for the platform.
    notifications: UnboundedSender<Notification>,
    /// The effects that wait for their records, where records have to outlast the machine.
    durable_effects: Option<DurableEffects>,
    journal_repair: JournalRepair,
    checkpointing: Checkpointing,
    recovery: RecoveryProgress,
    lifecycle: Lifecycle,
    metrics: MetricsRecorder,
    trace: Trace,
    clock: Clock,
    violations: Violations,
    /// Calls and syncs under way.
    tasks: JoinSet<()>,
    /// Takes events for this loop.
    events: UnboundedSender<LoopEvent>,
    ports: Ports,
}

/// The ends of the channels that an event loop works with.
pub struct EventLoopChannels {
    /// Takes events for the loop.
    pub events: UnboundedSender<LoopEvent>,
    /// Takes notifications for the platform.
    pub notifications: UnboundedSender<Notification>,
    /// Tells the listeners whether clients are served.
    pub listener: WatchCell<ListenerState>,
    /// Where the discovery agent listens, which takes notifications, too.
    pub discovery: WatchCell<SocketAddr>,
    /// Takes the members of the fleet, where membership is on.
    pub members: Option<UnboundedSender<MembershipConfig>>,
}

/// What an event loop starts from.
pub struct EventLoopConfig {
    /// The configuration.
    pub config: Rc<Config>,
    /// The keys that every configuration has to hold.
    pub schema: ConfigSchema,
    /// The seed for random numbers.
    pub seed: u64,
    /// What the predecessor handed over, if there was one.
    pub inheritance: Option<InheritedState>,
    /// The counts of this process so far.
    pub metrics: Metrics,
    /// How far the recovery has come.
    pub recovery: RecoveryStatus,
    /// What the recovery found at the start.
    pub recovery_outcome: RecoveryOutcome,
    /// The clock, which continues that of the journal's earlier processes.
    pub clock: Clock,
    /// What the run-time checks of this process found.
    pub violations: Violations,
}

impl EventLoop {
    /// Returns the terms on which the endpoint list is polled, to be followed as they change.
    pub fn poll_config(&self) -> WatchCell<PollConfig> {
        self.published.poll_config.clone()
    }

    /// Runs until a graceful shutdown is over (`None`), or a successor takes over.
    pub async fn run(mut self, events: &mut UnboundedReceiver<LoopEvent>) -> Option<HandoverState> {
        // Messages that were recovered may have ended already, and their notifications be due.
        self.release_durable_effects();
        loop {
            let due = self.due();
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return None,
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
            }
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            let now = Instant::now();
            self.proceed(now);
            if self.is_shutdown_over(now) {
                return None;
            }
            while self.tasks.try_join_next().is_some() {}
            if let Some(successor) = self.lifecycle.take_successor(now, !self.calls.is_empty()) {
                return Some(self.hand_over(successor, events).await);
            }
        }
    }

    /// Returns when the loop has something to do without another event.
    fn due(&self) -> Option<Instant> {
        let dues = [
            self.step_due(),
            self.lifecycle.due(),
            self.checkpoint_due().map(|at| self.clock.instant(at)),
            self.durable_effects.as_ref().and_then(DurableEffects::due),
            self.recovery_due(),
            self.journal_repair_due(),
        ];
        dues.into_iter().flatten().min()
    }

    fn step_due(&self) -> Option<Instant> {
        self.queue.due(self.configuration.min_step_interval())
    }

    /// Does everything that is due at `now`.
    fn proceed(&mut self, now: Instant) {
        if self.step_due().is_some_and(|due| due <= now) {
            self.step();
        }
        self.advance_recovery();
        self.repair_journal(now);
        self.release_durable_effects();
        // After the step: the journal's own records come first.
        self.advance_checkpoint(now);
    }

    /// Handles one event.
    fn handle(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::Submit { message, deadline, reply } => {
                // A client that has gone submits again under a new ID; this message is delivered all the
                // same.
                let response = self.submit(message, deadline);
                self.respond(reply, response);
            }
            LoopEvent::CallCompleted(completion) => self.complete_call(completion),
            LoopEvent::Connected { endpoint, messages, is_allowed } => {
                self.confirm_call(endpoint, &messages, is_allowed);
            }
            LoopEvent::ConnectionIdle { endpoint, address, connection } => {
                self.pool_connection(endpoint, address, connection);
            }
            LoopEvent::EndpointList(list) => self.apply_endpoint_list(list),
            LoopEvent::NotificationsAcknowledged(messages) => self.acknowledge(messages),
            LoopEvent::Shutdown(requested_at) => self.begin_shutdown(requested_at),
            LoopEvent::ReloadIfChanged(Ok(config)) if config.has_same_source(&self.configuration.config) => {}
            LoopEvent::Reload(config) | LoopEvent::ReloadIfChanged(config) => self.reload(config),
            LoopEvent::Successor(successor) => self.request_handover(successor),
            LoopEvent::JournalSynced { file, result } => self.journal_synced(file, result),
            LoopEvent::Admin(request) => self.handle_admin_request(request),
        }
    }

    /// Removes messages whose notifications the platform has acknowledged.
    fn acknowledge(&mut self, messages: Vec<u32>) {
        for number in messages {
            self.remove_message(number);
            self.queue.push(self.clock.now(), Event::CompletionAcknowledged(MessageId(number)));
        }
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        self.ports.log.line(&line.to_string());
    }
}
