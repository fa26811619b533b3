//! What a partner does with a call: limits, queues, pace, outages, cold starts, keys remembered. Free of I/O and
//! clocks; times are microseconds from the start of the day.
use crate::observation::{At, MessageEnd};
use crate::plan::{
    COLD_SHARE, Class, Destination, FALL, KEY_WINDOW, Kind, Limit, OVERLOAD_FACTOR, RAMP, SeededRng,
};
use std::collections::{BTreeMap, VecDeque};

/// Calls that wait at an endpoint for each that it serves; more are turned away.
const QUEUE: usize = 4;
/// A span of the limits that count calls.
const WINDOW: At = 2_000_000;
/// What chance is allowed beyond the multiple before a cold partner falls, in standard deviations of arrivals that
/// come independently at the highest rate it bears: a load that is kept up passes that, a clump does not.
const FALL_SLACK: f64 = 3.0;
/// A partner that was away for less does not cool down; the shortest outage on record lasted 6.3 s.
const COOLS_AFTER: At = 6_000_000;
/// One that fails more calls than this hardly works, and cools down too.
const HARDLY_WORKS: f64 = 0.8;
/// Reports are made anew this often.
const REPORT_EVERY: At = 300_000;

/// What is wrong with an endpoint just now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Condition {
    /// Takes calls and answers none.
    pub hang: bool,
    /// Answers only after that much more.
    pub late: At,
    /// Stands still for the first so long of each so long, counted from then.
    pub stall: Option<(At, At, At)>,
    /// Refuses all, and opens then.
    pub shut_until: Option<At>,
    /// Share of calls that are turned away.
    pub full: f64,
    /// Share of calls that fail quickly.
    pub errors: f64,
    /// Share of answers that are spoilt.
    pub spoil: f64,
    /// Share of calls whose connection breaks after they ran.
    pub reset: f64,
    /// Its machine says nothing.
    pub vanished: bool,
    /// Its process is not there.
    pub dead: bool,
    /// It has drained, and another is to take its place: no outage.
    pub drained: bool,
}

impl Condition {
    /// Whether a partner in it is in an outage.
    pub fn is_outage(&self) -> bool {
        self.hang
            || self.shut_until.is_some()
            || self.vanished
            || self.dead && !self.drained
            || self.errors > HARDLY_WORKS
    }
}

/// How an answer reaches the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// As it is.
    Whole,
    /// As noise; the connection stays open.
    Noise,
    /// Its first line, and then noise.
    FirstLine,
    /// Not at all: the connection breaks.
    Broken,
    /// Never: the connection stays open and silent.
    Never,
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Fate {
    /// When the answer is written.
    pub at: At,
    /// What becomes of each message.
    pub ends: Vec<MessageEnd>,
    /// Which of them take effect, when the answer is due.
    pub effects: Vec<bool>,
    /// A told wait.
    pub wait: Option<At>,
    /// How the answer goes out.
    pub delivery: Delivery,
    /// The line was pushed over by this call, with whose calls did it.
    pub fell: Option<Collapse>,
}

/// A cold line was sent more than it could bear.
#[derive(Clone, Debug, PartialEq)]
pub struct Collapse {
    /// Whose calls they were, one entry a call.
    pub senders: Vec<u32>,
    /// Calls that it would have borne.
    pub budget: f64,
}

/// One message of a call.
pub struct Payload<'a> {
    /// Its class.
    pub class: Class,
    /// Its idempotency key.
    pub key: &'a str,
}

/// A destination, or a route where routes are apart.
struct Line {
    capacity: f64,
    limit: Limit,
    /// Refused calls use the rate up too.
    refused_count: bool,
    /// Share of the limit that there is now.
    stays: f64,
    tokens: f64,
    tokens_at: At,
    window: (At, u32),
    /// Since when it is in an outage.
    outage: Option<At>,
    /// When it last came back cold.
    back: Option<At>,
    fallen: bool,
    /// Calls of late, with who made them.
    recent: VecDeque<(At, u32)>,
    reported: (At, f64),
}

struct Endpoint {
    line: usize,
    /// When each slot is free again.
    slots: Vec<At>,
}

/// One partner.
pub struct DestinationModel {
    kind_window: bool,
    service: f64,
    tells: f64,
    lines: Vec<Line>,
    endpoints: BTreeMap<u32, Endpoint>,
    /// Keys that took effect, and until when a repeat is dropped.
    keys: BTreeMap<String, At>,
    key_ends: VecDeque<(At, String)>,
    dice: SeededRng,
}

impl Line {
    /// Share of its capacity that it has: less while it is cold.
    fn warmth(&self, now: At) -> f64 {
        let Some(back) = self.back else { return 1.0 };
        let share = now.saturating_sub(back) as f64 / RAMP.0 as f64;
        (COLD_SHARE + (1.0 - COLD_SHARE) * share).min(1.0)
    }

