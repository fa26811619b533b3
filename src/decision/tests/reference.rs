//! A reference model of the selection, without indices: it looks at all messages and sorts them in every step. Random days
//! go through both; every action must be the same.

use super::*;
use crate::index::pending::Readiness;
use std::collections::BTreeMap;

impl DeliveryEngine {
    fn reference_end_expired(&mut self, actions: &mut Vec<Action>) {
        let mut late: Vec<MessageId> =
            self.messages.iter().filter(|(_, state)| self.must_end(state)).map(|(id, _)| id).collect();
        late.sort_unstable();
        late.into_iter().for_each(|id| self.end(id, actions));
        self.messages.end_candidates.clear();
    }

    fn reference_shed(&mut self, actions: &mut Vec<Action>) {
        while self.messages.len() > self.capacity() {
            let least = (self.messages.iter())
                .filter(|(_, state)| {
                    matches!(state.phase, Phase::Pending(_)) && state.first_uncertain_attempt.is_none()
                })
                .filter(|(_, state)| !(state.recovered_untried && state.attempts == 0))
                .map(|(id, state)| {
                    (self.weight_after(state.message.class, state.deadline, 0.0), state.deadline, id)
                })
                .min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((.., id)) = least else { return };
            self.end(id, actions);
        }
    }

    fn reference_schedule(&mut self, actions: &mut Vec<Action>) {
        let mut queues: BTreeMap<DestinationId, Vec<(f64, Timestamp, MessageId)>> = BTreeMap::new();
        for (id, state) in self.messages.iter() {
            // A resumed message that has had all its attempts goes nowhere, and ranks its destination no more.
            let goes = state.attempts < self.settings.max_attempts && self.guard_order(state);
            if goes && matches!(state.phase, Phase::Pending(at) if at <= self.now) {
                let queue = queues.entry(state.message.destination).or_default();
                queue.push((self.weight_after(state.message.class, state.deadline, 0.0), state.deadline, id));
            }
        }
        for queue in queues.values_mut() {
            queue.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
            // Those that others wait behind, and those found untried after a restart, come before all, each part in its order.
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
            let choice = (queue.iter().enumerate())
                .find_map(|(place, (_, _, id))| self.reference_choice(*id).map(|endpoint| (place, endpoint)));
            let Some((place, endpoint)) = choice else {
                queues.remove(&destination);
                continue;
            };
            let mut queue = queues.remove(&destination).unwrap();
            let (_, _, id) = queue.remove(place);
            let first = actions.len();
            let room = self.directory.endpoint(endpoint).map_or(1, |at| self.batch_size(at));
            let call = self.send_in_call(id, endpoint, None, actions);
            let mut room = room - 1;
            queue.retain(|(_, _, id)| {
                let joins = room > 0 && self.is_send_allowed(*id, endpoint, true);
                if joins {
                    room -= 1;
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

    /// Whether a message is better held back is asked again only now and then: in between, what may be held back counts as
    /// held back. Nothing else that the indices defer is believed here.
    fn reference_choice(&self, id: MessageId) -> Option<EndpointId> {
        let state = self.messages.get(id).unwrap();
        let (destination, class) = (state.message.destination, &self.settings.classes[state.message.class.0]);
        let later =
            class.idempotency == Idempotency::NonIdempotent && self.messages.pending.is_deferred(destination);
        let all = self.directory.endpoints_of(destination);
        let open =
            all.filter(|(_, at)| !later || self.directory.route(at.route).last_repeated_failure.is_none());
        self.choose_endpoint(id, &open.map(|(id, _)| id).collect::<Vec<_>>())
    }

    /// A step of both: the model's on a copy of this engine, whose actions must be the same.
    fn checked_step(&mut self, now: Timestamp, events: &[Event], seed: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.begin(now, events, &mut actions);
        type Stage = fn(&mut DeliveryEngine, &mut Vec<Action>);
        let stages: [(&str, Stage, Stage); 3] = [
            ("ends", DeliveryEngine::end_expired, DeliveryEngine::reference_end_expired),
            ("shed", DeliveryEngine::shed, DeliveryEngine::reference_shed),
            ("turns", DeliveryEngine::schedule, DeliveryEngine::reference_schedule),
        ];
        for (name, fast, slow) in stages {
            let (mut model, mut expected, from) = (self.clone(), Vec::new(), actions.len());
            slow(&mut model, &mut expected);
            fast(self, &mut actions);
            assert_eq!(actions[from..], expected, "seed {seed} at {now:?}: {name}");
        }
        assert!(!self.has_more_work, "seed {seed}: a day that is too large to compare");
        self.finish(&mut actions);
        // No wake-up comes later than what is due: nothing is to go, to be looked at or to end unnoticed.
        let due = self.messages.iter().filter_map(|(_, state)| match state.entry?.readiness {
            Readiness::NotBefore(at) => Some(at.min(self.end_by(state.deadline))),
            Readiness::Blocked | Readiness::Ready => Some(self.end_by(state.deadline)),
        });
        let beat = HEARTBEAT_STEPS * self.settings.min_step_interval.0;
        if let Some(due) = due.min() {
            let alarm = self.timer_at.expect("an alarm, as something waits");
            assert!(
                alarm <= due.max(Timestamp(now.0 + beat)),
                "seed {seed} at {now:?}: {alarm:?} for {due:?}"
            );
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
    let window = TimeDelta(draw.one(&[SECOND, 5 * SECOND]));
    let groups = [DeduplicationScope::Destination, DeduplicationScope::Zone];
    let repeats = [
        Idempotency::Idempotent,
        Idempotency::WithKey { scope: draw.one(&groups), window },
        Idempotency::WithKey { scope: draw.one(&groups), window },
        Idempotency::NonIdempotent,
        Idempotency::NonIdempotent,
    ];
    let classes = repeats.map(|repeat| Class {
        latency_objective: TimeDelta(SECOND * (1 + draw.below(3))),
        deadline: TimeDelta(SECOND * (5 + draw.below(8))),
        priority_weight: draw.one(&[1.0, 2.0, 2.0, 0.0]),
        late_weight: draw.one(&[0.0, 0.1, 0.5, 1.0]),
        idempotency: repeat,
        ordered: draw.below(3) == 0,
    });
    Settings {
        classes: classes.to_vec(),
        kinds: [false, true]
            .map(|routes_apart| DestinationKind {
                limits_per_endpoint: routes_apart,
                max_batch_size: 1 + draw.below(4) as usize,
            })
            .into(),
        tenants: vec![],
        over_quota_weight: 1.0,
        zone: ZoneId(0),
        fleet_size: 1 + draw.below(4) as usize,
        max_concurrent_calls: draw.one(&[2, 8, 30]),
        max_pending_messages: draw.one(&[12, 60, 300]),
        max_attempts: 1 + draw.below(6) as u32,
        min_step_interval: TimeDelta(5_000),
        connect_timeout: TimeDelta(SECOND),
        weight_decay: draw.one(&[WeightDecay::Linear, WeightDecay::Exponential]),
        discovery: DiscoveryMode::Watch,
        capacity_hints: draw.one(&[CapacityHints::None, CapacityHints::CallsPerSecond]),
        health_checks: false,
        cancellation: true,
        completion_requires_acknowledgement: draw.below(2) == 0,
        batch_expires_together: draw.below(2) == 0,
        rules: Rules {
            drain_grace: TimeDelta(SECOND),
            slow_start_share: 0.2,
            slow_start_duration: TimeDelta(SECOND * (1 + draw.below(10))),
            overload_factor: 2.0,
            overload_window: TimeDelta(1_500_000),
            ordering_hold: TimeDelta(draw.one(&[0, 300_000, 2 * SECOND])),
            discovery_staleness_limit: TimeDelta(10 * SECOND),
        },
    }
}

/// A day of random events; how many messages were sent, ended undelivered, and state back while others went.
#[allow(clippy::too_many_lines, reason = "one random day, told from its first event to its last")]
fn play(seed: u64) -> [usize; 2] {
    let mut draw = Draw::new(seed);
    let settings = settings(&mut draw);
    let mut engine = DeliveryEngine::new(settings.clone(), seed).unwrap();
    let entry = |number: u32, state| EndpointEntry {
        endpoint: EndpointId(number),
        destination: DestinationId(u64::from(number) % 7),
        kind: KindId(number as usize % 7 % 2),
        zone: ZoneId(number as usize / 7 % 2),
        state,
        capacity_hint: f64::from(number % 5) * 3.0,
    };
    let list = |draw: &mut Draw| {
        let listings = [
            EndpointState::Active,
            EndpointState::Active,
            EndpointState::Active,
            EndpointState::Draining,
            EndpointState::Removed,
        ];
        let mut entries: Vec<EndpointEntry> =
            (0..20).map(|number| entry(number, draw.one(&listings))).collect();
        entries.retain(|_| draw.below(8) > 0);
        entries
    };
    let (mut now, mut id, mut counts) = (100 * SECOND, 0, [0, 0]);
    let mut out: Vec<(MessageId, u32, Timestamp, u64)> = Vec::new();
    let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
    let mut unnoticed = Vec::new();
    // Now and then all is well, fails, or is slow; the share of good answers moves with it.
    let (mut good, mut pace) = (8, 2);
    let first = list(&mut draw);
    engine.checked_step(Timestamp(now), &[Event::EndpointSnapshot(first)], seed);
    for step in 0..1500 {
        if step % 150 == 0 {
            (good, pace) = (draw.below(11), draw.one(&[1, 4, 12]));
        }
        let mut events = vec![];
        match draw.below(400) {
            0 => events.push(Event::EndpointSnapshot(list(&mut draw))),
            1..4 => {
                let listing =
                    draw.one(&[EndpointState::Active, EndpointState::Draining, EndpointState::Removed]);
                events.push(Event::EndpointUpdates(vec![entry(draw.below(20) as u32, listing)]));
            }
            4 => {
                let (endpoint, wait) = (EndpointId(draw.below(20) as u32), TimeDelta(draw.below(2 * SECOND)));
                events.push(Event::RetryAfter { endpoint, wait });
            }
            5 if step > 1400 && engine.process_end.is_none() => {
                events.push(Event::Shutdown(Timestamp(now + 2 * SECOND)));
            }
            6 if id > 0 => events.push(Event::Cancelled(MessageId(draw.below(u64::from(id)) as u32))),
            _ => {}
        }
        while draw.below(pace + 1) > 0 && draw.below(3) > 0 {
            let class = ClassId(draw.below(5) as usize);
            let key = (draw.below(2) == 0).then(|| OrderKey(draw.below(9)));
            let (destination, budget) = (DestinationId(draw.below(8)), TimeDelta(draw.below(12 * SECOND)));
            let message =
                Message { id: MessageId(id), class, tenant: None, key, destination, time_to_live: budget };
            id += 1;
            events.push(match draw.below(15) {
                0 => {
                    let ran = (draw.below(2) == 0)
                        .then(|| (Timestamp(now - draw.below(6 * SECOND)), ZoneId(draw.below(3) as usize)));
                    let attempts_ = draw.below(4) as u32;
                    attempts.insert(message.id, attempts_);
                    let ended = settings.completion_requires_acknowledgement && draw.below(3) == 0;
                    if ended {
                        unnoticed.push(message.id);
                    }
                    Event::Recovered(RecoveredMessage {
                        message,
                        attempts: attempts_,
                        first_uncertain_attempt: ran,
                        ended,
                    })
                }
                _ => Event::Message(message),
            });
        }
        out.retain(|&(message, attempt, expires, due)| {
            if due > now && expires.0 > now {
                return true;
            }
            let (wait, told) = (TimeDelta(draw.below(3 * SECOND)), draw.below(2) == 0);
            let bad = [
                Outcome::Failure,
                Outcome::TimedOut,
                Outcome::Reset,
                Outcome::ConnectFailed,
                Outcome::Rejected { retry_after: told.then_some(wait) },
                Outcome::NotSent,
                Outcome::Cancelled,
            ];
            let outcome = match () {
                () if expires.0 <= now => Outcome::TimedOut,
                () if draw.below(10) < good => Outcome::Success,
                () => draw.one(&bad),
            };
            let report = (draw.below(4) == 0)
                .then(|| LoadReport { remaining_share: 0.5, limit_per_second: draw.below(20) as f64 });
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
        unnoticed.retain(|id| {
            let noticed = draw.below(20) == 0;
            noticed.then(|| events.push(Event::CompletionAcknowledged(*id)));
            !noticed
        });
        for action in engine.checked_step(Timestamp(now), &events, seed) {
            match action {
                Action::Send { message, expires, .. } => {
                    counts[0] += 1;
                    let attempt = attempts.entry(message).or_default();
                    out.push((message, *attempt, expires, now + draw.below(400_000)));
                    *attempt += 1;
                }
                Action::Return { message, .. } | Action::Fail(message) => {
                    counts[1] += 1;
                    if settings.completion_requires_acknowledgement {
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
