//! A reference model of the engine without indices, which scans and sorts all messages in every step.
//! Randomized workloads run through both; all actions must be equal.

use super::*;
use crate::index::pending::Readiness;
use std::collections::BTreeMap;

impl DeliveryEngine {
    fn reference_end_expired(&mut self, actions: &mut Vec<Action>) {
        let mut expired: Vec<MessageId> =
            self.messages.iter().filter(|(_, state)| self.must_end(state)).map(|(id, _)| id).collect();
        expired.sort_unstable();
        expired.into_iter().for_each(|id| self.end(id, actions));
        self.messages.end_candidates.clear();
    }

    fn reference_shed(&mut self, actions: &mut Vec<Action>) {
        while self.messages.len() > self.capacity() {
            let lightest = (self.messages.iter())
                .filter(|(_, state)| {
                    matches!(state.phase, Phase::Pending(_)) && state.first_uncertain_attempt.is_none()
                })
                .filter(|(_, state)| !(state.recovered_untried && state.attempts == 0))
                .map(|(id, state)| {
                    (self.weight_after(state.message.class, state.deadline, 0.0), state.deadline, id)
                })
                .min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((.., id)) = lightest else { return };
            self.end(id, actions);
        }
    }

    fn reference_schedule(&mut self, actions: &mut Vec<Action>) {
        let mut queues: BTreeMap<DestinationId, Vec<(f64, Timestamp, MessageId)>> = BTreeMap::new();
        for (id, state) in self.messages.iter() {
            // A recovered message without remaining attempts isn't sent, and doesn't count in the ranking.
            let is_sendable = state.attempts < self.settings.max_attempts && self.guard_order(state);
            if is_sendable && matches!(state.phase, Phase::Pending(at) if at <= self.now) {
                let queue = queues.entry(state.message.destination).or_default();
                queue.push((self.weight_after(state.message.class, state.deadline, 0.0), state.deadline, id));
            }
        }
        for queue in queues.values_mut() {
            queue.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
            // Messages that block others, and recovered messages without an attempt, come first; the sort is
            // stable.
            queue.sort_by_key(|(.., id)| {
                !self.messages.get(*id).unwrap().entry.is_some_and(|entry| entry.urgent)
            });
        }
        queues.retain(|destination, _| self.directory.destination(*destination).is_some());
        while self.calls.len() < self.settings.max_concurrent_calls {
            let fewest = queues.iter().min_by(|(a, x), (b, y)| {
                let calls = |id: &DestinationId| self.directory.destination(*id).map_or(0, |of| of.calls);
                let first = |queue: &[(f64, Timestamp, MessageId)]| {
                    let weight = |a: &(f64, Timestamp, MessageId), b: &(f64, Timestamp, MessageId)| {
                        b.0.total_cmp(&a.0).then(a.1.cmp(&b.1))
                    };
                    queue.iter().copied().min_by(weight).unwrap()
                };
                let (x, y) = (first(x), first(y));
                calls(a).cmp(&calls(b)).then(y.0.total_cmp(&x.0)).then(x.1.cmp(&y.1))
            });
            let Some(destination) = fewest.map(|(id, _)| *id) else { return };
            let queue = &queues[&destination];
            let choice = (queue.iter().enumerate()).find_map(|(position, (_, _, id))| {
                self.reference_choice(*id).map(|endpoint| (position, endpoint))
            });
            let Some((position, endpoint)) = choice else {
                queues.remove(&destination);
                continue;
            };
            let mut queue = queues.remove(&destination).unwrap();
            let (_, _, id) = queue.remove(position);
            let first = actions.len();
            let remaining = self.directory.endpoint(endpoint).map_or(1, |at| self.batch_size(at));
            let call = self.send_in_call(id, endpoint, None, actions);
            let mut remaining = remaining - 1;
            queue.retain(|(_, _, id)| {
                let joins = remaining > 0 && self.is_send_allowed(*id, endpoint, true);
                if joins {
                    remaining -= 1;
                    self.send_in_call(*id, endpoint, call, actions);
                }
                !joins
            });
            if self.settings.batch_expires_together {
                self.expire_together(&mut actions[first..]);
            }
            if !queue.is_empty() {
                queues.insert(destination, queue);
            }
        }
    }

