//! When to ask what a whole fleet asks of one place, such as the list of discovery. Free of I/O and clocks.
//!
//! A call that comes while too many are in line there fails, and its work is lost: a fleet that asks again at once keeps
//! the line long and hears nothing. So the pauses grow with the fleet, as if all of its senders were in the same case.
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// Pause after a first failure that follows an answer: well inside the 200 ms within which a watch goes on.
const AT_ONCE: Duration = Duration::from_millis(50);
/// For each sender of the fleet: what the first pause is long, and over what the first calls after a start are spread.
const FIRST: Duration = Duration::from_millis(25);
const SPREAD: Duration = Duration::from_millis(50);
/// And the longest pause: all of them together then ask some ten times a second.
const LONGEST: Duration = Duration::from_millis(100);
/// Senders beyond which nothing grows any more: news is owed within seconds, whatever the settings say of the fleet.
const MOST_SENDERS: usize = 200;

/// Pauses that double with each failure up to a bound, drawn by chance: senders that fail together do not come back
/// together.
pub struct Asking {
    senders: u32,
    failures: u32,
    random: ChaCha8Rng,
}

impl Asking {
    /// For one of so many senders.
    pub fn new(senders: usize, seed: u64) -> Self {
        let senders = u32::try_from(senders.clamp(1, MOST_SENDERS)).unwrap_or(1);
        Self { senders, failures: 1, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// How long to wait before the first call, where a list is known that serves until then.
    pub fn first(&mut self) -> Duration {
        (SPREAD * self.senders).mul_f64(self.chance())
    }

    /// It was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// It was not: how long to wait before asking again.
    pub fn failed(&mut self) -> Duration {
        let doubled = FIRST * self.senders * (1 << self.failures.saturating_sub(1).min(8));
        let pause = match self.failures {
            0 => AT_ONCE,
            _ => doubled.max(AT_ONCE).min(LONGEST * self.senders),
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

    /// What became of a fleet that starts together and asks one place that answers `capacity` calls a second in turn, and
    /// turns away nobody, but whose answer counts only within 2 s of the call: senders that were answered by `end`.
    fn answered(senders: usize, capacity: f64, end: f64) -> usize {
        let mut asking: Vec<_> = (0..senders).map(|seed| Asking::new(senders, seed as u64)).collect();
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
            free = free.max(at) + 1.0 / capacity;
            if free <= at + 2.0 {
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
        for (senders, capacity) in [(3, 2.0), (20, 5.0), (100, 12.5), (100, 25.0), (200, 25.0)] {
            let share = answered(senders, capacity, 20.0) as f64 / senders as f64;
            assert!(share > 0.9, "{senders} senders, {capacity} calls a second: {share}");
        }
    }

    /// Guards against a pause that outlasts news by far, or is none, with an absurd fleet, and against one that
    /// stays long after an answer.
    #[test]
    fn pauses_are_bounded_whatever_the_settings_say() {
        for senders in [0, 1, 3, 1_000, usize::MAX] {
            let mut asking = Asking::new(senders, 7);
            assert!(asking.first() <= Duration::from_secs(10), "{senders}");
            for _ in 0..100 {
                let pause = asking.failed();
                assert!(pause >= AT_ONCE / 2 && pause <= Duration::from_secs(30), "{senders}: {pause:?}");
            }
            asking.answered();
            assert!(asking.failed() <= AT_ONCE * 3 / 2);
        }
    }
}