    /// The limit as it is now.
    fn limit(&self) -> Limit {
        match self.limit {
            Limit::None => Limit::None,
            Limit::Rate(rate) => Limit::Rate(rate * self.stays),
            Limit::Window(count) => Limit::Window(((f64::from(count) * self.stays) as u32).max(1)),
        }
    }

    /// Whether one more call at `now` is within the limit.
    fn admits(&mut self, now: At) -> bool {
        match self.limit() {
            Limit::None => true,
            Limit::Rate(rate) => {
                let since = now.saturating_sub(self.tokens_at) as f64 / 1e6;
                self.tokens = (self.tokens + since * rate).min(rate.max(2.0));
                self.tokens_at = now;
                let ok = self.tokens >= 1.0;
                if ok || self.refused_count {
                    self.tokens = (self.tokens - 1.0).max(0.0);
                }
                ok
            }
            Limit::Window(count) => {
                let window = now / WINDOW;
                if self.window.0 != window {
                    self.window = (window, 0);
                }
                self.window.1 += 1;
                self.window.1 <= count
            }
        }
    }

    /// Share of the limit that is left, and the limit in calls a second.
    fn report(&mut self, now: At) -> (f64, f64) {
        let (left, rate) = match self.limit() {
            Limit::None => (1.0, 0.0),
            Limit::Rate(rate) => ((self.tokens / rate.max(2.0)).clamp(0.0, 1.0), rate),
            Limit::Window(count) => {
                let used = if self.window.0 == now / WINDOW { self.window.1 } else { 0 };
                (1.0 - f64::from(used.min(count)) / f64::from(count.max(1)), f64::from(count) / 2.0)
            }
        };
        if now >= self.reported.0 + REPORT_EVERY {
            self.reported = (now, left);
        }
        (self.reported.1, rate)
    }

    /// Books a call of a sender; whose calls pushed the line over, if it did.
    fn weigh(&mut self, now: At, sender: u32) -> Option<Collapse> {
        self.recent.push_back((now, sender));
        while self.recent.front().is_some_and(|(at, _)| at + FALL.0 < now) {
            self.recent.pop_front();
        }
        let back = self.back.filter(|back| now < back + RAMP.0 && !self.fallen && self.outage.is_none())?;
        let from = now.saturating_sub(FALL.0).max(back);
        let mean = (self.warmth(from) + self.warmth(now)) / 2.0;
        let bears = OVERLOAD_FACTOR * self.capacity * mean * FALL.0 as f64 / 1e6;
        let budget = bears + FALL_SLACK * bears.sqrt();
        let senders: Vec<u32> = self.recent.iter().filter(|(at, _)| *at >= from).map(|(_, s)| *s).collect();
        if senders.len() as f64 <= budget {
            return None;
        }
        self.fallen = true;
        Some(Collapse { senders, budget })
    }
}

impl DestinationModel {
    /// A partner as the plan has it.
    pub fn new(partner: &Destination, seed: u64) -> Self {
        let apart = partner.kind.routes_apart();
        let routes = if apart { partner.endpoints.len() } else { 1 };
        let line = || Line {
            capacity: partner.capacity / routes as f64,
            limit: partner.limit,
            refused_count: partner.kind == Kind::Bank,
            stays: 1.0,
            tokens: 1.0,
            tokens_at: 0,
            window: (0, 0),
            outage: None,
            back: None,
            fallen: false,
            recent: VecDeque::new(),
            reported: (0, 1.0),
        };
        let endpoint = |(n, e): (usize, &crate::plan::EndpointPlan)| {
            (e.number, Endpoint { line: if apart { n } else { 0 }, slots: vec![0; e.slots] })
        };
        Self {
            kind_window: matches!(partner.limit, Limit::Window(_)),
            service: partner.service,
            tells: partner.tells,
            lines: (0..routes).map(|_| line()).collect(),
            endpoints: partner.endpoints.iter().enumerate().map(endpoint).collect(),
            keys: BTreeMap::new(),
            key_ends: VecDeque::new(),
            dice: SeededRng::new(seed, &format!("partner {}", partner.number)),
        }
    }

    /// The line that an endpoint belongs to, counted within the partner.
    pub fn line(&self, endpoint: u32) -> usize {
        self.endpoints.get(&endpoint).map_or(0, |e| e.line)
    }

    /// A line's outage began or ended; whether that is a change.
    pub fn set_outage(&mut self, line: usize, outage: bool, now: At) -> bool {
        let line = &mut self.lines[line];
        if outage {
            let began = line.outage.is_none();
            line.outage.get_or_insert(now);
            return began;
        }
        let Some(since) = line.outage.take() else { return false };
        if now >= since + COOLS_AFTER {
            line.back = Some(now);
            line.recent.clear();
        }
        true
    }

