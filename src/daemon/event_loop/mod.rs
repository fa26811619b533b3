//! The loop round the decision module: feeds it events, carries out its actions, and keeps the journal ahead
//! of both. It maps the wire's names to the module's numbers.
mod admin;
mod admission;
mod calls;
mod checkpointing;
mod clock;
mod durable_effects;
mod endpoints;
mod recovery;
mod shutdown;

use super::checkpoint::DiscoveryVersion;
use super::checkpoint::file::CheckpointFile;
use super::checkpoint::schedule::CheckpointSchedule;
use super::class_registry::{ClassRegistry, NamedClass};
use super::config::Config;
use super::config_schema::ConfigSchema;
use super::connection::Connection;
use super::connection_pool::ConnectionPool;
use super::events::{AdminRequest, ListenerState, LoopEvent};
use super::handover::{InheritedState, Successor};
use super::journal::{FinalOutcome, Journal, SubmittedMessage};
use super::maintenance::Maintenance;
use super::membership::Members;
use super::metrics::Metrics;
use super::notifications::Notification;
use super::outbound_call::CallContext;
use super::poll_schedule::PollingTerms;
use super::ports::Ports;
use super::recovery::{Marks, RecoveryStart, RecoveryStatus};
use super::resource_budget::ResourceBudget;
use super::trace::Trace;
use super::watch_cell::WatchCell;
use crate::profile::{Names, Profile};
use crate::{
    Action, DeliveryEngine, EndpointId, Event, MessageId, Outcome, RecoveredMessage, Settings, Timestamp,
};
use admin::{CLASSES, idle_time, report_fields, written_classes};
use clock::Clock;
use durable_effects::DurableEffects;
use endpoints::KnownEndpoint;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
pub use shutdown::HandoverState;
use shutdown::ShutdownDeadlines;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// From a successor's word until its place is given: calls that take longer are given up.
const SETTLE: Duration = Duration::from_secs(1);

/// A sender at work.
pub struct EventLoop {
    sender: DeliveryEngine,
    settings: Settings,
    names: Names,
    classes: ClassRegistry,
    /// The keys that a configuration holds.
    shape: ConfigSchema,
    maintenance: Maintenance,
    /// What is written down of the list and of what was learned, and the order of work on it.
    notebook: CheckpointFile,
    slices: CheckpointSchedule,
    /// The list that was heard last.
    version: Option<DiscoveryVersion>,
    /// Its agent has begun to count anew since others may have heard of it: its versions compare with none of theirs.
    counts_anew: bool,
    figures: Metrics,
    picture: Option<(Instant, Rc<Metrics>)>,
    platform: WatchCell<SocketAddr>,
    /// On which terms the list is asked for, for the watch.
    terms: WatchCell<PollingTerms>,
    store: Journal,
    pool: ConnectionPool<Connection>,
    clock: Clock,
    /// What the list tells of endpoints, until the module has no more use for it.
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    endpoint_ids: BTreeMap<String, EndpointId>,
    next_endpoint: u32,
    /// The number of each message held, by its id.
    numbers: BTreeMap<String, u32>,
    /// Messages that have ended, and whose notice the platform has not acknowledged.
    unnoticed: usize,
    /// Calls that are out, with when they began.
    calls: BTreeMap<u64, Timestamp>,
    next_call: u64,
    /// Events for the next step, with when they happened.
    pending: Vec<(Timestamp, Event)>,
    last_step: Instant,
    wake_at: Option<Instant>,
    winding_down: Option<ShutdownDeadlines>,
    /// Who takes its place, and when.
    successor: Option<(Successor, Instant)>,
    /// Calls that are out.
    tasks: JoinSet<()>,
    config: Rc<Config>,
    doors: WatchCell<ListenerState>,
    outside: CallContext,
    notices: UnboundedSender<Notification>,
    peers: Option<UnboundedSender<Members>>,
    trace: Trace,
    /// What waits for its records, where they are to outlast the machine.
    durable: Option<DurableEffects>,
    /// How service returns after a restart.
    returning: RecoveryStatus,
    marks: Marks,
    /// The last moment that the journal told of when it was opened, wall clock, microseconds.
    latest: u64,
    /// Messages of before that are not to be sent yet, by deadline (wall clock, microseconds) and number.
    resting: BTreeMap<(u64, u32), RecoveredMessage>,
}

