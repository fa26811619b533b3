//! The loop round the decision module: feeds it events, carries out its actions, and keeps the journal ahead
//! of both. It maps the wire's names to the module's numbers.
use super::asking::Terms;
use super::budget::Budget;
use super::call::{Call, Outside, Parcel, ReportFields};
use super::classes::{Classes, Named};
use super::config::Config;
use super::connection::Connection;
use super::figures::Figures;
use super::handover::{Inheritance, Successor};
use super::input::{Answer, Ask, AskError, Called, Doors, Input};
use super::latest::Latest;
use super::maintenance::{Maintenance, replace};
use super::notices::Notice;
use super::pool::Pool;
use super::ports::{Ports, Storage, WallClock};
use super::shape::Shape;
use super::store::{Attempt, End, Handed, Owed, Store, StoreError};
use super::targets::{Member, Phase, Targets};
use super::trace::{self, Trace};
use crate::profile::{Names, Profile};
use crate::{
    Action, ClassId, DestinationId, EndpointId, Entry, Event, Listing, Message, MessageId, OrderKey, Outcome,
    Repeat, Report, Resumed, Sender, Settings, Span, Time, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// From SIGTERM to the end of the process: the platform kills no sooner than 3.7 s after it.
const WIND_DOWN: Duration = Duration::from_millis(3400);
/// From SIGTERM on, clients still come for 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(600);
/// From a successor's word until its place is given: calls that take longer are given up.
const SETTLE: Duration = Duration::from_secs(1);
/// How long a call that is given up may take to be closed: nobody may have a second copy while it is open.
const CLOSING: Duration = Duration::from_millis(10);

/// The module's clock: wall time at the start, so that deadlines hold across processes, carried on by the
/// monotonic clock, so that nothing within one process jumps.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    wall: u64,
}

impl Clock {
    fn new(wall: &dyn WallClock) -> Self {
        Self { start: Instant::now(), wall: micros(wall.now()) }
    }

    fn at(&self, instant: Instant) -> Time {
        Time(self.wall + micros(instant.saturating_duration_since(self.start)))
    }

    fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0.saturating_sub(self.wall))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// One endpoint as the list last told of it.
struct Endpoint {
    member: Member,
    batch: usize,
    /// In service, and not taken out by hand.
    serving: bool,
}

/// Classes that messages of earlier processes may still be of, in the folder that lasts.
const CLASSES: &str = "classes.json";
const NEW_CLASSES: &str = "classes.json.new";
/// A picture of the figures serves all who ask within this.
const PICTURE: Duration = Duration::from_millis(100);

fn retired_classes(folder: &dyn Storage) -> Result<Vec<Named>, String> {
    match folder.read(CLASSES).map_err(|e| e.to_string())? {
        Some(bytes) => serde_json::from_slice(&bytes).map_err(|e| e.to_string()),
        None => Ok(Vec::new()),
    }
}

/// When the process winds down.
#[derive(Clone, Copy)]
struct WindDown {
    /// From then on it ends as soon as nothing is owed.
    quiet: Instant,
    end: Instant,
}

/// What a host leaves behind that gave up its place.
pub struct Legacy {
    /// To whom.
    pub successor: Successor,
    /// What it leaves, beside the journal.
    pub inheritance: Inheritance,
    /// The configuration that it followed.
    pub config: Rc<Config>,
    /// Its last picture.
    pub figures: Rc<Figures>,
}

/// A sender at work.
pub struct Host {
    sender: Sender,
    settings: Settings,
    names: Names,
    classes: Classes,
    /// The keys that a configuration holds.
    shape: Shape,
    maintenance: Maintenance,
    figures: Figures,
    picture: Option<(Instant, Rc<Figures>)>,
    platform: Latest<SocketAddr>,
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
    trace: Trace,
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
}

