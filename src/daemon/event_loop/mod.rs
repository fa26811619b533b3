//! The event loop that drives the decision engine: it passes events to the engine, performs the actions that
//! the engine returns, and writes the journal records that have to precede them. It maps names on the wire to
//! the engine's numeric IDs.
//!
//! The state is divided among the modules [`endpoint_table`], [`message_table`], [`calls`],
//! [`checkpointing`], [`recovery`], [`shutdown`] and [`admin`]. Each defines a type that owns its part, and
//! the methods of [`EventLoop`] that mainly use it.
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

/// A running sender: its decision engine, state and channels.
pub struct EventLoop {
    engine: DeliveryEngine,
    configuration: ActiveConfiguration,
    published: PublishedConfiguration,
    /// The events for the engine's next step.
    queue: StepQueue,
    endpoints: EndpointTable,
    messages: MessageTable,
    calls: CallTable,
    /// Sends notifications to the task that delivers them to the platform.
    notifications: UnboundedSender<Notification>,
    /// Effects that wait until their records are synced; `None` if records need not survive a machine crash.
    durable_effects: Option<DurableEffects>,
    journal_repair: JournalRepair,
    checkpointing: Checkpointing,
    recovery: RecoveryProgress,
    lifecycle: Lifecycle,
    metrics: MetricsRecorder,
    trace: Trace,
    clock: Clock,
    violations: Violations,
    /// Running calls and journal syncs.
    tasks: JoinSet<()>,
    /// Sends events to this loop.
    events: UnboundedSender<LoopEvent>,
    ports: Ports,
}

/// The channels that connect an event loop to other tasks.
pub struct EventLoopChannels {
    /// Sends events to the loop.
    pub events: UnboundedSender<LoopEvent>,
    /// Sends notifications to the task that delivers them to the platform.
    pub notifications: UnboundedSender<Notification>,
    /// Publishes to the listeners whether clients are served.
    pub listener: WatchCell<ListenerState>,
    /// Publishes the address of the discovery agent, which also receives the notifications.
    pub discovery: WatchCell<SocketAddr>,
    /// Sends changed members of the fleet to the membership task; `None` if membership is disabled.
    pub members: Option<UnboundedSender<MembershipConfig>>,
}

/// The inputs from which an event loop is created.
pub struct EventLoopConfig {
    /// The initial configuration.
    pub config: Rc<Config>,
    /// The keys that a reloaded configuration must contain.
    pub schema: ConfigSchema,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The state that the predecessor handed over; `None` without a predecessor.
    pub inheritance: Option<InheritedState>,
    /// The metrics that this process has counted so far.
    pub metrics: Metrics,
    /// The progress of the recovery after a restart.
    pub recovery: RecoveryStatus,
    /// The endpoint restrictions that peers reported, and the stamp to write to the journal.
    pub recovery_outcome: RecoveryOutcome,
    /// The clock, which continues the time of the processes that wrote the journal.
    pub clock: Clock,
    /// The counters of the violations that the run-time checks of this process find.
    pub violations: Violations,
}

impl EventLoop {
    /// Returns a cell with the settings for polling the endpoint list. Reloads update the cell.
    pub fn poll_config(&self) -> WatchCell<PollConfig> {
        self.published.poll_config.clone()
    }

    /// Runs the loop. Returns `None` after a graceful shutdown, or the state to hand over if a successor
    /// takes over.
    pub async fn run(mut self, events: &mut UnboundedReceiver<LoopEvent>) -> Option<HandoverState> {
        // Recovered messages that have already ended may have notifications to send.
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
            self.run_due_work(now);
            if self.advance_shutdown(now) {
                self.log_shutdown(now);
                return None;
            }
            while self.tasks.try_join_next().is_some() {}
            if let Some(successor) = self.lifecycle.take_successor(now, !self.calls.is_empty()) {
                return Some(self.hand_over(successor, events).await);
            }
        }
    }

    /// Returns the time at which the next timer of the loop expires, or `None` if no timer is set.
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

    /// Runs all work that is due at `now`.
    fn run_due_work(&mut self, now: Instant) {
        if self.step_due().is_some_and(|due| due <= now) {
            self.step();
        }
        self.advance_recovery();
        self.repair_journal(now);
        self.release_durable_effects();
        // Comes last, because journal records take precedence over the checkpoint for disk space.
        self.advance_checkpoint(now);
    }

    fn handle(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::Submit { message, deadline, reply } => {
                // The message is delivered even if its client has disconnected and submits it again under a
                // new ID.
                let response = self.submit(message, deadline);
                self.respond(reply, response);
            }
            LoopEvent::CallCompleted(completion) => self.complete_call(completion),
            LoopEvent::Connected(endpoint) => self.trace_connected(endpoint),
            LoopEvent::ConfirmCall { endpoint, address, messages, is_allowed } => {
                let _ = is_allowed.send(self.may_send(endpoint, address, &messages));
            }
            LoopEvent::ConnectionIdle { endpoint, address, connection } => {
                self.pool_connection(endpoint, address, connection);
            }
            LoopEvent::RetryAfter { endpoint, wait, received_at } => {
                self.apply_retry_after(endpoint, wait, received_at);
            }
            LoopEvent::UnsolicitedResponse(unsolicited) => self.record_unsolicited_response(unsolicited),
            LoopEvent::EndpointList(list) => self.apply_endpoint_list(list),
            LoopEvent::NotificationsAcknowledged(messages) => self.acknowledge(messages),
            LoopEvent::Shutdown(requested_at) => self.begin_shutdown(requested_at),
            LoopEvent::ReloadIfChanged(Ok(config)) if config.has_same_source(&self.configuration.config) => {}
            LoopEvent::Reload(config) | LoopEvent::ReloadIfChanged(config) => self.reload(config),
            LoopEvent::ClientsClosed => self.lifecycle.clients_closed(),
            LoopEvent::Successor(successor) => self.request_handover(successor),
            LoopEvent::JournalSynced { file, result } => self.complete_sync(file, result),
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