/// The ends of the channels that a host works with.
pub struct EventLoopChannels {
    /// To this host.
    pub inputs: UnboundedSender<LoopEvent>,
    /// To the platform.
    pub notices: UnboundedSender<Notification>,
    /// To the clients' side.
    pub doors: WatchCell<ListenerState>,
    /// Where discovery is, and notices go.
    pub platform: WatchCell<SocketAddr>,
    /// To those that follow the list of peers, where they are on.
    pub peers: Option<UnboundedSender<Members>>,
}

/// What a host starts from.
pub struct EventLoopConfig {
    /// The configuration.
    pub config: Rc<Config>,
    /// The keys that each has to hold.
    pub shape: ConfigSchema,
    /// For random numbers.
    pub seed: u64,
    /// What the process before left, if there was one.
    pub inheritance: Option<InheritedState>,
    /// The counts of this process so far.
    pub figures: Metrics,
    /// How service returns, where that is not at once.
    pub returning: RecoveryStatus,
    /// What was found at the start, and what others add to that.
    pub found: RecoveryStart,
}

/// The module's settings, with all classes that there have been.
fn settings(profile: &Profile, names: &Names, classes: &ClassRegistry) -> Result<Settings, String> {
    let own = Settings {
        completion_requires_acknowledgement: true,
        batch_expires_together: true,
        ..profile.settings(names)?
    };
    Ok(Settings { classes: classes.all(), ..own })
}

/// On which terms the list is asked for.
fn terms(settings: &Settings) -> PollingTerms {
    let Settings { fleet_size: senders, discovery, rules, .. } = settings;
    let [grace, must_ask_in] =
        [rules.drain_grace, rules.discovery_staleness_limit].map(|span| Duration::from_micros(span.0));
    PollingTerms { senders: *senders, discovery: *discovery, grace, must_ask_in }
}

impl EventLoop {
    /// A host that takes up what the journal still owes.
    pub fn new(
        start: EventLoopConfig,
        store: Journal,
        links: EventLoopChannels,
        budget: ResourceBudget,
        ports: Ports,
    ) -> Result<Self, String> {
        let EventLoopConfig { config, shape, seed, inheritance, figures, returning, found } = start;
        let profile = &config.settings;
        let (notebook, remembered, unread) = CheckpointFile::open(ports.storage.clone(), &config.name);
        if let Some(unread) = unread {
            ports.log.line(&unread.to_string());
        }
        let handed_over = inheritance.is_some();
        let InheritedState { memory, classes: earlier } = match inheritance {
            Some(inheritance) => inheritance,
            None => InheritedState { memory: remembered, classes: Vec::new() },
        };
        let names = profile.names();
        let retired = written_classes(&*ports.storage).unwrap_or_else(|e| {
            ports.log.line(&format!("{CLASSES}: {e}; messages of classes that have gone are tried once"));
            Vec::new()
        });
        // Only those are still of use that a message is of.
        let wanted = |class: &NamedClass| store.pending().any(|(_, owed)| owed.message.class == class.0);
        let retired = earlier.into_iter().chain(retired).filter(wanted).collect();
        let mut classes = ClassRegistry::new(profile.classes()?, retired)?;
        for (_, owed) in store.pending() {
            let SubmittedMessage { class, idempotency_key, .. } = &owed.message;
            if !classes.take_up(class, idempotency_key.is_some()) {
                let once = "what was taken on under it and not tried is tried once";
                ports.log.line(&format!("resuming: class {class:?} is unknown: {once}"));
            }
        }
        let settings = settings(profile, &names, &classes)?;
        let (maintenance, wrong) = Maintenance::open(ports.storage.clone());
        if let Some(wrong) = wrong {
            ports.log.line(&wrong);
        }
        let clock = Clock::new(&*ports.wall);
        let fields = report_fields(profile);
        let unread = Arc::new(Semaphore::new(budget.unread));
        let mut host = Self {
            sender: DeliveryEngine::new(settings.clone(), seed).map_err(|e| e.to_string())?,
            terms: WatchCell::new(terms(&settings)),
            settings,
            names,
            classes,
            shape,
            maintenance,
            notebook,
            slices: CheckpointSchedule::new(budget.memory_file),
            version: None,
            counts_anew: false,
            picture: None,
            platform: links.platform,
            store,
            pool: ConnectionPool::new(idle_time(profile), budget.idle),
            clock,
            endpoints: BTreeMap::new(),
            endpoint_ids: BTreeMap::new(),
            next_endpoint: 0,
            numbers: BTreeMap::new(),
            unnoticed: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            pending: Vec::new(),
            last_step: Instant::now(),
            wake_at: None,
            winding_down: None,
            successor: None,
            tasks: JoinSet::new(),
            config: config.clone(),
            doors: links.doors,
            trace: Trace::new(ports.traces.calls, ports.log.clone()),
            outside: CallContext {
                ports,
                fields,
                written: Arc::new(AtomicU64::new(figures.backend_calls)),
                unread,
                host: links.inputs,
            },
            figures,
            notices: links.notices,
            peers: links.peers,
            durable: DurableEffects::new(&config.operator),
            returning,
            marks: Marks::default(),
            latest: 0,
            resting: BTreeMap::new(),
        };
        host.show_classes();
        let chance = (!handed_over).then(|| ChaCha8Rng::seed_from_u64(seed));
        if host.durable.is_some() {
            host.store.enable_durability().map_err(|e| e.to_string())?;
        }
        host.start_from(memory, &config, chance);
        host.heed(found.restrictions);
        host.resume();
        host.keep_classes();
        host.stamp(found.stamp);
        host.step();
        host.begin_memory();
        Ok(host)
    }