/// The module's settings, with all classes that there have been.
fn settings(profile: &Profile, names: &Names, classes: &Classes) -> Result<Settings, String> {
    let own = Settings { ends_noticed: true, calls_expire_whole: true, ..profile.settings(names)? };
    Ok(Settings { classes: classes.all(), ..own })
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
        let Start { config, shape, seed, inheritance, figures } = start;
        let profile = &config.settings;
        let Inheritance { members, learned, classes: earlier } = inheritance.unwrap_or_default();
        let names = profile.names();
        let retired = retired_classes(&*ports.storage).unwrap_or_else(|e| {
            ports.log.line(&format!("{CLASSES}: {e}; messages of classes that have gone will fail"));
            Vec::new()
        });
        // Only those are still of use that a message is of.
        let wanted = |class: &Named| store.owed().any(|(_, owed)| owed.message.class == class.0);
        let retired = earlier.into_iter().chain(retired).filter(wanted).collect();
        let classes = Classes::new(profile.classes()?, retired)?;
        let settings = settings(profile, &names, &classes)?;
        let (maintenance, wrong) = Maintenance::open(ports.storage.clone());
        if let Some(wrong) = wrong {
            ports.log.line(&wrong);
        }
        let idle = profile.connection_idle().unwrap_or(Span(5_000_000));
        let clock = Clock::new(&*ports.wall);
        let fields = ReportFields {
            left: profile.report_field("x0").is_some(),
            limit: profile.report_field("x1").is_some(),
        };
        let unread = Arc::new(Semaphore::new(budget.unread));
        let mut host = Self {
            sender: Sender::new(settings.clone(), seed).map_err(|e| e.to_string())?,
            settings,
            names,
            classes,
            shape,
            maintenance,
            picture: None,
            platform: links.platform,
            store,
            pool: Pool::new(Duration::from_micros(idle.0), budget.idle),
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
            trace: Trace::new(ports.trace, ports.log.clone()),
            outside: Outside {
                ports,
                fields,
                written: Arc::new(AtomicU64::new(figures.backend_calls)),
                unread,
                host: links.inputs,
            },
            figures,
            notices: links.notices,
        };
        host.show_classes();
        // What the process before had is newer than the file.
        host.targets(match members.is_empty() {
            true => config.known.clone(),
            false => Targets { revision: 0, complete: true, members },
        });
        host.step();
        for (name, learned) in learned {
            if let Some(id) = host.endpoint_ids.get(&name) {
                host.sender.take_up(*id, learned);
            }
        }
        host.resume();
        host.step();
        Ok(host)
    }

    /// On which terms the list is asked for.
    pub fn asking(&self) -> Terms {
        let Settings { senders, discovery, rules, .. } = self.settings;
        let [grace, must_ask_in] =
            [rules.drain_grace, rules.must_ask_in].map(|span| Duration::from_micros(span.0));
        Terms { senders, discovery, grace, must_ask_in }
    }

    /// Works until it has wound down, or given up its place.
    pub async fn run(mut self, inputs: &mut UnboundedReceiver<Input>) -> Option<Legacy> {
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
            // The doors stay open until the process ends: a client may use a connection for as long as it is open,
            // and one that it found closed sends it to a new one.
            if let Some(wind_down) = self.winding_down
                && now >= wind_down.quiet
                && (now >= wind_down.end || (self.calls.is_empty() && self.store.owed().next().is_none()))
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

    /// Ends with all calls closed and the journal as it is; from here on nothing is taken in.
    async fn give_up(mut self, successor: Successor, inputs: &mut UnboundedReceiver<Input>) -> Legacy {
        self.doors.set(Doors::Giving);
        self.tasks.shutdown().await;
        sleep(CLOSING).await;
        // What has come to its end by now is booked and learned from: a wait that was told binds the next process
        // too. Who hands in a message is passed on; the rest is not this host's any more.
        let mut left = Vec::new();
        while let Ok(input) = inputs.try_recv() {
            match input {
                Input::Called(_) | Input::Noticed(_) | Input::Targets(_) => self.take_in(input),
                Input::HandIn { .. } | Input::Connected { .. } | Input::Idle(..) | Input::Successor(_) => {}
                Input::WindDown | Input::Reload(_) | Input::Operator(_) => left.push(input),
            }
        }
        for input in left {
            let _ = self.outside.host.send(input);
        }
        // No call is begun that would end after now: none at all.
        let now = self.now();
        self.pending.push((now, Event::HandOver(now)));
        self.step();
        self.picture = None;
        let figures = Figures { inflight: 0, ..(*self.picture()).clone() };
        let known = || self.endpoints.iter();
        let inheritance = Inheritance {
            members: known().map(|(_, known)| known.member.clone()).collect(),
            learned: known().map(|(id, known)| (known.member.id.clone(), self.sender.learned(*id))).collect(),
            classes: self.classes.named().to_vec(),
        };
        Legacy { successor, inheritance, config: self.config, figures: Rc::new(figures) }
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
        self.step_at().into_iter().chain(wind_down).chain(successor).min()
    }

    // ---- what comes in -------------------------------------------------------------------------------

    fn take_in(&mut self, input: Input) {
        match input {
            Input::HandIn { message, deadline, answer } => {
                // A client that has gone comes again under a new id; this one is owed all the same.
                let _ = answer.send(self.hand_in(message, deadline));
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
            Input::WindDown => self.wind_down(),
            Input::Reload(config) => {
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
            Input::Operator(Ask::Figures(answer)) => drop(answer.send(self.picture())),
            Input::Operator(Ask::Maintain { endpoint, out, done }) => {
                let _ = done.send(self.maintain(&endpoint, out));
            }
        }
    }

    // ---- what operators ask ---------------------------------------------------------------------------

    /// Takes a configuration over whole, or leaves all as it was.
    fn reload(&mut self, config: &Config) -> Result<String, String> {
        if let Some(key) = config.lacks(&self.shape) {
            return Err(format!("{key} is missing"));
        }
        let (profile, names) = (&config.settings, config.settings.names());
        if names.kinds != self.names.kinds || names.zones != self.names.zones {
            return Err("kinds and zones cannot change while a sender runs".to_owned());
        }
        let named = profile.classes()?;
        let mut classes = self.classes.clone();
        classes.change(named)?;
        let settings = settings(profile, &names, &classes)?;
        settings.check().map_err(|e| e.to_string())?;
        let retired = classes.retired();
        // Before a message of a class that has gone can be all that is left of it.
        if retired != self.classes.retired() {
            let written = replace(&*self.outside.ports.storage, CLASSES, NEW_CLASSES, &retired);
            written.map_err(|e| format!("writing {CLASSES}: {e}"))?;
        }
        let as_before = if self.platform.set(config.discovery) { "" } else { " as before" };
        (self.classes, self.names) = (classes, names);
        self.show_classes();
        if settings != self.settings {
            self.settings = settings.clone();
            self.pending.push((self.now(), Event::Settings(Box::new(settings))));
        }
        Ok(format!("discovery at {}{as_before}, {} classes", config.discovery, self.classes.names().count()))
    }

    fn show_classes(&mut self) {
        for class in self.classes.names() {
            self.figures.show(class);
        }
    }

    /// The figures as they are now, or were a moment ago.
    fn picture(&mut self) -> Rc<Figures> {
        let at = Instant::now();
        if let Some((taken, picture)) = &self.picture
            && at < *taken + PICTURE
        {
            return picture.clone();
        }
        let now = self.clock.at(at);
        let listed = self.endpoints.iter().filter(|(_, known)| known.member.phase != Phase::Deleted);
        let down = |(id, known): &(&EndpointId, &Endpoint)| !known.serving || self.sender.avoids(now, **id);
        let picture = Rc::new(Figures {
            backend_calls: self.outside.written.load(Ordering::Relaxed),
            inflight: self.numbers.len() - self.unnoticed,
            hosts_listed: listed.clone().count(),
            hosts_down: listed.filter(down).count(),
            ..self.figures.clone()
        });
        self.picture = Some((at, picture.clone()));
        picture
    }

    fn maintain(&mut self, name: &str, out: bool) -> Result<(), AskError> {
        let listed = self.endpoint_ids.get(name).copied();
        let listed = listed.filter(|id| self.endpoints[id].member.phase != Phase::Deleted);
        if listed.is_none() && !self.maintenance.holds(name) {
            return Err(AskError::Unknown(name.to_owned()));
        }
        let changed = if out { self.maintenance.take_out(name) } else { self.maintenance.put_back(name) }?;
        if let Some(id) = listed.filter(|_| changed) {
            self.log(&format!("{name} is {}", if out { "taken out by hand" } else { "put back" }));
            let entries = self.entry(id).into_iter().collect();
            self.pending.push((self.now(), Event::ListChanges(entries)));
        }
        Ok(())
    }

    /// What the module is told of an endpoint: taken out by hand, it drains whatever the list says.
    fn entry(&mut self, id: EndpointId) -> Option<Entry> {
        let known = self.endpoints.get_mut(&id)?;
        let member = &known.member;
        let listing = match member.phase {
            Phase::Serving if self.maintenance.holds(&member.id) => Listing::Draining,
            Phase::Serving => Listing::Active,
            Phase::Draining => Listing::Draining,
            Phase::Deleted => Listing::Removed,
        };
        known.serving = listing == Listing::Active;
        let entry = Entry {
            endpoint: id,
            destination: DestinationId(member.cell),
            kind: *self.names.kinds.get(&member.flavor)?,
            zone: *self.names.zones.get(&member.locality)?,
            listing,
            hint: member.size,
        };
        if !known.serving {
            self.pool.close(id);
        }
        Some(entry)
    }

    fn wind_down(&mut self) {
        if self.winding_down.is_none() {
            let now = Instant::now();
            let wind_down = WindDown { quiet: now + STILL_COMING, end: now + WIND_DOWN };
            self.winding_down = Some(wind_down);
            self.doors.set(Doors::Closing);
            self.pending.push((self.now(), Event::WindDown(self.clock.at(wind_down.end))));
        }
    }

    fn hand_in(&mut self, message: Handed, deadline: Instant) -> Answer {
        if self.numbers.contains_key(&message.id) || self.store.was_over(&message.id) {
            return Answer::TakenOn;
        }
        let owed = Owed::new(message, self.clock.at(deadline).0);
        let Some(class) = self.classes.of_newcomer(&owed.message.class) else {
            return Answer::Malformed(format!("unknown class {:?}", owed.message.class));
        };
        let tenants = &self.names.tenants;
        let unknown = |name: &&String| !tenants.is_empty() && !tenants.contains_key(*name);
        if let Some(name) = owed.message.tenant.as_ref().filter(unknown) {
            return Answer::Malformed(format!("unknown tenant {name:?}"));
        }
        let mut known = match self.message(0, class, &owed) {
            Ok(known) => known,
            Err(what) => return Answer::Malformed(what),
        };
        let now = self.now();
        // Only the platform is still to hear of the others.
        let held = self.numbers.len() - self.unnoticed;
        if !self.sender.admits(now, held, known.destination) {
            self.figures.refused(&owed.message.class);
            self.trace.ended(now, owed.message.destination, "door", &owed.message.class, 0);
            return Answer::Refused;
        }
        let class = owed.message.class.clone();
        let id = owed.message.id.clone();
        match self.store.take_on(owed) {
            Ok(number) => {
                known.id = MessageId(number);
                self.numbers.insert(id, number);
                self.trace.taken(now, known.destination.0);
                self.pending.push((now, Event::Message(known)));
                Answer::TakenOn
            }
            Err(e) => {
                self.figures.refused(&class);
                self.log(&format!("refused: {e}"));
                Answer::Refused
            }
        }
    }

    /// A message in the module's terms; the error says what cannot be understood.
    fn message(&self, number: u32, class: ClassId, owed: &Owed) -> Result<Message, String> {
        let of_class = &self.settings.classes[class.0];
        if matches!(of_class.repeat, Repeat::Keyed { .. }) && owed.message.idempotency_key.is_none() {
            return Err(format!("class {:?} needs an idempotency key", owed.message.class));
        }
        // One of before may be of a tenant that the settings no longer name.
        let tenant = owed.message.tenant.as_ref().and_then(|name| self.names.tenants.get(name).copied());
        // Two keys of one hash would wait for each other: harmless.
        let key = owed.message.key.as_ref().filter(|_| of_class.ordered).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            OrderKey(hasher.finish())
        });
        let budget = Span(owed.deadline.saturating_sub(self.now().0));
        let destination = DestinationId(owed.message.destination);
        Ok(Message { id: MessageId(number), class, tenant, key, destination, budget })
    }

    /// Takes up what an earlier process left.
    fn resume(&mut self) {
        let owed: Vec<(u32, Owed)> = self.store.owed().map(|(number, owed)| (number, owed.clone())).collect();
        for (number, owed) in owed {
            self.numbers.insert(owed.message.id.clone(), number);
            let class = self.classes.of_earlier(&owed.message.class);
            let class = class.ok_or_else(|| format!("unknown class {:?}", owed.message.class));
            let message = match class.and_then(|class| self.message(number, class, &owed)) {
                Ok(message) => message,
                Err(what) => {
                    self.log(&format!("resuming {}: {what}", owed.message.id));
                    self.end(number, owed.end.unwrap_or(End::Failed));
                    continue;
                }
            };
            if owed.out.is_some() {
                // The process ended during the call: nobody knows how far that had come.
                let booked = self.store.outcome(number, true);
                self.booked(booked);
            }
            let ran = owed.ran.as_ref().or(owed.out.as_ref()).map(|first| {
                let zone = self.names.zones.get(&first.zone).copied();
                (Time(first.at), zone.unwrap_or(ZoneId(usize::MAX)))
            });
            let ended = owed.end.is_some();
            let resumed = Resumed { message, attempts: owed.attempts, ran, ended };
            self.pending.push((self.now(), Event::Resumed(resumed)));
            if let Some(end) = owed.end {
                self.unnoticed += 1;
                let _ = self.notices.send(Notice { number, id: owed.message.id, end });
            }
        }
    }

    fn called(&mut self, called: Called) {
        let at = self.clock.at(called.at);
        let sent = self.calls.remove(&called.number).unwrap_or(at);
        if let (Some(at_end), Some((_, outcome, _))) =
            (self.endpoints.get(&called.endpoint), called.ends.first())
        {
            let ended = trace::Ended {
                destination: at_end.member.cell,
                endpoint: &at_end.member.id,
                messages: called.ends.len(),
                outcome: *outcome,
                elapsed: Span(at.0.saturating_sub(sent.0)),
                report: called.report,
            };
            self.trace.call(at, &ended);
        }
        let heeded = called.ends.iter().any(|(_, outcome, _)| matches!(outcome, Outcome::Full(Some(_))));
        self.ended(sent, at, called.ends, called.report);
        if let Some(wait) = called.wait.filter(|_| !heeded) {
            self.pending.push((at, Event::Told { endpoint: called.endpoint, wait }));
        }
    }

    /// Books how the attempts of a call ended.
    fn ended(&mut self, sent: Time, at: Time, ends: Vec<(u32, Outcome, bool)>, report: Option<Report>) {
        for (number, outcome, last) in ends {
            let attempts = self.store.get(number).map_or(1, |owed| owed.attempts);
            if last {
                if let Some(owed) = self.store.get(number).filter(|_| outcome == Outcome::Success) {
                    self.figures.delivered(&owed.message.class);
                }
                self.over(number);
            } else {
                let may_have_run = matches!(outcome, Outcome::Failure | Outcome::TimedOut | Outcome::Reset);
                let booked = self.store.outcome(number, may_have_run);
                self.booked(booked);
            }
            let event = Event::Ended {
                message: MessageId(number),
                attempt: attempts.saturating_sub(1),
                outcome,
                elapsed: Span(at.0.saturating_sub(sent.0)),
                last,
                report,
            };
            self.pending.push((at, event));
        }
    }

    fn targets(&mut self, targets: Targets) {
        self.trace.list(self.now(), &targets);
        let mut entries = Vec::with_capacity(targets.members.len());
        for member in targets.members {
            let kind = self.names.kinds.get(&member.flavor);
            let Some(kind) = kind.filter(|_| self.names.zones.contains_key(&member.locality)) else {
                self.log(&format!("discovery: {} is of an unknown kind or zone", member.id));
                continue;
            };
            let batch = self.settings.kinds[kind.0].batch.max(1);
            let endpoint = *self.endpoint_ids.entry(member.id.clone()).or_insert_with(|| {
                let id = EndpointId(self.next_endpoint);
                self.next_endpoint += 1;
                id
            });
            self.endpoints.insert(endpoint, Endpoint { member, batch, serving: true });
            entries.extend(self.entry(endpoint));
        }
        if targets.complete {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
            for (endpoint, known) in &mut self.endpoints {
                if !listed.contains(endpoint) {
                    known.member.phase = Phase::Deleted;
                    if std::mem::take(&mut known.serving) {
                        self.pool.close(*endpoint);
                    }
                }
            }
            self.pending.push((self.now(), Event::FullList(entries)));
        } else if !entries.is_empty() {
            self.pending.push((self.now(), Event::ListChanges(entries)));
        }
    }

    // ---- one round -----------------------------------------------------------------------------------

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

    fn call(&mut self, endpoint: EndpointId, messages: Vec<MessageId>, expires: Time) {
        let now = self.now();
        // The module forgets no endpoint that it sends to.
        let Some(at) = self.endpoints.get(&endpoint) else { return };
        let (address, zone) = (at.member.host_port, at.member.locality.clone());
        let mut parcels = Vec::with_capacity(messages.len());
        let mut unsent = Vec::new();
        for MessageId(number) in messages {
            let begun = self.store.begin(number, Attempt { at: now.0, zone: zone.clone() });
            let Some(owed) = self.store.get(number) else { continue };
            if let Err(e) = begun {
                // An attempt that a restart would not know of must not go out.
                self.log(&format!("not sent: {e}"));
                unsent.push((number, Outcome::Void, false));
                continue;
            }
            parcels.push(Parcel {
                number,
                id: owed.message.id.clone(),
                idempotency_key: owed.message.idempotency_key.clone(),
                body: owed.message.body.clone(),
            });
        }
        self.ended(now, now, unsent, None);
        if parcels.is_empty() {
            return;
        }
        let number = self.next_call;
        self.next_call += 1;
        self.calls.insert(number, now);
        let call = Call {
            number,
            endpoint,
            address,
            parcels,
            expires: self.clock.instant(expires),
            connect_timeout: Duration::from_micros(self.settings.connect_timeout.0),
        };
        let (kept, outside) = (self.pool.take(endpoint, address, Instant::now()), self.outside.clone());
        self.tasks.spawn_local(async move {
            if let Some(connection) = call.run(kept, &outside).await {
                let _ = outside.host.send(Input::Idle(endpoint, address, connection));
            }
        });
    }

    fn end(&mut self, number: u32, end: End) {
        let Some(owed) = self.store.get(number) else { return };
        let id = owed.message.id.clone();
        self.figures.ended(&owed.message.class, end);
        let how = if matches!(end, End::Failed) { "failed" } else { "returned" };
        let Handed { destination, class, .. } = &owed.message;
        self.trace.ended(self.now(), *destination, how, class, owed.attempts);
        let booked = self.store.end(number, end);
        self.booked(booked);
        self.unnoticed += 1;
        let _ = self.notices.send(Notice { number, id, end });
    }

    /// Nothing more is owed.
    fn over(&mut self, number: u32) {
        let Some(owed) = self.store.get(number) else { return };
        self.numbers.remove(&owed.message.id);
        if owed.end.is_some() {
            self.unnoticed -= 1;
        }
        let booked = self.store.over(number, self.now().0);
        self.booked(booked);
    }

    /// A record that cannot be written is made good by the next compaction; the sender goes on.
    fn booked(&mut self, written: Result<(), StoreError>) {
        if let Err(e) = written {
            self.log(&e.to_string());
        }
        if let Some(e) = self.store.failed_compaction() {
            self.log(&format!("journal: compaction failed, the old file stays: {e}"));
        }
    }

    fn log(&self, line: &str) {
        self.outside.ports.log.line(line);
    }
}
