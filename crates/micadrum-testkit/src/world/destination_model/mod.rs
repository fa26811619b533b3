//! A model of a destination, which decides the outcome of each call from the rate limits, queues, service
//! times, outages, slow starts and remembered idempotency keys. The model performs no I/O and reads no clock;
//! times are microseconds since the start of the run.
mod condition;
mod route;

pub use condition::{Condition, Stall};
pub use route::{Collapse, LoadReport};

use crate::observation::{AttemptResult, Micros};
use crate::plan::{Class, DEDUPLICATION_WINDOW, Destination, Kind, Limit, SeededRng};
use route::{LIMIT_WINDOW_US, Route};
use std::collections::{BTreeMap, VecDeque};

/// The number of calls that may wait for each slot of an endpoint; further calls are rejected.
const MAX_QUEUED_PER_SLOT: usize = 4;
/// Bounds of a random Retry-After.
const MIN_RETRY_AFTER_US: f64 = 250e3;
const MAX_RETRY_AFTER_US: f64 = 750e3;
/// The resolution of a Retry-After.
const RETRY_AFTER_STEP_US: Micros = 1_000;
/// The latency of a call that fails quickly.
const ERROR_LATENCY_US: Micros = 2_000;
/// The share of calls without a successful answer that nevertheless take effect.
const EFFECT_WITHOUT_SUCCESS_SHARE: f64 = 0.5;
/// The share of corrupted answers that are invalid from the first byte.
const NOISE_SHARE: f64 = 0.5;
/// Bounds of a call's service time, as a multiple of the mean.
const MIN_SERVICE_FACTOR: f64 = 0.7;
const MAX_SERVICE_FACTOR: f64 = 1.3;
/// The share of the service time that each message of a batch after the first adds.
const SERVICE_PER_FURTHER_MESSAGE: f64 = 0.15;
/// The lowest speed of a route in slow start, as a share of its full speed.
const MIN_SPEED: f64 = 0.05;
/// How long a key is retained after its deduplication window has closed.
const KEY_RETENTION_US: Micros = 60_000_000;

/// How an answer reaches the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The answer arrives intact.
    Complete,
    /// Invalid bytes arrive instead of the answer; the connection stays open.
    Noise,
    /// The status line arrives, followed by invalid bytes.
    FirstLine,
    /// The connection is closed without an answer.
    Broken,
    /// Nothing arrives, and the connection stays open.
    Never,
}

/// The outcome of a call, as the destination decides it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallOutcome {
    /// The time at which the answer is written.
    pub answer_at: Micros,
    /// The result of each message.
    pub ends: Vec<AttemptResult>,
    /// Whether each message takes effect when the answer is due.
    pub effects: Vec<bool>,
    /// The Retry-After of the answer, in microseconds; `None` if the answer has none.
    pub retry_after: Option<Micros>,
    /// How the answer is delivered.
    pub delivery: Delivery,
    /// The collapse of the route, if this call caused one.
    pub collapse: Option<Collapse>,
}

/// The parts of a call's message that the model depends on.
pub struct CallMessage<'a> {
    /// The message's class.
    pub class: Class,
    /// The message's idempotency key.
    pub key: &'a str,
}

/// A call whose last byte has arrived at an endpoint.
pub struct IncomingCall<'a> {
    /// The time at which the last byte arrived.
    pub received_at: Micros,
    /// The time at which the sender began to send. The deduplication window starts here, as the sender does
    /// not know the time of arrival.
    pub sent_at: Micros,
    /// The number of the sender in the plan.
    pub sender: u32,
    /// The number of the endpoint in the plan.
    pub endpoint: u32,
    /// The present condition of the endpoint.
    pub condition: &'a Condition,
    /// The messages of the call.
    pub messages: &'a [CallMessage<'a>],
}

impl IncomingCall<'_> {
    /// Returns the outcome in which all messages end with `end` and none takes effect.
    fn without_effect(&self, end: AttemptResult) -> CallOutcome {
        CallOutcome {
            answer_at: self.received_at,
            ends: vec![end; self.messages.len()],
            effects: vec![false; self.messages.len()],
            retry_after: None,
            delivery: Delivery::Complete,
            collapse: None,
        }
    }

    fn rejected(&self, retry_after: Option<Micros>) -> CallOutcome {
        let answer_at = self.received_at + self.condition.rejection_latency;
        CallOutcome { answer_at, retry_after, ..self.without_effect(AttemptResult::Overloaded) }
    }
}