    /// On which terms the list is asked for, as they change.
    pub fn terms(&self) -> WatchCell<PollingTerms> {
        self.terms.clone()
    }

    /// Works until it has wound down, or given up its place.
    pub async fn run(mut self, inputs: &mut UnboundedReceiver<LoopEvent>) -> Option<HandoverState> {
        // What was taken up from the process before has ends to tell, too.
        self.let_go();
        loop {
            let due = self.due();
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.take_in(input),
                    None => return None,
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
            }
            while let Ok(input) = inputs.try_recv() {
                self.take_in(input);
            }
            let now = Instant::now();
            if self.step_at().is_some_and(|at| at <= now) {
                self.step();
            }
            self.go_on_returning();
            self.let_go();
            // After the step: the journal's own records come first.
            self.remember(now);
            // The doors stay open until the process ends: a client may use a connection for as long as it is open,
            // and one that it found closed sends it to a new one.
            if let Some(wind_down) = self.winding_down
                && now >= wind_down.quiet
                && (now >= wind_down.end
                    || (self.calls.is_empty() && self.store.pending().next().is_none() && !self.holds_back()))
            {
                return None;
            }
            while self.tasks.try_join_next().is_some() {}
            if let Some((successor, _)) =
                self.successor.take_if(|(_, end)| now >= *end || self.calls.is_empty())
            {
                return Some(self.give_up(successor, inputs).await);
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.clock.at(Instant::now())
    }

    /// The next step: no sooner than a period after the last.
    fn step_at(&self) -> Option<Instant> {
        let earliest = self.last_step + Duration::from_micros(self.settings.min_step_interval.0);
        if self.pending.is_empty() { self.wake_at.map(|at| at.max(earliest)) } else { Some(earliest) }
    }

    fn due(&self) -> Option<Instant> {
        let wind_down = self.winding_down.map(|w| if Instant::now() < w.quiet { w.quiet } else { w.end });
        let successor = self.successor.as_ref().map(|(_, end)| *end);
        let memory = self.memory_due().map(|at| self.clock.instant(at));
        let durable = self.durable.as_ref().and_then(DurableEffects::due);
        let returning = self.return_due();
        let others = [wind_down, successor, memory, durable, returning];
        self.step_at().into_iter().chain(others.into_iter().flatten()).min()
    }

    fn take_in(&mut self, input: LoopEvent) {
        match input {
            LoopEvent::Submit { message, deadline, answer } => {
                // A client that has gone comes again under a new id; this one is owed all the same.
                let said = self.submit(message, deadline);
                self.answer(answer, said);
            }
            LoopEvent::CallCompleted(called) => self.called(called),
            LoopEvent::Connected { endpoint, messages, may_begin } => {
                let now = self.now();
                if let Some(at) = self.endpoints.get(&endpoint) {
                    self.trace.connect(now, at.member.cell, &at.member.id);
                }
                let ok =
                    messages.iter().all(|n| self.sender.is_call_still_allowed(now, MessageId(*n), endpoint));
                let _ = may_begin.send(ok);
            }
            LoopEvent::ConnectionIdle(endpoint, address, connection) => {
                // Nothing more goes to an endpoint that drains, has gone or has moved.
                let at = self.endpoints.get(&endpoint);
                if at.is_some_and(|at| at.serving && at.member.host_port == address) {
                    self.pool.put(endpoint, address, connection, Instant::now());
                }
            }
            LoopEvent::EndpointList(targets) => self.targets(targets),
            LoopEvent::NotificationsAcknowledged(numbers) => {
                for number in numbers {
                    self.over(number);
                    self.pending.push((self.now(), Event::CompletionAcknowledged(MessageId(number))));
                }
            }
            LoopEvent::Shutdown(told) => self.wind_down(told),
            LoopEvent::ReloadIfChanged(Ok(config)) if config.reads_as(&self.config) => {}
            LoopEvent::Reload(config) | LoopEvent::ReloadIfChanged(config) => {
                let done = config.and_then(|config| {
                    let told = self.reload(&config)?;
                    self.config = config.into();
                    Ok(told)
                });
                match done {
                    Ok(told) => {
                        self.figures.reconfig_ok += 1;
                        self.log(&format!("reloaded: {told}"));
                    }
                    // A file that cannot be used must not stop a sender at work.
                    Err(e) => {
                        self.figures.reconfig_failed += 1;
                        self.log(&format!("reload: {e}; all stays as it was"));
                    }
                }
            }
            // A second one while the first is on its way breaks its link.
            LoopEvent::Successor(successor) if self.successor.is_none() => {
                let end = Instant::now() + SETTLE;
                self.log("a next process asks for this one's place");
                self.successor = Some((successor, end));
                self.pending.push((self.now(), Event::Handover(self.clock.at(end))));
            }
            LoopEvent::Successor(_) => {}
            LoopEvent::JournalSynced(file, done) => self.synced(file, done),
            LoopEvent::Admin(AdminRequest::Metrics(answer)) => drop(answer.send(self.picture())),
            LoopEvent::Admin(AdminRequest::PeerReport(answer)) => drop(answer.send(self.word())),
            LoopEvent::Admin(AdminRequest::SetMaintenance { endpoint, out, done }) => {
                let _ = done.send(self.maintain(&endpoint, out));
            }
        }
    }

    fn step(&mut self) {
        let at = Instant::now();
        let now = self.clock.at(at);
        self.last_step = at;
        let mut events = Vec::with_capacity(self.pending.len() + 1);
        for (happened, mut event) in self.pending.drain(..) {
            // Times left run from when something happened, not from the step that takes it in.
            let late = now.0.saturating_sub(happened.0);
            match &mut event {
                Event::Message(message) => {
                    message.time_to_live.0 = message.time_to_live.0.saturating_sub(late)
                }
                Event::AttemptEnded { outcome: Outcome::Rejected { retry_after: Some(wait) }, .. }
                | Event::RetryAfter { wait, .. } => {
                    wait.0 = wait.0.saturating_sub(late);
                }
                _ => {}
            }
            events.push(event);
        }
        if self.wake_at.take_if(|wake| *wake <= at).is_some() {
            events.push(Event::TimerFired);
        }
        let mut actions = Vec::new();
        self.sender.step(now, &events, &mut actions);
        // The sends of a call come one after the other, and the module lets its messages expire together.
        let mut sends: Vec<(EndpointId, Vec<MessageId>, Timestamp)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { message, endpoint, expires } => {
                    let room = self.endpoints.get(&endpoint).map_or(1, |at| at.batch);
                    let open = sends.last_mut().filter(|(to, with, until)| {
                        *to == endpoint && *until == expires && with.len() < room
                    });
                    match open {
                        Some((_, with, _)) => with.push(message),
                        None => sends.push((endpoint, vec![message], expires)),
                    }
                }
                Action::Return { message, retry_after: after } => {
                    self.end(message.0, FinalOutcome::Returned(after.map(|span| span.0.div_ceil(1000))));
                }
                Action::Fail(id) => self.end(id.0, FinalOutcome::Failed),
                Action::SetTimer(span) => {
                    let wake = at + Duration::from_micros(span.0);
                    self.wake_at = Some(self.wake_at.map_or(wake, |set| set.min(wake)));
                }
                Action::CloseIdleConnections(endpoint) => self.pool.close(endpoint),
                Action::ForgetEndpoint(endpoint) => {
                    self.pool.close(endpoint);
                    if let Some(gone) = self.endpoints.remove(&endpoint) {
                        self.endpoint_ids.remove(&gone.member.id);
                    }
                }
                Action::Log(line) => self.log(&line),
                // The watch is always on; the module neither calls off nor probes.
                Action::WatchEndpoints
                | Action::PollEndpoints
                | Action::Cancel { .. }
                | Action::CheckHealth(_) => {}
            }
        }
        for (endpoint, messages, expires) in sends {
            self.call(endpoint, messages, expires);
        }
    }

    fn log(&self, line: &str) {
        self.outside.ports.log.line(line);
    }
}
