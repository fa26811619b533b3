//! When to ask what a whole fleet asks of one place, such as the list of discovery. Free of I/O and clocks.
//!
//! How the list comes decides. Pushed, it lies with the agent on the sender's own machine, which answers at no cost; what
//! it has counts as told, asked for or not, and sends to what drains have to stop within the grace. So it is asked at
//! once, and no pause is longer than the grace. On request, a call costs discovery, and what was listed counts as told
//! only to those who have not asked for `must_ask_in`, four times that after a call in vain: there a call that comes while
//! too many are in line fails, and its work is lost; a fleet that asks again at once keeps the line long and hears
//! nothing. So pauses grow with the fleet, as if all of its senders were in the same case, up to those bounds.
use crate::Discovery;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// How long a call of the watch may wait for news, and how much longer its answer may take. What a watch that has fallen
/// silent misses counts as told 6 s after that, or 2 s after the wait that was asked for, if that is later: from the call
/// on, no sooner than 7 s after it. It is given up after 6 s, and asked again within 75 ms: what is left is for the answer.
const HOLD: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(1);
/// The same for a call that is to be answered at once, where the list comes on request: others are in line there too. One
/// that fell silent counts as heard 6 s later.
const PATIENCE_IN_LINE: Duration = Duration::from_secs(3);
/// Pushed, an agent that was away counts as heard the moment it is back. Until it answers it is asked for what is there
/// now, and waited for no longer than this share of the grace, pause and all; but never so briefly that one at work
/// might not make it.
const CALL_OF_GRACE: f64 = 0.3;
const SHORTEST: Duration = Duration::from_millis(60);
/// Calls in vain after which each may take long: the agent may just be slow.
const MANY: u32 = 64;
/// Pause after a first failure that follows an answer: well inside the 200 ms within which a watch goes on.
const AT_ONCE: Duration = Duration::from_millis(50);
/// For each sender of the fleet: what the first pause is long, and over what the first calls after a start are spread.
const FIRST: Duration = Duration::from_millis(25);
const SPREAD: Duration = Duration::from_millis(50);
/// And the longest pause: all of them together then ask some ten times a second.
const LONGEST: Duration = Duration::from_millis(100);
/// Senders beyond which nothing grows any more: news is owed within seconds, whatever the settings say of the fleet.
const MOST_SENDERS: usize = 200;
/// The longest first wait, as a share of the time within which a sender must have asked: the rest is for the answer.
const FIRST_OF_BOUND: f64 = 0.8;
/// The longest pause, as a share of the time within which it must have asked again: chance adds half.
const PAUSE_OF_BOUND: f64 = 0.5;
/// The same where it is pushed: call and pause together stay within the grace, with a third of it for the answer.
const PAUSE_OF_GRACE: f64 = 0.25;
/// Where the list comes on request, a call in vain counts for so many times as long as none.
const AFTER_FAILURE: u32 = 4;

/// What the settings say of how the list is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Senders that ask in the same place.
    pub senders: usize,
    /// How the list comes.
    pub discovery: Discovery,
    /// Within how long of hearing that an endpoint drains sends to it have to stop.
    pub grace: Duration,
    /// Who has not asked for so long counts as told; zero where nothing is said of it.
    pub must_ask_in: Duration,
}

/// How one call of the watch is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// How long it may wait for news.
    pub hold: Duration,
    /// When it is given up, from its begin, if no answer has begun by then.
    pub patience: Duration,
    /// The same, if the answer has begun and is not there whole.
    pub whole: Duration,
}

/// Pauses that double with each failure up to a bound, drawn by chance: senders that fail together do not come back
/// together.
pub struct Asking {
    spans: Spans,
    failures: u32,
    random: ChaCha8Rng,
}

/// What follows from the terms.
struct Spans {
    /// The agent answers at no cost, and what it has counts as told.
    pushed: bool,
    first: Duration,
    doubled: Duration,
    longest: Duration,
    /// How long a call may take that is to be answered at once.
    at_once: Duration,
}

impl Spans {
    fn on(terms: Terms) -> Self {
        let senders = u32::try_from(terms.senders.clamp(1, MOST_SENDERS)).unwrap_or(1);
        let within = |span: Duration, bound: Duration, share| match bound {
            Duration::ZERO => span,
            bound => span.min(bound.mul_f64(share)),
        };
        let must = terms.must_ask_in;
        match terms.discovery {
            Discovery::Pushed => Self {
                pushed: true,
                first: Duration::ZERO,
                doubled: AT_ONCE,
                longest: terms.grace.mul_f64(PAUSE_OF_GRACE),
                at_once: terms.grace.mul_f64(CALL_OF_GRACE).clamp(SHORTEST, PATIENCE),
            },
            Discovery::OnRequest => Self {
                pushed: false,
                first: within(SPREAD * senders, must, FIRST_OF_BOUND),
                doubled: FIRST * senders,
                longest: within(LONGEST * senders, must * AFTER_FAILURE, PAUSE_OF_BOUND),
                at_once: PATIENCE_IN_LINE,
            },
        }
    }
}

