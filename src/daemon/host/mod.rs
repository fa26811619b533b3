//! The loop round the decision module: feeds it events, carries out its actions, and keeps the journal ahead
//! of both. It maps the wire's names to the module's numbers.
mod calls;
mod clock;
mod durable;
mod intake;
mod leaving;
mod list;
mod operators;
mod remembering;
mod returning;

use super::asking::Terms;
use super::budget::Budget;
use super::call::Outside;
use super::classes::{Classes, Named};
use super::config::Config;
use super::connection::Connection;
use super::figures::Figures;
use super::handover::{Inheritance, Successor};
use super::input::{Ask, Doors, Input};
use super::latest::Latest;
use super::maintenance::Maintenance;
use super::memory::Version;
use super::memory::notebook::Notebook;
use super::memory::slices::Slices;
use super::notices::Notice;
use super::peers::Members;
use super::pool::Pool;
use super::ports::Ports;
use super::recovery::{Begun, Marks, Returning};
use super::shape::Shape;
use super::store::{End, Handed, Store};
use super::trace::Trace;
use crate::profile::{Names, Profile};
use crate::{Action, EndpointId, Event, MessageId, Outcome, Resumed, Sender, Settings, Time};
use clock::Clock;
use durable::Durable;
pub use leaving::Legacy;
use leaving::WindDown;
use list::Endpoint;
use operators::{CLASSES, idle_time, report_fields, written_classes};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
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
pub struct Host {
    sender: Sender,
    settings: Settings,
    names: Names,
    classes: Classes,
    /// The keys that a configuration holds.
    shape: Shape,
    maintenance: Maintenance,
    /// What is written down of the list and of what was learned, and the order of work on it.
    notebook: Notebook,
    slices: Slices,
    /// The list that was heard last.
    version: Option<Version>,
    /// Its agent has begun to count anew since others may have heard of it: its versions compare with none of theirs.
    counts_anew: bool,
    figures: Figures,
    picture: Option<(Instant, Rc<Figures>)>,
    platform: Latest<SocketAddr>,
    /// On which terms the list is asked for, for the watch.
    terms: Latest<Terms>,
    store: Store,
    pool: Pool<Connection>,
    clock: Clock,
    /// What the list tells of endpoints, until the module has no more use for it.
    endpoints: BTreeMap<EndpointId, Endpoint>,
    endpoint_ids: BTreeMap<String, EndpointId>,
    next_endpoint: u32,
    /// The number of each message held, by its id.
    numbers: BTreeMap<String, u32>,
    /// Messages that have ended, and whose notice the platform has not acknowledged.
    unnoticed: usize,
    /// Calls that are out, with when they began.
    calls: BTreeMap<u64, Time>,
    next_call: u64,
    /// Events for the next step, with when they happened.
    pending: Vec<(Time, Event)>,
    last_step: Instant,
    wake_at: Option<Instant>,
    winding_down: Option<WindDown>,
    /// Who takes its place, and when.
    successor: Option<(Successor, Instant)>,
    /// Calls that are out.
    tasks: JoinSet<()>,
    config: Rc<Config>,
    doors: Latest<Doors>,
    outside: Outside,
    notices: UnboundedSender<Notice>,
    peers: Option<UnboundedSender<Members>>,
    trace: Trace,
    /// What waits for its records, where they are to outlast the machine.
    durable: Option<Durable>,
    /// How service returns after a restart.
    returning: Returning,
    marks: Marks,
    /// The last moment that the journal told of when it was opened, wall clock, microseconds.
    latest: u64,
    /// Messages of before that are not to be sent yet, by deadline (wall clock, microseconds) and number.
    resting: BTreeMap<(u64, u32), Resumed>,
}

/// The ends of the channels that a host works with.
pub struct Links {
    /// To this host.
    pub inputs: UnboundedSender<Input>,
    /// To the platform.
    pub notices: UnboundedSender<Notice>,
    /// To the clients' side.
    pub doors: Latest<Doors>,
    /// Where discovery is, and notices go.
    pub platform: Latest<SocketAddr>,
    /// To those that follow the list of peers, where they are on.
    pub peers: Option<UnboundedSender<Members>>,
}

