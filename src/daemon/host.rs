//! The loop round the decision module: feeds it events, carries out its actions, and keeps the journal ahead
//! of both. It maps the wire's names to the module's numbers.
use super::budget::Budget;
use super::call::{Call, Outside, Parcel, ReportFields};
use super::connection::Connection;
use super::input::{Answer, Called, Doors, Input};
use super::latest::Latest;
use super::notices::Notice;
use super::pool::Pool;
use super::ports::{Ports, WallClock};
use super::store::{Attempt, End, Handed, Owed, Store, StoreError};
use super::targets::{Phase, Targets};
use crate::profile::{Names, Profile, look};
use crate::{
    Action, ClassId, DestinationId, EndpointId, Entry, Event, Listing, Message, MessageId, OrderKey, Outcome,
    Repeat, Report, Resumed, Sender, Settings, Span, TenantId, Time, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// From SIGTERM to the end of the process: the platform kills no sooner than 3.7 s after it.
const WIND_DOWN: Duration = Duration::from_millis(3400);
/// From SIGTERM on, clients still come for 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(600);

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

struct Endpoint {
    name: String,
    address: SocketAddr,
    zone: String,
    batch: usize,
    serving: bool,
}

/// When the process winds down.
#[derive(Clone, Copy)]
struct WindDown {
    /// From then on it ends as soon as nothing is owed.
    quiet: Instant,
    end: Instant,
}

/// A sender at work.
pub struct Host {
    sender: Sender,
    settings: Settings,
    names: Names,
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
    doors: Latest<Doors>,
    outside: Outside,
    notices: UnboundedSender<Notice>,
}

/// The ends of the channels that a host works with.
pub struct Links {
    /// To this host.
    pub inputs: UnboundedSender<Input>,
    /// To the platform.
    pub notices: UnboundedSender<Notice>,
    /// To the clients' side.
    pub doors: Latest<Doors>,
}

impl Host {
    /// A host that takes up what the journal still owes.
    pub fn new(
        profile: &Profile,
        seed: u64,
        known: Targets,
        store: Store,
        links: Links,
        budget: Budget,
        ports: Ports,
    ) -> Result<Self, String> {
        let names = profile.names();
        let settings = Settings { ends_noticed: true, calls_expire_whole: true, ..profile.settings(&names)? };
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
            doors: links.doors,
            outside: Outside { ports, fields, unread, host: links.inputs },
            notices: links.notices,
        };
        host.targets(known);
        host.resume();
        host.step();
        Ok(host)
    }

    /// Works until it has wound down.
    pub async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        loop {
            let due = self.due();
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.take_in(input),
                    None => return,
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
                return;
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
        self.step_at().into_iter().chain(wind_down).min()
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
                let ok = messages.iter().all(|n| self.sender.may_begin(now, MessageId(*n), endpoint));
                let _ = may_begin.send(ok);
            }
            Input::Idle(endpoint, address, connection) => {
                // Nothing more goes to an endpoint that drains, has gone or has moved.
                let at = self.endpoints.get(&endpoint);
                if at.is_some_and(|at| at.serving && at.address == address) {
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
        }
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
        let mut known = match self.message(0, &owed) {
            Ok(known) => known,
            Err(what) => return Answer::Malformed(what),
        };
        let now = self.now();
        // Only the platform is still to hear of the others.
        let held = self.numbers.len() - self.unnoticed;
        if !self.sender.admits(now, held, known.destination) {
            return Answer::Refused;
        }
        let id = owed.message.id.clone();
        match self.store.take_on(owed) {
            Ok(number) => {
                known.id = MessageId(number);
                self.numbers.insert(id, number);
                self.pending.push((now, Event::Message(known)));
                Answer::TakenOn
            }
            Err(e) => {
                self.log(&format!("refused: {e}"));
                Answer::Refused
            }
        }
    }

    /// A message in the module's terms; the error says what cannot be understood.
    fn message(&self, number: u32, owed: &Owed) -> Result<Message, String> {
        let class: ClassId = look(&self.names.classes, &owed.message.class, "class")?;
        let of_class = &self.settings.classes[class.0];
        if matches!(of_class.repeat, Repeat::Keyed { .. }) && owed.message.idempotency_key.is_none() {
            return Err(format!("class {:?} needs an idempotency key", owed.message.class));
        }
        let tenant: Option<TenantId> = match &owed.message.tenant {
            Some(name) if !self.names.tenants.is_empty() => Some(look(&self.names.tenants, name, "tenant")?),
            _ => None,
        };
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
            let message = match self.message(number, &owed) {
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
        let mut entries = Vec::with_capacity(targets.members.len());
        for member in targets.members {
            let (Some(kind), Some(zone)) =
                (self.names.kinds.get(&member.flavor), self.names.zones.get(&member.locality))
            else {
                self.log(&format!("discovery: {} is of an unknown kind or zone", member.id));
                continue;
            };
            let batch = self.settings.kinds[kind.0].batch.max(1);
            let serving = member.phase == Phase::Serving;
            let endpoint = *self.endpoint_ids.entry(member.id.clone()).or_insert_with(|| {
                let id = EndpointId(self.next_endpoint);
                self.next_endpoint += 1;
                id
            });
            let (name, address) = (member.id, member.host_port);
            let known = Endpoint { name, address, zone: member.locality, batch, serving };
            self.endpoints.insert(endpoint, known);
            if !serving {
                self.pool.close(endpoint);
            }
            entries.push(Entry {
                endpoint,
                destination: DestinationId(member.cell),
                kind: *kind,
                zone: *zone,
                listing: match member.phase {
                    Phase::Serving => Listing::Active,
                    Phase::Draining => Listing::Draining,
                    Phase::Deleted => Listing::Removed,
                },
                hint: member.size,
            });
        }
        if targets.complete {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
            for (endpoint, known) in &mut self.endpoints {
                if known.serving && !listed.contains(endpoint) {
                    known.serving = false;
                    self.pool.close(*endpoint);
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
                        self.endpoint_ids.remove(&gone.name);
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
        let (address, zone) = (at.address, at.zone.clone());
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
        spawn_local(async move {
            if let Some(connection) = call.run(kept, &outside).await {
                let _ = outside.host.send(Input::Idle(endpoint, address, connection));
            }
        });
    }

    fn end(&mut self, number: u32, end: End) {
        let Some(owed) = self.store.get(number) else { return };
        let id = owed.message.id.clone();
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