impl Asking {
    /// On those terms.
    pub fn new(terms: Terms, seed: u64) -> Self {
        Self { spans: Spans::on(terms), failures: 1, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// On other terms, from the next call on.
    pub fn follow(&mut self, terms: Terms) {
        self.spans = Spans::on(terms);
    }

    /// How the next call is made; one for the whole list, with nothing `known`, is answered at once.
    pub fn call(&self, known: bool) -> Call {
        let Spans { pushed, at_once, .. } = self.spans;
        if known && (self.failures == 0 || !pushed) {
            return Call { hold: HOLD, patience: HOLD + PATIENCE, whole: HOLD + PATIENCE };
        }
        let (patience, whole) = match self.failures {
            MANY.. => (at_once.max(PATIENCE), HOLD + PATIENCE),
            _ => (at_once, at_once.max(PATIENCE)),
        };
        // One that waits for news is answered at its end at the latest.
        Call { hold: patience / 4, patience, whole }
    }

    /// How long to wait before the first call, where a list is known that serves until then.
    pub fn first(&mut self) -> Duration {
        self.spans.first.mul_f64(self.chance())
    }

    /// It was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// It was not: how long to wait before asking again.
    pub fn failed(&mut self) -> Duration {
        let pause = match self.failures {
            0 => AT_ONCE,
            failures => {
                (self.spans.doubled * (1 << (failures - 1).min(8))).min(self.spans.longest).max(AT_ONCE)
            }
        };
        self.failures = self.failures.saturating_add(1);
        pause.mul_f64(0.5 + self.chance())
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GRACE: Duration = Duration::from_secs(1);
    const MUST: Duration = Duration::from_secs(10);

    fn terms(senders: usize, discovery: Discovery) -> Terms {
        Terms { senders, discovery, grace: GRACE, must_ask_in: MUST }
    }

    /// What became of a fleet that starts together and asks one place that answers `capacity` calls a second in turn, but
    /// whose answer counts only within 2 s of the call: senders that were answered by `end`. It turns away whom it could
    /// not answer by then, or nobody, and works in vain.
    fn answered(senders: usize, capacity: f64, end: f64, turns_away: bool) -> usize {
        let mut asking: Vec<_> =
            (0..senders).map(|seed| Asking::new(terms(senders, Discovery::OnRequest), seed as u64)).collect();
        let mut calls: Vec<(f64, usize)> = asking
            .iter_mut()
            .enumerate()
            .map(|(sender, asking)| (asking.first().as_secs_f64(), sender))
            .collect();
        let (mut free, mut answered) = (0.0f64, 0);
        while let Some(next) = (0..calls.len()).min_by(|a, b| calls[*a].0.total_cmp(&calls[*b].0)) {
            let (at, sender) = calls.swap_remove(next);
            if at > end {
                break;
            }
            let done = free.max(at) + 1.0 / capacity;
            let in_time = done <= at + 2.0;
            free = if in_time || !turns_away { done } else { free };
            if in_time {
                answered += 1;
            } else {
                calls.push((at + 2.0 + asking[sender].failed().as_secs_f64(), sender));
            }
        }
        answered
    }

    /// Guards against a fleet that keeps an overbooked discovery busy with calls whose answers come too late.
    #[test]
    fn a_fleet_that_starts_together_is_answered() {
        let cases = [(3, 2.0), (20, 5.0), (100, 12.5), (100, 25.0), (200, 25.0)];
        let cases = cases.into_iter().flat_map(|(n, capacity)| [true, false].map(|t| (n, capacity, 20.0, t)));
        // Within what counts as told after a call in vain.
        let bound = (MUST * AFTER_FAILURE).as_secs_f64();
        for (senders, capacity, end, turns_away) in cases.chain([(300, 20.0, bound, true)]) {
            let share = answered(senders, capacity, end, turns_away) as f64 / senders as f64;
            assert!(
                share > 0.9,
                "{senders} senders, {capacity} a second, turned away: {turns_away}: {share}"
            );
        }
    }

    /// Guards against a sender that does not know for longer than the grace what its agent has: a list that is pushed
    /// counts as told with what the agent has, whatever the size of the fleet.
    #[test]
    fn what_is_pushed_is_asked_for_within_the_grace() {
        for seed in 0..200 {
            for senders in [1, 20, 300, usize::MAX] {
                let mut asking = Asking::new(terms(senders, Discovery::Pushed), seed);
                assert_eq!(asking.first(), Duration::ZERO, "{senders} senders, seed {seed}");
                for _ in 0..20 {
                    let pause = asking.failed();
                    let call = asking.call(true);
                    assert!(
                        pause >= AT_ONCE / 2 && pause + call.patience <= GRACE.mul_f64(0.8),
                        "{senders}, {seed}: {pause:?}, {call:?}"
                    );
                }
            }
        }
    }

    /// Guards against a watch whose silence is found out too late to hear again what it missed by when that counts as told:
    /// 6 s after it fell silent or 2 s after the wait that was asked for, whichever is later, however the list comes; and
    /// against an agent that was away and counts as heard at once when it is back, longer than the grace before it is.
    #[test]
    fn silence_is_found_out_before_what_it_hides_counts_as_told() {
        const ANSWER: Duration = Duration::from_millis(500);
        for (seed, discovery) in
            (0..200).flat_map(|seed| [(seed, Discovery::Pushed), (seed, Discovery::OnRequest)])
        {
            for grace in [Duration::from_millis(250), GRACE] {
                let mut asking = Asking::new(Terms { grace, ..terms(300, discovery) }, seed);
                asking.answered();
                let watch = asking.call(true);
                let told = Duration::from_secs(6).max(watch.hold + Duration::from_secs(2));
                assert!(watch.patience.max(watch.whole) + asking.failed() + ANSWER <= told, "{watch:?}");
                if discovery == Discovery::Pushed {
                    let waited = |asking: &mut Asking| asking.call(true).patience + asking.failed();
                    let longest = (1..20).map(|_| waited(&mut asking)).max().unwrap();
                    assert!(longest.mul_f64(1.2) <= grace, "{longest:?} of {grace:?}, seed {seed}");
                    assert!(asking.call(true).hold < asking.call(true).patience);
                }
                // Asked for all of it, it is answered at once or not at all.
                let whole = asking.call(false);
                assert!(whole.whole + Duration::from_secs(2) <= Duration::from_secs(6), "{whole:?}");
            }
        }
    }

    /// Guards against going on by the terms of the start after a reload.
    #[test]
    fn other_terms_hold_from_the_next_call_on() {
        let short = Terms { grace: Duration::from_millis(250), ..terms(3, Discovery::Pushed) };
        let mut asking = Asking::new(terms(3, Discovery::Pushed), 1);
        let before = asking.call(true);
        asking.follow(short);
        assert_eq!(asking.call(true), Asking::new(short, 1).call(true));
        assert!(asking.call(true).patience < before.patience);
    }

    /// Guards against an agent that is only slow and never gets to answer.
    #[test]
    fn an_agent_that_is_slow_for_long_is_given_time() {
        let mut asking =
            Asking::new(Terms { grace: Duration::from_millis(250), ..terms(3, Discovery::Pushed) }, 1);
        let first = asking.call(true);
        (0..MANY).for_each(|_| assert!(asking.failed() > Duration::ZERO));
        let later = asking.call(true);
        assert!(first.patience < PATIENCE && later.patience >= PATIENCE && later.whole > first.whole);
        asking.answered();
        assert_eq!(asking.call(true).hold, HOLD);
    }

    /// Guards against a sender that counts as told because it has not asked for too long, after its start or a call in
    /// vain; against a pause that is none or without bound, with an absurd fleet; and against one that stays long after
    /// an answer.
    #[test]
    fn pauses_are_bounded_whatever_the_settings_say() {
        for seed in 0..200 {
            for senders in [0, 1, 3, 300, usize::MAX] {
                for must_ask_in in [MUST, Duration::from_secs(2), Duration::ZERO] {
                    let terms = Terms { must_ask_in, ..terms(senders, Discovery::OnRequest) };
                    let bound = if must_ask_in.is_zero() { MUST } else { must_ask_in };
                    let mut asking = Asking::new(terms, seed);
                    assert!(asking.first() <= bound, "{senders} senders, seed {seed}");
                    for _ in 0..20 {
                        let pause = asking.failed();
                        assert!(pause >= AT_ONCE / 2 && pause <= bound * 3, "{senders}, {seed}: {pause:?}");
                    }
                    asking.answered();
                    assert!(asking.failed() <= AT_ONCE * 3 / 2);
                }
            }
        }
    }
}