/// What a host starts from.
pub struct Start {
    /// The configuration.
    pub config: Rc<Config>,
    /// The keys that each has to hold.
    pub shape: Shape,
    /// For random numbers.
    pub seed: u64,
    /// What the process before left, if there was one.
    pub inheritance: Option<Inheritance>,
    /// The counts of this process so far.
    pub figures: Figures,
    /// How service returns, where that is not at once.
    pub returning: Returning,
    /// What was found at the start, and what others add to that.
    pub found: Begun,
}

/// The module's settings, with all classes that there have been.
fn settings(profile: &Profile, names: &Names, classes: &Classes) -> Result<Settings, String> {
    let own = Settings { ends_noticed: true, calls_expire_whole: true, ..profile.settings(names)? };
    Ok(Settings { classes: classes.all(), ..own })
}

/// On which terms the list is asked for.
fn terms(settings: &Settings) -> Terms {
    let Settings { senders, discovery, rules, .. } = settings;
    let [grace, must_ask_in] =
        [rules.drain_grace, rules.must_ask_in].map(|span| Duration::from_micros(span.0));
    Terms { senders: *senders, discovery: *discovery, grace, must_ask_in }
}

impl Host {
    /// A host that takes up what the journal still owes.
    pub fn new(
        start: Start,
        store: Store,
        links: Links,
        budget: Budget,
        ports: Ports,
    ) -> Result<Self, String> {
        let Start { config, shape, seed, inheritance, figures, returning, found } = start;
        let profile = &config.settings;
        let (notebook, remembered, unread) = Notebook::open(ports.storage.clone(), &config.name);
        if let Some(unread) = unread {
            ports.log.line(&unread.to_string());
        }
        let handed_over = inheritance.is_some();
        let Inheritance { memory, classes: earlier } = match inheritance {
            Some(inheritance) => inheritance,
            None => Inheritance { memory: remembered, classes: Vec::new() },
        };
        let names = profile.names();
        let retired = written_classes(&*ports.storage).unwrap_or_else(|e| {
            ports.log.line(&format!("{CLASSES}: {e}; messages of classes that have gone are tried once"));
            Vec::new()
        });
        // Only those are still of use that a message is of.
        let wanted = |class: &Named| store.owed().any(|(_, owed)| owed.message.class == class.0);
        let retired = earlier.into_iter().chain(retired).filter(wanted).collect();
        let mut classes = Classes::new(profile.classes()?, retired)?;
        for (_, owed) in store.owed() {
            let Handed { class, idempotency_key, .. } = &owed.message;
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
            sender: Sender::new(settings.clone(), seed).map_err(|e| e.to_string())?,
            terms: Latest::new(terms(&settings)),
            settings,
            names,
            classes,
            shape,
            maintenance,
            notebook,
            slices: Slices::new(budget.memory_file),
            version: None,
            counts_anew: false,
            picture: None,
            platform: links.platform,
            store,
            pool: Pool::new(idle_time(profile), budget.idle),
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
            outside: Outside {
                ports,
                fields,
                written: Arc::new(AtomicU64::new(figures.backend_calls)),
                unread,
                host: links.inputs,
            },
            figures,
            notices: links.notices,
            peers: links.peers,
            durable: Durable::new(&config.operator),
            returning,
            marks: Marks::default(),
            latest: 0,
            resting: BTreeMap::new(),
        };
        host.show_classes();
        let chance = (!handed_over).then(|| ChaCha8Rng::seed_from_u64(seed));
        if host.durable.is_some() {
            host.store.outlast_the_machine().map_err(|e| e.to_string())?;
        }
        host.start_from(memory, &config, chance);
        host.heed(found.caution);
        host.resume();
        host.keep_classes();
        host.stamp(found.stamp);
        host.step();
        host.begin_memory();
        Ok(host)
    }

    /// On which terms the list is asked for, as they change.
    pub fn terms(&self) -> Latest<Terms> {
        self.terms.clone()
    }

    /// Works until it has wound down, or given up its place.
    pub async fn run(mut self, inputs: &mut UnboundedReceiver<Input>) -> Option<Legacy> {
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
                    || (self.calls.is_empty() && self.store.owed().next().is_none() && !self.holds_back()))
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

    fn now(&self) -> Time {
        self.clock.at(Instant::now())
    }

