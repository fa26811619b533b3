//! The selection as it was before there were indices, kept as a slow model: it looks at all that is held, and sorts
//! it, in every step. Random days go through both; every action must be the same.

use super::*;
use std::collections::BTreeMap;

impl Sender {
    fn slow_ends(&mut self, actions: &mut Vec<Action>) {
        let mut late: Vec<MessageId> =
            self.held.iter().filter(|(_, held)| self.is_due(held)).map(|(id, _)| *id).collect();
        late.sort_unstable();
        late.into_iter().for_each(|id| self.end(id, actions));
        self.closed.clear();
    }

    fn slow_shed(&mut self, actions: &mut Vec<Action>) {
        while self.held.len() > self.room() {
            let least = (self.held.iter())
                .filter(|(_, h)| matches!(h.stage, Stage::Waiting(_)) && h.ran.is_none())
                .filter(|(_, h)| !(h.found && h.attempts == 0))
                .map(|(id, h)| (self.worth(h.message.class, h.deadline, 0.0), h.deadline, *id))
                .min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((.., id)) = least else { return };
            self.end(id, actions);
        }
    }

    fn slow_turns(&mut self, actions: &mut Vec<Action>) {
        let mut waiting: BTreeMap<DestinationId, Vec<(f64, Time, MessageId)>> = BTreeMap::new();
        for (id, held) in &self.held {
            // A resumed message that has had all its attempts goes nowhere, and ranks its destination no more.
            let goes = held.attempts < self.settings.max_attempts && self.rule_order(held);
            if goes && matches!(held.stage, Stage::Waiting(at) if at <= self.now) {
                let queue = waiting.entry(held.message.destination).or_default();
                queue.push((self.worth(held.message.class, held.deadline, 0.0), held.deadline, *id));
            }
        }
        for queue in waiting.values_mut() {
            queue.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
            // Those that others wait behind, and those found untried after a restart, come before all, each part in its order.
            queue.sort_by_key(|(.., id)| !self.held[id].slip.is_some_and(|slip| slip.crowded));
        }
        waiting.retain(|destination, _| self.directory.destination(*destination).is_some());
        while self.calls.len() < self.settings.slots {
            let fewest = waiting.iter().min_by(|(a, x), (b, y)| {
                let calls = |d: &DestinationId| self.directory.destination(*d).map_or(0, |d| d.calls);
                let first = |queue: &[(f64, Time, MessageId)]| {
                    let worth = |a: &(f64, Time, MessageId), b: &(f64, Time, MessageId)| {
                        b.0.total_cmp(&a.0).then(a.1.cmp(&b.1))
                    };
                    queue.iter().copied().min_by(worth).unwrap()
                };
                let (x, y) = (first(x), first(y));
                calls(a).cmp(&calls(b)).then(y.0.total_cmp(&x.0)).then(x.1.cmp(&y.1))
            });
            let Some(destination) = fewest.map(|(d, _)| *d) else { return };
            let queue = &waiting[&destination];
            let choice = (queue.iter().enumerate())
                .find_map(|(place, (_, _, id))| self.slow_choice(*id).map(|endpoint| (place, endpoint)));
            let Some((place, endpoint)) = choice else {
                waiting.remove(&destination);
                continue;
            };
            let mut queue = waiting.remove(&destination).unwrap();
            let (_, _, id) = queue.remove(place);
            let first = actions.len();
            let room = self.directory.endpoint(endpoint).map_or(1, |at| self.batch(at));
            let call = self.send(id, endpoint, None, actions);
            let mut room = room - 1;
            queue.retain(|(_, _, id)| {
                let joins = room > 0 && self.may_send(*id, endpoint, true);
                if joins {
                    room -= 1;
                    self.send(*id, endpoint, call, actions);
                }
                !joins
            });
            if self.settings.calls_expire_whole {
                self.expire_together(&mut actions[first..]);
            }
            if !queue.is_empty() {
                waiting.insert(destination, queue);
            }
        }
    }

    /// Patience is asked again only now and then: in between, what it may hold is taken to be held. Nothing else
    /// that the books put off is believed here.
    fn slow_choice(&self, id: MessageId) -> Option<EndpointId> {
        let held = &self.held[&id];
        let (destination, class) = (held.message.destination, &self.settings.classes[held.message.class.0]);
        let later = class.repeat == Repeat::Unsafe && self.waiting.looked_at_later(destination);
        let all = self.directory.endpoints_of(destination);
        let open = all.filter(|(_, at)| !later || self.directory.line(at.line).doubted.is_none());
        self.choose(id, &open.map(|(id, _)| id).collect::<Vec<_>>())
    }