    /// Of a line's limit there is that share now.
    pub fn set_limit(&mut self, line: usize, share: f64) {
        self.lines[line].stays = share;
    }

    /// All endpoints of a line have been replaced by others, which have no outage behind them.
    pub fn replaced(&mut self, line: usize) {
        (self.lines[line].outage, self.lines[line].back) = (None, None);
    }

    /// What an answer of this endpoint reports of its limit.
    pub fn report(&mut self, endpoint: u32, now: At) -> (f64, f64) {
        let line = self.line(endpoint);
        self.lines[line].report(now)
    }

    /// A call whose last byte has come, and which its sender began to send at `sent`: the window in which repeats
    /// are dropped runs from there, as the sender can know no other time.
    pub fn call(
        &mut self,
        now: At,
        sent: At,
        sender: u32,
        endpoint: u32,
        condition: &Condition,
        parcels: &[Payload<'_>],
    ) -> Fate {
        let place = self.line(endpoint);
        let fell = self.lines[place].weigh(now, sender);
        let refuse = |wait: Option<At>, fell: Option<Collapse>| Fate {
            at: now,
            ends: vec![MessageEnd::Full; parcels.len()],
            effects: vec![false; parcels.len()],
            wait,
            delivery: Delivery::Whole,
            fell,
        };
        let tells = self.dice.chance(self.tells);
        if let Some(opens) = condition.shut_until {
            return refuse(
                Some(opens.saturating_sub(now).next_multiple_of(1_000)).filter(|wait| tells && *wait > 0),
                fell,
            );
        }
        let within = self.lines[place].admits(now);
        let wait =
            if self.kind_window { WINDOW - now % WINDOW } else { self.dice.between(250e3, 750e3) as At };
        // Answers tell whole milliseconds.
        let wait = Some(wait.next_multiple_of(1_000)).filter(|_| tells);
        if !within || self.lines[place].fallen || self.dice.chance(condition.full) {
            return refuse(wait, fell);
        }
        if self.dice.chance(condition.errors) {
            let ran = self.dice.chance(0.5);
            let effects = parcels.iter().map(|p| ran && self.takes_effect(sent, p)).collect();
            let ends = vec![MessageEnd::Error; parcels.len()];
            return Fate { at: now + 2_000, ends, effects, wait: None, delivery: Delivery::Whole, fell };
        }
        let pace = self.lines[place].warmth(now).max(0.05);
        let spread = self.dice.between(0.7, 1.3) * (1.0 + 0.15 * (parcels.len() as f64 - 1.0));
        let work = (self.service * spread / pace) as At;
        let Some(at) = self.endpoints.get_mut(&endpoint) else { return refuse(None, fell) };
        let limit = now + (QUEUE as f64 * self.service / pace) as At;
        let Some(slot) = at.slots.iter_mut().min().filter(|free| **free <= limit) else {
            return refuse(wait, fell);
        };
        let mut start = now.max(*slot);
        if let Some((pause, every, from)) = condition.stall
            && let Some(into) = start.checked_sub(from)
            && into % every < pause
        {
            start += pause - into % every;
        }
        let end = start + work;
        *slot = end;
        let end = end + condition.late;
        let delivery = if condition.hang {
            Delivery::Never
        } else if self.dice.chance(condition.reset) {
            Delivery::Broken
        } else if self.dice.chance(condition.spoil) {
            if self.dice.chance(0.5) { Delivery::Noise } else { Delivery::FirstLine }
        } else {
            Delivery::Whole
        };
        // What hangs has often run all the same.
        let runs = delivery != Delivery::Never || self.dice.chance(0.5);
        let effects = parcels.iter().map(|p| runs && self.takes_effect(sent, p)).collect();
        let end_of = match delivery {
            Delivery::Whole => MessageEnd::Ok,
            Delivery::FirstLine if parcels.len() == 1 => MessageEnd::Ok,
            _ => MessageEnd::Spoilt,
        };
        Fate { at: end, ends: vec![end_of; parcels.len()], effects, wait: None, delivery, fell }
    }

    /// Whether it is no repeat that the partner drops.
    fn takes_effect(&mut self, sent: At, parcel: &Payload<'_>) -> bool {
        while let Some((end, key)) = self.key_ends.front()
            && *end + 60_000_000 < sent
        {
            self.keys.remove(key);
            self.key_ends.pop_front();
        }
        if parcel.class != Class::TripRecord {
            return true;
        }
        match self.keys.get(parcel.key) {
            Some(until) if sent < *until => false,
            _ => {
                let until = sent + KEY_WINDOW.0;
                self.keys.insert(parcel.key.to_owned(), until);
                self.key_ends.push_back((until, parcel.key.to_owned()));
                true
            }
        }
    }
}

#[cfg(test)]
mod tests;
