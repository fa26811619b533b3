//! The faults of the links between senders, the same in simulated time and live. Free of I/O and clocks.
mod operator_file;

pub use operator_file::{MemberEntry, OperatorFileError, hex, operator_file, secret};

use crate::plan::{Plan, PlannedFault, SeededRng};
use crate::scenario::{CutDirection, FaultKind};
use std::cell::Cell;
use std::time::Duration;

/// Share of the datagrams that arrive twice over a lossy link, of those that are not lost.
const DUPLICATE_SHARE: f64 = 0.05;
/// Share of those datagrams that arrive late, by up to [`MAX_REORDER_DELAY`].
const REORDERED_SHARE: f64 = 0.1;
const MAX_REORDER_DELAY: Duration = Duration::from_millis(80);

/// The links between all senders.
pub struct LinkFaults {
    zones: Vec<usize>,
    zone_delay: Duration,
    active: Vec<PlannedFault>,
    random: SeededRng,
}

impl LinkFaults {
    /// Creates the links of a plan, without faults.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        Self {
            zones: plan.senders.iter().map(|sender| sender.building).collect(),
            zone_delay: Duration::from_micros(plan.scenario.zone_delay.0),
            active: Vec::new(),
            random: SeededRng::new(plan.seed, "links of senders"),
        }
    }

    /// Creates the links of senders in one zone, without faults.
    #[must_use]
    pub fn single_zone(senders: usize) -> Self {
        let random = SeededRng::new(0, "links of senders");
        Self { zones: vec![0; senders], zone_delay: Duration::ZERO, active: Vec::new(), random }
    }

    /// Begins a fault.
    pub fn begin_fault(&mut self, fault: &PlannedFault) {
        self.active.push(fault.clone());
    }

    /// Ends a fault.
    pub fn end_fault(&mut self, fault: &PlannedFault) {
        if let Some(index) = self.active.iter().position(|active| active == fault) {
            self.active.remove(index);
        }
    }

    /// Returns what happens to bytes that are sent on a link at `now`, in microseconds. `broken` is when the link was last
    /// broken, and is updated.
    pub fn link_effect(&self, from: u32, to: u32, now: u64, broken: &Cell<Option<u64>>) -> LinkEffect {
        let mut delay = self.base_delay(from, to);
        for fault in &self.active {
            let [is_source, is_target] = [from, to].map(|sender| fault.senders.contains(&sender));
            match fault.kind {
                FaultKind::Cut if self.is_cut(fault, from, to) => return LinkEffect::Held,
                FaultKind::Slow if is_source || is_target => delay += Duration::from_micros(fault.delay.0),
                FaultKind::Break
                    if (is_source || is_target)
                        && broken.get().is_none_or(|at| at + fault.interval.0 <= now) =>
                {
                    broken.set(Some(now));
                    return LinkEffect::Breaks;
                }
                _ => {}
            }
        }
        LinkEffect::Delayed(delay)
    }

    /// Returns the delay without faults.
    fn base_delay(&self, from: u32, to: u32) -> Duration {
        let crosses_zones = self.zones[from as usize] != self.zones[to as usize];
        if crosses_zones { self.zone_delay } else { Duration::ZERO }
    }

    /// Returns whether a cut blocks what `from` sends to `to`.
    fn is_cut(&self, fault: &PlannedFault, from: u32, to: u32) -> bool {
        let [is_source, is_target] = [from, to].map(|sender| fault.senders.contains(&sender));
        let other = if is_source { to } else { from };
        is_source != is_target
            && fault.cut_peers.as_ref().is_none_or(|between| between.contains(&other))
            && match fault.direction {
                CutDirection::Both => true,
                CutDirection::Out => is_source,
                CutDirection::In => is_target,
            }
    }

    /// Returns the delay of each copy of a datagram that arrives: none, one, or more.
    pub fn datagram_delays(&mut self, from: u32, to: u32) -> Vec<Duration> {
        let mut delay = self.base_delay(from, to);
        let mut copies = 1;
        for fault in &self.active {
            let [is_source, is_target] = [from, to].map(|sender| fault.senders.contains(&sender));
            match fault.kind {
                FaultKind::Cut if self.is_cut(fault, from, to) => return Vec::new(),
                FaultKind::Slow if is_source || is_target => {
                    delay += Duration::from_micros(
                        fault.delay.0 + (self.random.unit() * fault.jitter.0 as f64) as u64,
                    );
                }
                FaultKind::Lose if is_source || is_target => {
                    if self.random.chance(fault.call_share) {
                        return Vec::new();
                    }
                    if self.random.chance(DUPLICATE_SHARE) {
                        copies = 2;
                    }
                    if self.random.chance(REORDERED_SHARE) {
                        delay += MAX_REORDER_DELAY.mul_f64(self.random.unit());
                    }
                }
                _ => {}
            }
        }
        vec![delay; copies]
    }
}

/// What happens to bytes on a link between two senders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEffect {
    /// The bytes arrive after this.
    Delayed(Duration),
    /// The bytes do not arrive for now: the link is open and silent.
    Held,
    /// Half of the bytes arrive, and the link breaks.
    Breaks,
}