struct EndpointSlots {
    route: usize,
    /// The time at which each slot becomes free.
    free_at: Vec<Micros>,
}

/// An idempotency key and the time at which its deduplication window closes.
struct KeyExpiry {
    closes_at: Micros,
    key: String,
}

/// The model of one destination.
pub struct DestinationModel {
    has_window_limit: bool,
    service_time_us: f64,
    /// The share of rejections that carry a Retry-After.
    retry_after_share: f64,
    routes: Vec<Route>,
    endpoints: BTreeMap<u32, EndpointSlots>,
    /// The end of the deduplication window of each key that took effect.
    keys: BTreeMap<String, Micros>,
    key_expiries: VecDeque<KeyExpiry>,
    random: SeededRng,
}

impl DestinationModel {
    /// Creates the model of a destination, with random streams derived from `seed`.
    pub fn new(destination: &Destination, seed: u64) -> Self {
        let separate = destination.kind.has_endpoint_limits();
        let route_count = if separate { destination.endpoints.len() } else { 1 };
        let capacity = destination.capacity / route_count as f64;
        let rejections_consume_rate = destination.kind == Kind::Bank;
        let route = || Route::new(capacity, destination.limit, rejections_consume_rate);
        let endpoint = |(index, endpoint): (usize, &crate::plan::EndpointPlan)| {
            let route = if separate { index } else { 0 };
            (endpoint.number, EndpointSlots { route, free_at: vec![0; endpoint.slots] })
        };
        Self {
            has_window_limit: matches!(destination.limit, Limit::Window(_)),
            service_time_us: destination.mean_service_us,
            retry_after_share: destination.retry_after_share,
            routes: (0..route_count).map(|_| route()).collect(),
            endpoints: destination.endpoints.iter().enumerate().map(endpoint).collect(),
            keys: BTreeMap::new(),
            key_expiries: VecDeque::new(),
            random: SeededRng::new(seed, &format!("partner {}", destination.number)),
        }
    }

    /// Returns the index of an endpoint's route within the destination, or 0 if the endpoint is unknown.
    pub fn route_of(&self, endpoint: u32) -> usize {
        self.endpoints.get(&endpoint).map_or(0, |slots| slots.route)
    }

    /// Starts or ends the outage of a route. Returns whether this changed the route's state.
    pub fn set_outage(&mut self, route: usize, outage: bool, now: Micros) -> bool {
        self.routes[route].set_outage(outage, now)
    }

    /// Sets the share of a route's configured limit that applies from now on.
    pub fn set_limit_share(&mut self, route: usize, share: f64) {
        self.routes[route].set_limit_share(share);
    }

    /// Clears the outage and slow start of a route whose endpoints have all been replaced.
    pub fn reset_outage(&mut self, route: usize) {
        self.routes[route].reset_outage();
    }

    /// Returns the load that an answer of this endpoint reports.
    pub fn load_report(&mut self, endpoint: u32, now: Micros) -> LoadReport {
        let route = self.route_of(endpoint);
        self.routes[route].load_report(now)
    }

    /// Records a call and decides its outcome.
    pub fn call(&mut self, call: &IncomingCall<'_>) -> CallOutcome {
        let route = self.route_of(call.endpoint);
        let collapse = self.routes[route].record_call(call.received_at, call.sender);
        CallOutcome { collapse, ..self.decide(route, call) }
    }

    fn decide(&mut self, route: usize, call: &IncomingCall<'_>) -> CallOutcome {
        let now = call.received_at;
        let sends_retry_after = self.random.chance(self.retry_after_share);
        if let Some(available_at) = call.condition.unavailable_until {
            let wait = available_at.saturating_sub(now).next_multiple_of(RETRY_AFTER_STEP_US);
            return call.rejected(Some(wait).filter(|wait| sends_retry_after && *wait > 0));
        }
        let within_limit = self.routes[route].admits(now);
        let retry_after = Some(self.draw_retry_after(now)).filter(|_| sends_retry_after);
        if !within_limit
            || self.routes[route].is_collapsed()
            || self.random.chance(call.condition.rejected_share)
        {
            return call.rejected(retry_after);
        }
        if self.random.chance(call.condition.error_share) {
            return self.fail(call);
        }
        match self.schedule(route, call) {
            Ok(answer_at) => self.answer(answer_at, call),
            Err(Unscheduled::QueueFull) => call.rejected(retry_after),
            Err(Unscheduled::UnknownEndpoint) => call.rejected(None),
        }
    }