    /// Chooses an endpoint without indices, with one exception: the engine rechecks messages that are held
    /// back only from time to time, so while their destination is deferred they count as held back here, too.
    fn reference_choice(&self, id: MessageId) -> Option<EndpointId> {
        let state = self.messages.get(id).unwrap();
        let (destination, class) = (state.message.destination, &self.settings.classes[state.message.class.0]);
        let is_deferred =
            class.idempotency == Idempotency::NonIdempotent && self.messages.pending.is_deferred(destination);
        let all = self.directory.endpoints_of(destination);
        let open = all
            .filter(|(_, at)| !is_deferred || self.directory.route(at.route).last_repeated_failure.is_none());
        self.choose_endpoint(id, &open.map(|(id, _)| id).collect::<Vec<_>>())
    }

    /// Runs a step on this engine, and each of its stages on a copy with the reference model; asserts equal
    /// actions.
    fn checked_step(&mut self, now: Timestamp, events: &[Event], seed: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.begin(now, events, &mut actions);
        type Stage = fn(&mut DeliveryEngine, &mut Vec<Action>);
        let stages: [(&str, Stage, Stage); 3] = [
            ("expiry", DeliveryEngine::end_expired, DeliveryEngine::reference_end_expired),
            ("shedding", DeliveryEngine::shed, DeliveryEngine::reference_shed),
            ("scheduling", DeliveryEngine::schedule, DeliveryEngine::reference_schedule),
        ];
        for (name, indexed, reference) in stages {
            let (mut model, mut expected, from) = (self.clone(), Vec::new(), actions.len());
            reference(&mut model, &mut expected);
            indexed(self, &mut actions);
            assert_eq!(
                actions[from..],
                expected,
                "seed {seed} at {now:?}: the {name} stage differs from the reference model"
            );
        }
        assert!(
            !self.has_more_work,
            "seed {seed}: the step reached its work limit, so the actions cannot be compared"
        );
        self.finish(&mut actions);
        // The timer must not be later than the next time at which a message is due or expires.
        let due = self.messages.iter().filter_map(|(_, state)| match state.entry?.readiness {
            Readiness::NotBefore(at) => Some(at.min(self.end_by(state.deadline))),
            Readiness::Blocked | Readiness::Ready => Some(self.end_by(state.deadline)),
        });
        let heartbeat = HEARTBEAT_STEPS * self.settings.min_step_interval.0;
        if let Some(due) = due.min() {
            let timer_at = self.timer_at.expect("a timer must be set while messages are pending");
            assert!(
                timer_at <= due.max(Timestamp(now.0 + heartbeat)),
                "seed {seed} at {now:?}: timer at {timer_at:?} is later than the due time {due:?}"
            );
        }
        actions
    }
}

const SECOND: u64 = 1_000_000;

pub(crate) struct TestRng(ChaCha8Rng);

impl TestRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n
    }

    fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}