    /// A step of both: the model's on a copy of this sender, whose actions must be the same.
    fn checked_step(&mut self, now: Time, events: &[Event], seed: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.begin(now, events, &mut actions);
        type Stage = fn(&mut Sender, &mut Vec<Action>);
        let stages: [(&str, Stage, Stage); 3] = [
            ("ends", Sender::end_in_time, Sender::slow_ends),
            ("shed", Sender::shed, Sender::slow_shed),
            ("turns", Sender::give_turns, Sender::slow_turns),
        ];
        for (name, fast, slow) in stages {
            let (mut model, mut expected, from) = (self.clone(), Vec::new(), actions.len());
            slow(&mut model, &mut expected);
            fast(self, &mut actions);
            assert_eq!(actions[from..], expected, "seed {seed} at {now:?}: {name}");
        }
        assert!(!self.unfinished, "seed {seed}: a day that is too large to compare");
        self.finish(&mut actions);
        // No wake-up comes later than what is due: nothing is to go, to be looked at or to end unnoticed.
        let due = self.held.values().filter_map(|held| match held.slip?.stand {
            Stand::Until(at) => Some(at.min(self.last_moment(held.deadline))),
            Stand::Behind | Stand::Ready => Some(self.last_moment(held.deadline)),
        });
        let beat = HEARTBEAT * self.settings.period.0;
        if let Some(due) = due.min() {
            let alarm = self.woken_at.expect("an alarm, as something waits");
            assert!(alarm <= due.max(Time(now.0 + beat)), "seed {seed} at {now:?}: {alarm:?} for {due:?}");
        }
        actions
    }
}

const SECOND: u64 = 1_000_000;

pub(crate) struct Draw(ChaCha8Rng);

impl Draw {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n
    }

    fn one<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }
}

/// Settings with everything that can be drawn about them drawn.
pub(crate) fn settings(draw: &mut Draw) -> Settings {
    let window = Span(draw.one(&[SECOND, 5 * SECOND]));
    let groups = [Group::All, Group::Zone];
    let repeats = [
        Repeat::Safe,
        Repeat::Keyed { group: draw.one(&groups), window },
        Repeat::Keyed { group: draw.one(&groups), window },
        Repeat::Unsafe,
        Repeat::Unsafe,
    ];
    let classes = repeats.map(|repeat| Class {
        aim: Span(SECOND * (1 + draw.below(3))),
        deadline: Span(SECOND * (5 + draw.below(8))),
        worth: draw.one(&[1.0, 2.0, 2.0, 0.0]),
        late_worth: draw.one(&[0.0, 0.1, 0.5, 1.0]),
        repeat,
        ordered: draw.below(3) == 0,
    });
    Settings {
        classes: classes.to_vec(),
        kinds: [false, true]
            .map(|routes_apart| Kind { routes_apart, batch: 1 + draw.below(4) as usize })
            .into(),
        tenants: vec![],
        over_share_worth: 1.0,
        zone: ZoneId(0),
        senders: 1 + draw.below(4) as usize,
        slots: draw.one(&[2, 8, 30]),
        most_held: draw.one(&[12, 60, 300]),
        max_attempts: 1 + draw.below(6) as u32,
        period: Span(5_000),
        connect_timeout: Span(SECOND),
        decay: draw.one(&[Decay::Even, Decay::Halves]),
        discovery: Discovery::Pushed,
        hints: draw.one(&[Hints::None, Hints::CallsPerSecond]),
        probes: false,
        cancel: true,
        ends_noticed: draw.below(2) == 0,
        calls_expire_whole: draw.below(2) == 0,
        rules: Rules {
            drain_grace: Span(SECOND),
            cold_share: 0.2,
            ramp: Span(SECOND * (1 + draw.below(10))),
            overload_factor: 2.0,
            fall: Span(1_500_000),
            order_settle: Span(draw.one(&[0, 300_000, 2 * SECOND])),
            must_ask_in: Span(10 * SECOND),
        },
    }
}