    /// Returns the time to the end of the limit's window, or a random wait if the limit has no window.
    fn draw_retry_after(&mut self, now: Micros) -> Micros {
        let wait = if self.has_window_limit {
            LIMIT_WINDOW_US - now % LIMIT_WINDOW_US
        } else {
            self.random.between(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US) as Micros
        };
        wait.next_multiple_of(RETRY_AFTER_STEP_US)
    }

    fn fail(&mut self, call: &IncomingCall<'_>) -> CallOutcome {
        let runs = self.random.chance(EFFECT_WITHOUT_SUCCESS_SHARE);
        CallOutcome {
            answer_at: call.received_at + ERROR_LATENCY_US,
            effects: self.take_effect(runs, call),
            ..call.without_effect(AttemptResult::Failed)
        }
    }

    /// Assigns the call to a slot of its endpoint. Returns the time at which the answer is due.
    fn schedule(&mut self, route: usize, call: &IncomingCall<'_>) -> Result<Micros, Unscheduled> {
        let now = call.received_at;
        let speed = self.routes[route].capacity_share(now).max(MIN_SPEED);
        let further_messages = call.messages.len() as f64 - 1.0;
        let factor = self.random.between(MIN_SERVICE_FACTOR, MAX_SERVICE_FACTOR)
            * (1.0 + SERVICE_PER_FURTHER_MESSAGE * further_messages);
        let work = (self.service_time_us * factor / speed) as Micros;
        let max_start = now + (MAX_QUEUED_PER_SLOT as f64 * self.service_time_us / speed) as Micros;
        let endpoint = self.endpoints.get_mut(&call.endpoint).ok_or(Unscheduled::UnknownEndpoint)?;
        let first_free = endpoint.free_at.iter_mut().min().filter(|free_at| **free_at <= max_start);
        let slot = first_free.ok_or(Unscheduled::QueueFull)?;
        *slot = call.condition.after_stall(now.max(*slot)) + work;
        Ok(*slot + call.condition.added_latency)
    }

    fn answer(&mut self, answer_at: Micros, call: &IncomingCall<'_>) -> CallOutcome {
        let delivery = self.draw_delivery(call.condition);
        // A call without an answer may still have run.
        let runs = delivery != Delivery::Never || self.random.chance(EFFECT_WITHOUT_SUCCESS_SHARE);
        let end = match delivery {
            Delivery::Complete => AttemptResult::Delivered,
            Delivery::FirstLine if call.messages.len() == 1 => AttemptResult::Delivered,
            _ => AttemptResult::Corrupted,
        };
        let effects = self.take_effect(runs, call);
        CallOutcome { answer_at, effects, delivery, ..call.without_effect(end) }
    }

    fn draw_delivery(&mut self, condition: &Condition) -> Delivery {
        if condition.hangs {
            Delivery::Never
        } else if self.random.chance(condition.reset_share) {
            Delivery::Broken
        } else if self.random.chance(condition.corrupted_share) {
            if self.random.chance(NOISE_SHARE) { Delivery::Noise } else { Delivery::FirstLine }
        } else {
            Delivery::Complete
        }
    }

    /// Returns whether each message of a call takes effect; none does unless the call runs.
    fn take_effect(&mut self, runs: bool, call: &IncomingCall<'_>) -> Vec<bool> {
        let takes_effect =
            |message: &CallMessage<'_>| runs && self.record_unless_duplicate(call.sent_at, message);
        call.messages.iter().map(takes_effect).collect()
    }

    /// Records the key of a message. Returns false if the message is a duplicate, which is dropped.
    fn record_unless_duplicate(&mut self, sent_at: Micros, message: &CallMessage<'_>) -> bool {
        while let Some(expiry) = self.key_expiries.front()
            && expiry.closes_at + KEY_RETENTION_US < sent_at
        {
            self.keys.remove(&expiry.key);
            self.key_expiries.pop_front();
        }
        if message.class != Class::TripRecord {
            return true;
        }
        if self.keys.get(message.key).is_some_and(|closes_at| sent_at < *closes_at) {
            return false;
        }
        let closes_at = sent_at + DEDUPLICATION_WINDOW.0;
        self.keys.insert(message.key.to_owned(), closes_at);
        self.key_expiries.push_back(KeyExpiry { closes_at, key: message.key.to_owned() });
        true
    }
}

/// The reason that a call gets no slot of its endpoint.
enum Unscheduled {
    QueueFull,
    UnknownEndpoint,
}

#[cfg(test)]
mod tests;
