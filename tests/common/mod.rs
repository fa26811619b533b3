//! Helpers shared by the tests of the decision core: settings, endpoint entries and a host with a simulated
//! clock.
#![allow(dead_code)]
use micadrum::*;

/// Microseconds per second.
pub const SECOND: u64 = 1_000_000;

pub const IDEMPOTENT: ClassId = ClassId(0);
pub const KEYED_BY_DESTINATION: ClassId = ClassId(1);
pub const KEYED_BY_ZONE: ClassId = ClassId(2);
pub const NON_IDEMPOTENT: ClassId = ClassId(3);
pub const ORDERED: ClassId = ClassId(4);

pub fn settings() -> Settings {
    let class = |idempotency, ordered| Class {
        latency_objective: TimeDelta(2 * SECOND),
        deadline: TimeDelta(16 * SECOND),
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency,
        ordered,
    };
    let window = TimeDelta(5 * SECOND);
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, false),
            class(Idempotency::WithKey { scope: DeduplicationScope::Destination, window }, false),
            class(Idempotency::WithKey { scope: DeduplicationScope::Zone, window }, false),
            class(Idempotency::NonIdempotent, false),
            class(Idempotency::WithKey { scope: DeduplicationScope::Destination, window }, true),
        ],
        kinds: vec![
            DestinationKind { limits_per_endpoint: false, max_batch_size: 1 },
            DestinationKind { limits_per_endpoint: true, max_batch_size: 1 },
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        zone: ZoneId(0),
        fleet_size: 2,
        max_concurrent_calls: 8,
        max_pending_messages: 100,
        max_attempts: 6,
        min_step_interval: TimeDelta(5_000),
        connect_timeout: TimeDelta(SECOND),
        weight_decay: WeightDecay::Linear,
        discovery: DiscoveryMode::Watch,
        capacity_hints: CapacityHints::None,
        health_checks: false,
        cancellation: true,
        completion_requires_acknowledgement: false,
        batch_expires_together: false,
        rules: Rules {
            drain_grace: TimeDelta(SECOND),
            slow_start_share: 0.2,
            slow_start_duration: TimeDelta(10 * SECOND),
            overload_factor: 2.0,
            overload_window: TimeDelta(1_500_000),
            ordering_hold: TimeDelta(2 * SECOND),
            discovery_staleness_limit: TimeDelta(10 * SECOND),
        },
    }
}

/// Returns an active entry of destination `d`.
pub fn entry(d: u64, endpoint: u32, kind: usize, zone: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(d),
        kind: KindId(kind),
        zone: ZoneId(zone),
        state: EndpointState::Active,
        capacity_hint: 0.0,
    }
}

/// A sender and its simulated clock. Unless a method says otherwise, each call runs one step at the current
/// time.
pub struct Host {
    pub sender: DeliveryEngine,
    /// The current time in microseconds.
    pub now: u64,
}

impl Host {
    pub fn new(settings: Settings, list: Vec<EndpointEntry>) -> Self {
        let mut host = Host { sender: DeliveryEngine::new(settings, 1).unwrap(), now: 100 * SECOND };
        host.step(&[Event::EndpointSnapshot(list)]);
        host
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.step(Timestamp(self.now), events, &mut actions);
        actions.retain(|a| {
            !matches!(
                a,
                Action::SetTimer(_)
                    | Action::Log(_)
                    | Action::CloseIdleConnections(_)
                    | Action::ForgetEndpoint(_)
            )
        });
        actions
    }

    pub fn submit(&mut self, id: u32, class: ClassId, d: u64) -> Vec<Action> {
        self.step(&[message_event(id, class, d, None)])
    }

    pub fn end_attempt(&mut self, id: u32, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.step(&[attempt_ended(id, attempt, outcome)])
    }

    /// Fires the timer every 20 ms for `span` microseconds and returns all actions with their times.
    pub fn run_for(&mut self, span: u64) -> Vec<(u64, Action)> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 20_000;
            let now = self.now;
            all.extend(self.step(&[Event::TimerFired]).into_iter().map(|a| (now, a)));
        }
        all
    }
}

pub fn message_event(id: u32, class: ClassId, d: u64, key: Option<u64>) -> Event {
    Event::Message(Message {
        id: MessageId(id),
        class,
        tenant: None,
        key: key.map(OrderKey),
        destination: DestinationId(d),
        time_to_live: TimeDelta(16 * SECOND),
    })
}

/// Returns the event for the end of an attempt after 100 ms, without a load report.
pub fn attempt_ended(id: u32, attempt: u32, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        message: MessageId(id),
        attempt,
        outcome,
        elapsed: TimeDelta(100_000),
        completes: outcome == Outcome::Success,
        report: None,
    }
}

/// Returns the endpoint to which `actions` send message `id`.
pub fn sent_to(actions: &[Action], id: u32) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Send { message, endpoint, .. } if message.0 == id => Some(endpoint.0),
        _ => None,
    })
}

/// Returns the time and the endpoint of the first send of message `id` in a run.
pub fn first_send(run: &[(u64, Action)], id: u32) -> Option<(u64, u32)> {
    run.iter().find_map(|(at, a)| sent_to(std::slice::from_ref(a), id).map(|e| (*at, e)))
}

/// Returns whether message `id` is returned to its client in a run.
pub fn is_returned(run: &[(u64, Action)], id: u32) -> bool {
    run.iter().any(|(_, a)| matches!(a, Action::Return { message, .. } if message.0 == id))
}

/// Returns whether message `id` fails in a run.
pub fn is_failed(run: &[(u64, Action)], id: u32) -> bool {
    run.iter().any(|(_, a)| *a == Action::Fail(MessageId(id)))
}

impl Host {
    /// Runs one step and returns all actions, including timers, log lines and closed connections.
    pub fn step_unfiltered(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.step(Timestamp(self.now), events, &mut actions);
        actions
    }
}
