//! Helpers shared by the tests of the module: settings, a list, and a host that keeps the clock.
#![allow(dead_code)]
use micadrum::*;

pub const SECOND: u64 = 1_000_000;

pub const SAFE: ClassId = ClassId(0);
pub const KEYED_ALL: ClassId = ClassId(1);
pub const KEYED_ZONE: ClassId = ClassId(2);
pub const UNSAFE: ClassId = ClassId(3);
pub const ORDERED: ClassId = ClassId(4);

pub fn settings() -> Settings {
    let class = |repeat, ordered| Class {
        aim: Span(2 * SECOND),
        deadline: Span(16 * SECOND),
        worth: 1.0,
        late_worth: 0.5,
        repeat,
        ordered,
    };
    let window = Span(5 * SECOND);
    Settings {
        classes: vec![
            class(Repeat::Safe, false),
            class(Repeat::Keyed { group: Group::All, window }, false),
            class(Repeat::Keyed { group: Group::Zone, window }, false),
            class(Repeat::Unsafe, false),
            class(Repeat::Keyed { group: Group::All, window }, true),
        ],
        kinds: vec![Kind { routes_apart: false, batch: 1 }, Kind { routes_apart: true, batch: 1 }],
        tenants: vec![],
        over_share_worth: 1.0,
        zone: ZoneId(0),
        senders: 2,
        slots: 8,
        most_held: 100,
        max_attempts: 6,
        period: Span(5_000),
        connect_timeout: Span(SECOND),
        decay: Decay::Even,
        discovery: Discovery::Pushed,
        hints: Hints::None,
        probes: false,
        cancel: true,
        ends_noticed: false,
        calls_expire_whole: false,
        rules: Rules {
            drain_grace: Span(SECOND),
            cold_share: 0.2,
            ramp: Span(10 * SECOND),
            overload_factor: 2.0,
            fall: Span(1_500_000),
            order_settle: Span(2 * SECOND),
            must_ask_in: Span(10 * SECOND),
        },
    }
}

/// An entry of destination `d`: endpoint number, kind and zone.
pub fn entry(d: u64, endpoint: u32, kind: usize, zone: usize) -> Entry {
    Entry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(d),
        kind: KindId(kind),
        zone: ZoneId(zone),
        listing: Listing::Active,
        hint: 0.0,
    }
}

/// A sender with a clock: each call is one step.
pub struct Host {
    pub sender: Sender,
    pub now: u64,
}

impl Host {
    pub fn new(settings: Settings, list: Vec<Entry>) -> Self {
        let mut host = Host { sender: Sender::new(settings, 1).unwrap(), now: 100 * SECOND };
        host.step(&[Event::FullList(list)]);
        host
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.step(Time(self.now), events, &mut actions);
        actions.retain(|a| {
            !matches!(a, Action::WakeIn(_) | Action::Log(_) | Action::CloseIdle(_) | Action::Forget(_))
        });
        actions
    }

    pub fn message(&mut self, id: u32, class: ClassId, d: u64) -> Vec<Action> {
        self.step(&[message(id, class, d, None)])
    }

    pub fn ended(&mut self, id: u32, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.step(&[ended(id, attempt, outcome)])
    }

    /// Steps on, waking every 20 ms, for `span`; all that was done, with the time of each action.
    pub fn run(&mut self, span: u64) -> Vec<(u64, Action)> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 20_000;
            let now = self.now;
            all.extend(self.step(&[Event::Woken]).into_iter().map(|a| (now, a)));
        }
        all
    }
}

pub fn message(id: u32, class: ClassId, d: u64, key: Option<u64>) -> Event {
    Event::Message(Message {
        id: MessageId(id),
        class,
        tenant: None,
        key: key.map(OrderKey),
        destination: DestinationId(d),
        budget: Span(16 * SECOND),
    })
}

pub fn ended(id: u32, attempt: u32, outcome: Outcome) -> Event {
    Event::Ended {
        message: MessageId(id),
        attempt,
        outcome,
        elapsed: Span(100_000),
        last: outcome == Outcome::Success,
        report: None,
    }
}

/// Where message `id` was sent among `actions`.
pub fn sent(actions: &[Action], id: u32) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Send { message, endpoint, .. } if message.0 == id => Some(endpoint.0),
        _ => None,
    })
}

/// When and where message `id` was first sent in a run.
pub fn sent_at(run: &[(u64, Action)], id: u32) -> Option<(u64, u32)> {
    run.iter().find_map(|(at, a)| sent(std::slice::from_ref(a), id).map(|e| (*at, e)))
}

pub fn refused(run: &[(u64, Action)], id: u32) -> bool {
    run.iter().any(|(_, a)| matches!(a, Action::Refuse { message, .. } if message.0 == id))
}

pub fn failed(run: &[(u64, Action)], id: u32) -> bool {
    run.iter().any(|(_, a)| *a == Action::Fail(MessageId(id)))
}

impl Host {
    /// One step with all its actions, closed connections too.
    pub fn raw(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.step(Time(self.now), events, &mut actions);
        actions
    }
}