/// Returns randomized settings.
pub(crate) fn settings(rng: &mut TestRng) -> Settings {
    let window = TimeDelta(rng.choose(&[SECOND, 5 * SECOND]));
    let scopes = [DeduplicationScope::Destination, DeduplicationScope::Zone];
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::WithKey { scope: rng.choose(&scopes), window },
        Idempotency::WithKey { scope: rng.choose(&scopes), window },
        Idempotency::NonIdempotent,
        Idempotency::NonIdempotent,
    ];
    let classes = idempotencies.map(|idempotency| Class {
        latency_objective: TimeDelta(SECOND * (1 + rng.below(3))),
        deadline: TimeDelta(SECOND * (5 + rng.below(8))),
        priority_weight: rng.choose(&[1.0, 2.0, 2.0, 0.0]),
        late_weight: rng.choose(&[0.0, 0.1, 0.5, 1.0]),
        idempotency,
        ordered: rng.below(3) == 0,
    });
    Settings {
        classes: classes.to_vec(),
        kinds: [false, true]
            .map(|has_own_limits| DestinationKind {
                limits_per_endpoint: has_own_limits,
                max_batch_size: 1 + rng.below(4) as usize,
            })
            .into(),
        tenants: vec![],
        over_quota_weight: 1.0,
        zone: ZoneId(0),
        fleet_size: 1 + rng.below(4) as usize,
        max_concurrent_calls: rng.choose(&[2, 8, 30]),
        max_pending_messages: rng.choose(&[12, 60, 300]),
        max_attempts: 1 + rng.below(6) as u32,
        min_step_interval: TimeDelta(5_000),
        connect_timeout: TimeDelta(SECOND),
        weight_decay: rng.choose(&[WeightDecay::Linear, WeightDecay::Exponential]),
        discovery: DiscoveryMode::Watch,
        capacity_hints: rng.choose(&[CapacityHints::None, CapacityHints::CallsPerSecond]),
        health_checks: false,
        cancellation: true,
        completion_requires_acknowledgement: rng.below(2) == 0,
        batch_expires_together: rng.below(2) == 0,
        rules: Rules {
            drain_grace: TimeDelta(SECOND),
            slow_start_share: 0.2,
            slow_start_duration: TimeDelta(SECOND * (1 + rng.below(10))),
            overload_factor: 2.0,
            overload_window: TimeDelta(1_500_000),
            ordering_hold: TimeDelta(rng.choose(&[0, 300_000, 2 * SECOND])),
            discovery_staleness_limit: TimeDelta(10 * SECOND),
        },
    }
}