    /// The next step: no sooner than a period after the last.
    fn step_at(&self) -> Option<Instant> {
        let earliest = self.last_step + Duration::from_micros(self.settings.period.0);
        if self.pending.is_empty() { self.wake_at.map(|at| at.max(earliest)) } else { Some(earliest) }
    }

    fn due(&self) -> Option<Instant> {
        let wind_down = self.winding_down.map(|w| if Instant::now() < w.quiet { w.quiet } else { w.end });
        let successor = self.successor.as_ref().map(|(_, end)| *end);
        let memory = self.memory_due().map(|at| self.clock.instant(at));
        let durable = self.durable.as_ref().and_then(Durable::due);
        let returning = self.return_due();
        let others = [wind_down, successor, memory, durable, returning];
        self.step_at().into_iter().chain(others.into_iter().flatten()).min()
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::HandIn { message, deadline, answer } => {
                // A client that has gone comes again under a new id; this one is owed all the same.
                let said = self.hand_in(message, deadline);
                self.answer(answer, said);
            }
            Input::Called(called) => self.called(called),
            Input::Connected { endpoint, messages, may_begin } => {
                let now = self.now();
                if let Some(at) = self.endpoints.get(&endpoint) {
                    self.trace.connect(now, at.member.cell, &at.member.id);
                }
                let ok = messages.iter().all(|n| self.sender.may_begin(now, MessageId(*n), endpoint));
                let _ = may_begin.send(ok);
            }
            Input::Idle(endpoint, address, connection) => {
                // Nothing more goes to an endpoint that drains, has gone or has moved.
                let at = self.endpoints.get(&endpoint);
                if at.is_some_and(|at| at.serving && at.member.host_port == address) {
                    self.pool.put(endpoint, address, connection, Instant::now());
                }
            }
            Input::Targets(targets) => self.targets(targets),
            Input::Noticed(numbers) => {
                for number in numbers {
                    self.over(number);
                    self.pending.push((self.now(), Event::Noticed(MessageId(number))));
                }
            }
            Input::WindDown(told) => self.wind_down(told),
            Input::Reread(Ok(config)) if config.reads_as(&self.config) => {}
            Input::Reload(config) | Input::Reread(config) => {
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
            Input::Successor(successor) if self.successor.is_none() => {
                let end = Instant::now() + SETTLE;
                self.log("a next process asks for this one's place");
                self.successor = Some((successor, end));
                self.pending.push((self.now(), Event::HandOver(self.clock.at(end))));
            }
            Input::Successor(_) => {}
            Input::Synced(file, done) => self.synced(file, done),
            Input::Operator(Ask::Figures(answer)) => drop(answer.send(self.picture())),
            Input::Operator(Ask::Word(answer)) => drop(answer.send(self.word())),
            Input::Operator(Ask::Maintain { endpoint, out, done }) => {
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
                Event::Message(message) => message.budget.0 = message.budget.0.saturating_sub(late),
                Event::Ended { outcome: Outcome::Full(Some(wait)), .. } | Event::Told { wait, .. } => {
                    wait.0 = wait.0.saturating_sub(late);
                }
                _ => {}
            }
            events.push(event);
        }
        if self.wake_at.take_if(|wake| *wake <= at).is_some() {
            events.push(Event::Woken);
        }
        let mut actions = Vec::new();
        self.sender.step(now, &events, &mut actions);
        // The sends of a call come one after the other, and the module lets its messages expire together.
        let mut sends: Vec<(EndpointId, Vec<MessageId>, Time)> = Vec::new();
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
                Action::Refuse { message, after } => {
                    self.end(message.0, End::Returned(after.map(|span| span.0.div_ceil(1000))));
                }
                Action::Fail(id) => self.end(id.0, End::Failed),
                Action::WakeIn(span) => {
                    let wake = at + Duration::from_micros(span.0);
                    self.wake_at = Some(self.wake_at.map_or(wake, |set| set.min(wake)));
                }
                Action::CloseIdle(endpoint) => self.pool.close(endpoint),
                Action::Forget(endpoint) => {
                    self.pool.close(endpoint);
                    if let Some(gone) = self.endpoints.remove(&endpoint) {
                        self.endpoint_ids.remove(&gone.member.id);
                    }
                }
                Action::Log(line) => self.log(&line),
                // The watch is always on; the module neither calls off nor probes.
                Action::Subscribe | Action::FetchList | Action::Cancel { .. } | Action::Probe(_) => {}
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
