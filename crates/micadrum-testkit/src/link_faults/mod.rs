//! Faults of the links between senders, shared by simulated and live runs. Does no I/O and reads no clock.
mod operator_file;

pub use operator_file::{MemberEntry, OperatorFileError, hex, operator_file, secret};

use crate::plan::{Plan, PlannedFault, SeededRng};
use crate::scenario::{CutDirection, FaultKind};
use std::cell::Cell;
use std::time::Duration;

/// Share of the datagrams delivered over a lossy link that are duplicated.
const DUPLICATE_SHARE: f64 = 0.05;
/// Share of the datagrams delivered over a lossy link that are delayed by up to [`MAX_REORDER_DELAY`], so
/// that later ones overtake them.
const REORDERED_SHARE: f64 = 0.1;
const MAX_REORDER_DELAY: Duration = Duration::from_millis(80);

/// The links between all senders, with the faults that are active on them.
pub struct LinkFaults {
    zones: Vec<usize>,
    zone_delay: Duration,
    active: Vec<PlannedFault>,
    random: SeededRng,
}

impl LinkFaults {
    /// Creates the links between the senders of a plan, without active faults.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        Self {
            zones: plan.senders.iter().map(|sender| sender.building).collect(),
            zone_delay: Duration::from_micros(plan.scenario.zone_delay.0),
            active: Vec::new(),
            random: SeededRng::new(plan.seed, "links of senders"),
        }
    }

    /// Creates links without delay between this many senders in one zone, without active faults.
    #[must_use]
    pub fn single_zone(senders: usize) -> Self {
        let random = SeededRng::new(0, "links of senders");
        Self { zones: vec![0; senders], zone_delay: Duration::ZERO, active: Vec::new(), random }
    }

    /// Applies a fault to the links until [`Self::end_fault`] is called for it.
    pub fn begin_fault(&mut self, fault: &PlannedFault) {
        self.active.push(fault.clone());
    }

    /// Deactivates a fault; does nothing if it is not active.
    pub fn end_fault(&mut self, fault: &PlannedFault) {
        if let Some(index) = self.active.iter().position(|active| active == fault) {
            self.active.remove(index);
        }
    }

    /// Returns the effect of the active faults on bytes that `from` sends to `to` at `now`, in microseconds.
    ///
    /// `last_broken_at` is when a fault last broke the connection, in microseconds; it is set to `now` if the
    /// result is [`LinkEffect::Breaks`].
    pub fn link_effect(
        &self,
        from: u32,
        to: u32,
        now: u64,
        last_broken_at: &Cell<Option<u64>>,
    ) -> LinkEffect {
        let mut delay = self.base_delay(from, to);
        for fault in &self.active {
            let [is_source, is_target] = [from, to].map(|sender| fault.senders.contains(&sender));
            match fault.kind {
                FaultKind::Cut if self.is_cut(fault, from, to) => return LinkEffect::Held,
                FaultKind::Slow if is_source || is_target => delay += Duration::from_micros(fault.delay.0),
                FaultKind::Break
                    if (is_source || is_target)
                        && last_broken_at.get().is_none_or(|at| at + fault.interval.0 <= now) =>
                {
                    last_broken_at.set(Some(now));
                    return LinkEffect::Breaks;
                }
                _ => {}
            }
        }
        LinkEffect::Delayed(delay)
    }

    /// Returns the delay of a link without active faults.
    fn base_delay(&self, from: u32, to: u32) -> Duration {
        let crosses_zones = self.zones[from as usize] != self.zones[to as usize];
        if crosses_zones { self.zone_delay } else { Duration::ZERO }
    }

    /// Returns whether a cut drops the traffic from `from` to `to`.
    fn is_cut(&self, fault: &PlannedFault, from: u32, to: u32) -> bool {
        let [is_source, is_target] = [from, to].map(|sender| fault.senders.contains(&sender));
        let other = if is_source { to } else { from };
        is_source != is_target
            && fault.cut_peers.as_ref().is_none_or(|peers| peers.contains(&other))
            && match fault.direction {
                CutDirection::Both => true,
                CutDirection::Out => is_source,
                CutDirection::In => is_target,
            }
    }

    /// Draws which copies of a datagram arrive, and returns the delay of each; an empty vector means that the
    /// datagram is lost.
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

/// The effect of the active faults on bytes that one sender sends to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEffect {
    /// The bytes arrive after this delay.
    Delayed(Duration),
    /// The bytes do not arrive while the fault lasts, and the connection stays open without an error.
    Held,
    /// The first half of the bytes arrives, and then the connection breaks.
    Breaks,
}