/// Runs a randomized workload; returns the number of sends and of messages that ended undelivered.
#[allow(clippy::too_many_lines, reason = "a workload is easier to follow as a single sequence")]
fn run_workload(seed: u64) -> [usize; 2] {
    let mut rng = TestRng::new(seed);
    let settings = settings(&mut rng);
    let mut engine = DeliveryEngine::new(settings.clone(), seed).unwrap();
    let entry = |number: u32, state| EndpointEntry {
        endpoint: EndpointId(number),
        destination: DestinationId(u64::from(number) % 7),
        kind: KindId(number as usize % 7 % 2),
        zone: ZoneId(number as usize / 7 % 2),
        state,
        capacity_hint: f64::from(number % 5) * 3.0,
    };
    let list = |rng: &mut TestRng| {
        let states = [
            EndpointState::Active,
            EndpointState::Active,
            EndpointState::Active,
            EndpointState::Draining,
            EndpointState::Removed,
        ];
        let mut entries: Vec<EndpointEntry> =
            (0..20).map(|number| entry(number, rng.choose(&states))).collect();
        entries.retain(|_| rng.below(8) > 0);
        entries
    };
    let (mut now, mut id, mut counts) = (100 * SECOND, 0, [0, 0]);
    let mut in_flight: Vec<(MessageId, u32, Timestamp, u64)> = Vec::new();
    let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
    let mut unacknowledged = Vec::new();
    // The success rate and the rate of submissions change at intervals.
    let (mut success_tenths, mut submission_rate) = (8, 2);
    let first = list(&mut rng);
    engine.checked_step(Timestamp(now), &[Event::EndpointSnapshot(first)], seed);
    for step in 0..1500 {
        if step % 150 == 0 {
            (success_tenths, submission_rate) = (rng.below(11), rng.choose(&[1, 4, 12]));
        }
        let mut events = vec![];
        match rng.below(400) {
            0 => events.push(Event::EndpointSnapshot(list(&mut rng))),
            1..4 => {
                let state =
                    rng.choose(&[EndpointState::Active, EndpointState::Draining, EndpointState::Removed]);
                events.push(Event::EndpointUpdates(vec![entry(rng.below(20) as u32, state)]));
            }
            4 => {
                let (endpoint, wait) = (EndpointId(rng.below(20) as u32), TimeDelta(rng.below(2 * SECOND)));
                events.push(Event::RetryAfter { endpoint, wait });
            }
            5 if step > 1400 && engine.process_end.is_none() => {
                events.push(Event::Shutdown(Timestamp(now + 2 * SECOND)));
            }
            6 if id > 0 => events.push(Event::Cancelled(MessageId(rng.below(u64::from(id)) as u32))),
            _ => {}
        }
        while rng.below(submission_rate + 1) > 0 && rng.below(3) > 0 {
            let class = ClassId(rng.below(5) as usize);
            let key = (rng.below(2) == 0).then(|| OrderKey(rng.below(9)));
            let (destination, budget) = (DestinationId(rng.below(8)), TimeDelta(rng.below(12 * SECOND)));
            let message =
                Message { id: MessageId(id), class, tenant: None, key, destination, time_to_live: budget };
            id += 1;
            events.push(match rng.below(15) {
                0 => {
                    let uncertain_attempt = (rng.below(2) == 0)
                        .then(|| (Timestamp(now - rng.below(6 * SECOND)), ZoneId(rng.below(3) as usize)));
                    let previous_attempts = rng.below(4) as u32;
                    attempts.insert(message.id, previous_attempts);
                    let ended = settings.completion_requires_acknowledgement && rng.below(3) == 0;
                    if ended {
                        unacknowledged.push(message.id);
                    }
                    Event::Recovered(RecoveredMessage {
                        message,
                        attempts: previous_attempts,
                        first_uncertain_attempt: uncertain_attempt,
                        ended,
                    })
                }
                _ => Event::Message(message),
            });
        }
        in_flight.retain(|&(message, attempt, expires, due)| {
            if due > now && expires.0 > now {
                return true;
            }
            let (wait, has_retry_after) = (TimeDelta(rng.below(3 * SECOND)), rng.below(2) == 0);
            let bad = [
                Outcome::Failure,
                Outcome::TimedOut,
                Outcome::Reset,
                Outcome::ConnectFailed,
                Outcome::Rejected { retry_after: has_retry_after.then_some(wait) },
                Outcome::NotSent,
                Outcome::Cancelled,
            ];
            let outcome = match () {
                () if expires.0 <= now => Outcome::TimedOut,
                () if rng.below(10) < success_tenths => Outcome::Success,
                () => rng.choose(&bad),
            };
            let report = (rng.below(4) == 0)
                .then(|| LoadReport { remaining_share: 0.5, limit_per_second: rng.below(20) as f64 });
            let last = outcome == Outcome::Success;
            events.push(Event::AttemptEnded {
                message,
                attempt,
                outcome,
                elapsed: TimeDelta(1),
                completes: last,
                report,
            });
            false
        });
        unacknowledged.retain(|id| {
            let is_acknowledged = rng.below(20) == 0;
            is_acknowledged.then(|| events.push(Event::CompletionAcknowledged(*id)));
            !is_acknowledged
        });
        for action in engine.checked_step(Timestamp(now), &events, seed) {
            match action {
                Action::Send { message, expires, .. } => {
                    counts[0] += 1;
                    let attempt = attempts.entry(message).or_default();
                    in_flight.push((message, *attempt, expires, now + rng.below(400_000)));
                    *attempt += 1;
                }
                Action::Return { message, .. } | Action::Fail(message) => {
                    counts[1] += 1;
                    if settings.completion_requires_acknowledgement {
                        unacknowledged.push(message);
                    }
                }
                _ => {}
            }
        }
        now += rng.choose(&[5_000, 5_000, 5_000, 10_000, 40_000, 300_000]);
    }
    counts
}

/// Guards against index errors that change which message is sent, ended or shed.
#[test]
fn indexed_engine_takes_the_same_actions_as_the_reference_model() {
    let mut counts = [0, 0];
    for seed in 0..60 {
        let workload_counts = run_workload(seed);
        counts = [counts[0] + workload_counts[0], counts[1] + workload_counts[1]];
    }
    assert!(counts[0] > 10_000 && counts[1] > 5_000, "too few sends or undelivered messages: {counts:?}");
}
