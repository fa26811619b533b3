//! Creates an event loop from the configuration, the journal, and the state of an earlier process.
use super::admin::{MetricsRecorder, PublishedConfiguration};
use super::calls::CallTable;
use super::checkpointing::{CheckpointOrigin, Checkpointing};
use super::configuration::{ActiveConfiguration, EventLoopError, idle_timeout, poll_config, report_fields};
use super::durable_effects::DurableEffects;
use super::endpoint_table::EndpointTable;
use super::journal_repair::JournalRepair;
use super::message_table::MessageTable;
use super::recovery::RecoveryProgress;
use super::shutdown::Lifecycle;
use super::step_queue::StepQueue;
use super::{EventLoop, EventLoopChannels, EventLoopConfig};
use crate::DeliveryEngine;
use crate::daemon::checkpoint::Checkpoint;
use crate::daemon::checkpoint::file::CheckpointFile;
use crate::daemon::checkpoint::schedule::CheckpointSchedule;
use crate::daemon::class_registry::NamedClass;
use crate::daemon::connection_pool::ConnectionPool;
use crate::daemon::handover::InheritedState;
use crate::daemon::journal::Journal;
use crate::daemon::maintenance::Maintenance;
use crate::daemon::outbound_call::CallContext;
use crate::daemon::ports::Ports;
use crate::daemon::recovery::RecoveryOutcome;
use crate::daemon::request_trace::RequestTrace;
use crate::daemon::resource_budget::ResourceBudget;
use crate::daemon::trace::Trace;
use crate::daemon::watch_cell::WatchCell;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The state of an earlier process, apart from the journal.
struct PreviousState {
    file: CheckpointFile,
    checkpoint: Checkpoint,
    classes: Vec<NamedClass>,
    origin: CheckpointOrigin,
}

impl PreviousState {
    /// Loads the state that a predecessor handed over, or else the checkpoint in the state folder.
    fn load(inheritance: Option<InheritedState>, name: &str, seed: u64, ports: &Ports) -> Self {
        let opened = CheckpointFile::open(ports.storage.clone(), name);
        let file = opened.file;
        if let Some(unreadable) = opened.error {
            ports.log.line(&unreadable.to_string());
        }
        match inheritance {
            Some(InheritedState { checkpoint, classes }) => {
                Self { file, checkpoint, classes, origin: CheckpointOrigin::Handover }
            }
            None => {
                let origin = CheckpointOrigin::Restart(Box::new(ChaCha8Rng::seed_from_u64(seed)));
                Self { file, checkpoint: opened.checkpoint, classes: Vec::new(), origin }
            }
        }
    }
}

impl EventLoop {
    /// Creates an event loop that resumes the messages in `journal`.
    ///
    /// # Errors
    /// Returns an error if the settings or the classes are invalid.
    pub fn new(
        start: EventLoopConfig,
        journal: Journal,
        channels: EventLoopChannels,
        budget: ResourceBudget,
        ports: Ports,
    ) -> Result<Self, EventLoopError> {
        let EventLoopConfig {
            config,
            schema,
            seed,
            inheritance,
            metrics,
            recovery,
            recovery_outcome,
            clock,
            violations,
        } = start;
        let PreviousState { file, checkpoint, classes, origin } =
            PreviousState::load(inheritance, &config.name, seed, &ports);
        let (storage, log) = (&*ports.storage, &*ports.log);
        let configuration = ActiveConfiguration::new(config, schema, classes, &journal, storage, log)?;
        let (maintenance, unreadable) = Maintenance::open(ports.storage.clone());
        if let Some(unreadable) = unreadable {
            log.line(&unreadable.to_string());
        }
        let EventLoopChannels { events, notifications, listener, discovery, members } = channels;
        let settings = configuration.settings.clone();
        let poll_config = WatchCell::new(poll_config(&settings));
        let profile = &configuration.config.settings;
        let context = CallContext {
            ports: ports.clone(),
            report_fields: report_fields(profile),
            written_messages: Arc::new(AtomicU64::new(metrics.backend_calls)),
            unread_responses: Arc::new(Semaphore::new(budget.unread_responses)),
            events: events.clone(),
            trust: Rc::default(),
            trace: RequestTrace::new(ports.traces.requests, ports.log.clone()),
        };
        let pool = ConnectionPool::new(idle_timeout(profile), budget.idle_connections);
        let mut event_loop = Self {
            engine: DeliveryEngine::new(settings, seed)?,
            published: PublishedConfiguration { discovery, poll_config, members },
            queue: StepQueue::new(Instant::now()),
            endpoints: EndpointTable::new(maintenance),
            calls: CallTable::new(pool, context),
            recovery: RecoveryProgress::new(recovery, journal.latest_time()),
            messages: MessageTable::new(journal),
            notifications,
            durable_effects: DurableEffects::new(&configuration.config.operator),
            journal_repair: JournalRepair::default(),
            checkpointing: Checkpointing::new(file, CheckpointSchedule::new(budget.checkpoint_bytes)),
            lifecycle: Lifecycle::new(listener),
            metrics: MetricsRecorder::new(metrics),
            trace: Trace::new(ports.traces.calls, ports.log.clone()),
            clock,
            violations,
            tasks: JoinSet::new(),
            events,
            ports,
            configuration,
        };
        event_loop.restore(checkpoint, origin, recovery_outcome)?;
        Ok(event_loop)
    }

    /// Counts and logs messages of the journal that were not recovered. Runs before any client is served.
    fn check_all_messages_recovered(&self) {
        let pending = self.messages.journal.pending().count();
        let missing = pending.abs_diff(self.messages.len());
        if missing > 0 {
            self.violations.record_unrecovered(missing as u64);
            self.log(format_args!("violation: messages of the journal not recovered count={missing}"));
        }
    }

    /// Restores the state of an earlier process, and runs the first step of the engine.
    fn restore(
        &mut self,
        checkpoint: Checkpoint,
        origin: CheckpointOrigin,
        recovery_outcome: RecoveryOutcome,
    ) -> Result<(), EventLoopError> {
        self.register_classes_in_metrics();
        if self.durable_effects.is_some() {
            let enabled = self.messages.journal.enable_durability();
            // On failure, effects are deferred and messages are rejected until the journal is rewritten.
            self.log_journal_errors(enabled);
        }
        self.restore_checkpoint(checkpoint, origin);
        self.apply_restrictions(recovery_outcome.restrictions);
        self.recover_messages();
        self.store_classes();
        self.continue_journal_clock();
        self.stamp_journal(recovery_outcome.stamp);
        self.check_all_messages_recovered();
        self.step();
        self.write_full_checkpoint();
        Ok(())
    }
}