/// A day of random events; how many messages were sent, ended undelivered, and held back while others went.
fn play(seed: u64) -> [usize; 2] {
    let mut draw = Draw::new(seed);
    let settings = settings(&mut draw);
    let mut sender = Sender::new(settings.clone(), seed).unwrap();
    let entry = |e: u32, listing| Entry {
        endpoint: EndpointId(e),
        destination: DestinationId(u64::from(e) % 7),
        kind: KindId(e as usize % 7 % 2),
        zone: ZoneId(e as usize / 7 % 2),
        listing,
        hint: f64::from(e % 5) * 3.0,
    };
    let list = |draw: &mut Draw| {
        let listings =
            [Listing::Active, Listing::Active, Listing::Active, Listing::Draining, Listing::Removed];
        let mut entries: Vec<Entry> = (0..20).map(|e| entry(e, draw.one(&listings))).collect();
        entries.retain(|_| draw.below(8) > 0);
        entries
    };
    let (mut now, mut id, mut counts) = (100 * SECOND, 0, [0, 0]);
    let mut out: Vec<(MessageId, u32, Time, u64)> = Vec::new();
    let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
    let mut unnoticed = Vec::new();
    // Now and then all is well, fails, or is slow; the share of good answers moves with it.
    let (mut good, mut pace) = (8, 2);
    let first = list(&mut draw);
    sender.checked_step(Time(now), &[Event::FullList(first)], seed);
    for step in 0..1500 {
        if step % 150 == 0 {
            (good, pace) = (draw.below(11), draw.one(&[1, 4, 12]));
        }
        let mut events = vec![];
        match draw.below(400) {
            0 => events.push(Event::FullList(list(&mut draw))),
            1..4 => {
                let listing = draw.one(&[Listing::Active, Listing::Draining, Listing::Removed]);
                events.push(Event::ListChanges(vec![entry(draw.below(20) as u32, listing)]));
            }
            4 => {
                let (endpoint, wait) = (EndpointId(draw.below(20) as u32), Span(draw.below(2 * SECOND)));
                events.push(Event::Told { endpoint, wait });
            }
            5 if step > 1400 && sender.ends_at.is_none() => {
                events.push(Event::WindDown(Time(now + 2 * SECOND)));
            }
            6 if id > 0 => events.push(Event::Withdrawn(MessageId(draw.below(u64::from(id)) as u32))),
            _ => {}
        }
        while draw.below(pace + 1) > 0 && draw.below(3) > 0 {
            let class = ClassId(draw.below(5) as usize);
            let key = (draw.below(2) == 0).then(|| OrderKey(draw.below(9)));
            let (destination, budget) = (DestinationId(draw.below(8)), Span(draw.below(12 * SECOND)));
            let message = Message { id: MessageId(id), class, tenant: None, key, destination, budget };
            id += 1;
            events.push(match draw.below(15) {
                0 => {
                    let ran = (draw.below(2) == 0)
                        .then(|| (Time(now - draw.below(6 * SECOND)), ZoneId(draw.below(3) as usize)));
                    let attempts_ = draw.below(4) as u32;
                    attempts.insert(message.id, attempts_);
                    let ended = settings.ends_noticed && draw.below(3) == 0;
                    if ended {
                        unnoticed.push(message.id);
                    }
                    Event::Resumed(Resumed { message, attempts: attempts_, ran, ended })
                }
                _ => Event::Message(message),
            });
        }
        out.retain(|&(message, attempt, expires, due)| {
            if due > now && expires.0 > now {
                return true;
            }
            let (wait, told) = (Span(draw.below(3 * SECOND)), draw.below(2) == 0);
            let bad = [
                Outcome::Failure,
                Outcome::TimedOut,
                Outcome::Reset,
                Outcome::ConnectFailed,
                Outcome::Full(told.then_some(wait)),
                Outcome::Void,
                Outcome::Cancelled,
            ];
            let outcome = match () {
                () if expires.0 <= now => Outcome::TimedOut,
                () if draw.below(10) < good => Outcome::Success,
                () => draw.one(&bad),
            };
            let report = (draw.below(4) == 0).then(|| Report { left: 0.5, limit: draw.below(20) as f64 });
            let last = outcome == Outcome::Success;
            events.push(Event::Ended { message, attempt, outcome, elapsed: Span(1), last, report });
            false
        });
        unnoticed.retain(|id| {
            let noticed = draw.below(20) == 0;
            noticed.then(|| events.push(Event::Noticed(*id)));
            !noticed
        });
        for action in sender.checked_step(Time(now), &events, seed) {
            match action {
                Action::Send { message, expires, .. } => {
                    counts[0] += 1;
                    let attempt = attempts.entry(message).or_default();
                    out.push((message, *attempt, expires, now + draw.below(400_000)));
                    *attempt += 1;
                }
                Action::Refuse { message, .. } | Action::Fail(message) => {
                    counts[1] += 1;
                    if settings.ends_noticed {
                        unnoticed.push(message);
                    }
                }
                _ => {}
            }
        }
        now += draw.one(&[5_000, 5_000, 5_000, 10_000, 40_000, 300_000]);
    }
    counts
}

/// Guards against a choice, an end or a refusal that the indices make other than a look at everything would.
#[test]
fn indices_choose_what_a_look_at_everything_chooses() {
    let mut counts = [0, 0];
    for seed in 0..60 {
        let of_day = play(seed);
        counts = [counts[0] + of_day[0], counts[1] + of_day[1]];
    }
    assert!(counts[0] > 10_000 && counts[1] > 5_000, "something happened: {counts:?}");
}
