//! What waits, in order of deadlines, found in the order of worth.
//!
//! Worth falls with time, but within one class it falls by one curve for all: full worth up to a moment (`late`),
//! then less the earlier the deadline, then (`least`) the same low worth for all. So the order of deadlines never
//! changes, and three looks into it, at bounds that move with the clock, give the exact order of worth at any time
//! without anything being sorted anew.
use crate::{DestinationId, MessageId, Timestamp};
use std::collections::BTreeSet;

/// The least value of a type, to begin a range with.
pub trait MinValue {
    /// It.
    const MIN: Self;
}

impl MinValue for MessageId {
    const MIN: Self = MessageId(0);
}

impl MinValue for DestinationId {
    const MIN: Self = DestinationId(0);
}

/// Where a class's curve of worth bends, told in deadlines. `dead <= least <= late` need not hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WeightBoundaries {
    /// Deadlines before this are not offered any more.
    pub expired_before: Timestamp,
    /// Deadlines before this are worth the same, the least.
    pub minimum_before: Timestamp,
    /// Deadlines before this, and not before `least`, are worth more the later they are; from here on all are worth
    /// the same.
    pub full_from: Timestamp,
}

/// Where the worth of a class bends, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct WeightCurve {
    /// A message with less than this left is late; none where worth does not fall.
    full_until_remaining: Option<u64>,
    /// So late nothing more is lost, if it comes to that.
    minimum_after_late: Option<u64>,
}

impl WeightCurve {
    /// Of worth that `falls` from the moment on at which less than `late` is left, and is at the bottom for a message
    /// so late that `bottom` holds, at first at `most` microseconds at the latest, if it comes to that.
    pub fn new(falls: bool, late: u64, most: u64, bottom: impl Fn(u64) -> bool) -> Self {
        let (mut above, mut at) = (0, most);
        while at - above > 1 {
            let middle = above + (at - above) / 2;
            *if bottom(middle) { &mut at } else { &mut above } = middle;
        }
        Self {
            full_until_remaining: falls.then_some(late),
            minimum_after_late: Some(at).filter(|at| falls && bottom(*at)),
        }
    }

    /// The bends in deadlines, at `now`.
    pub fn boundaries(&self, now: Timestamp, dead: Timestamp) -> WeightBoundaries {
        let late = self.full_until_remaining.map_or(Timestamp(0), |late| Timestamp(now.0 + late));
        let least = self
            .minimum_after_late
            .map_or(Timestamp(0), |least| Timestamp((late.0 + 1).saturating_sub(least)));
        WeightBoundaries { expired_before: dead, minimum_before: least, full_from: late }
    }

    /// When a first message of that deadline gives way to another, with no change but time's.
    pub fn overtaken_at(&self, now: Timestamp, deadline: Timestamp) -> Option<Timestamp> {
        let late = Timestamp((deadline.0 + 1).saturating_sub(self.full_until_remaining?));
        let least = self.minimum_after_late.map(|least| {
            Timestamp((deadline.0 + least).saturating_sub(self.full_until_remaining.unwrap_or(0)))
        });
        [Some(late), least].into_iter().flatten().find(|at| *at > now)
    }
}

/// Items of one class by group and deadline.
#[derive(Clone, Debug)]
pub struct DeadlineIndex<G, T>(BTreeSet<(G, Timestamp, T)>);

impl<G: Ord + Copy, T: Ord + Copy + MinValue> DeadlineIndex<G, T> {
    /// An empty one.
    pub fn new() -> Self {
        Self(BTreeSet::new())
    }

    /// Puts an item in.
    pub fn insert(&mut self, group: G, deadline: Timestamp, item: T) {
        self.0.insert((group, deadline, item));
    }

    /// Takes an item out; it need not be there.
    pub fn remove(&mut self, group: G, deadline: Timestamp, item: T) {
        self.0.remove(&(group, deadline, item));
    }

    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The first in the order of groups, then deadlines, then items.
    pub fn first(&self) -> Option<(G, Timestamp, T)> {
        self.0.first().copied()
    }

    /// Items in that order.
    pub fn iter(&self) -> impl Iterator<Item = (G, Timestamp, T)> {
        self.0.iter().copied()
    }

    /// The first of a group in the order of worth; of those worth the same, the earliest deadline, then the least
    /// item.
    pub fn heaviest(&self, group: G, cuts: &WeightBoundaries) -> Option<(Timestamp, T)> {
        self.heaviest_where(group, cuts, |_| true)
    }

    /// The same among those whose deadlines `fits`.
    ///
    /// Among items worth the same `fits` must hold up to some deadline and not after it, and among those whose worth
    /// falls up to some deadline or for none but the latest ones: then a few looks find the exact one.
    pub fn heaviest_where(
        &self,
        group: G,
        cuts: &WeightBoundaries,
        fits: impl Fn(Timestamp) -> bool,
    ) -> Option<(Timestamp, T)> {
        let late = cuts.full_from.max(cuts.expired_before);
        let least = cuts.minimum_before.max(cuts.expired_before).min(late);
        let fresh = self.first_from(group, late).filter(|(at, _)| fits(*at));
        fresh.or_else(|| self.latest_where(group, least, late, &fits)).or_else(|| {
            self.first_from(group, cuts.expired_before).filter(|(at, _)| *at < least && fits(*at))
        })
    }

    /// The first of the latest deadline that fits, from `from` to before `to`.
    fn latest_where(
        &self,
        group: G,
        from: Timestamp,
        to: Timestamp,
        fits: impl Fn(Timestamp) -> bool,
    ) -> Option<(Timestamp, T)> {
        let latest = |before: Timestamp| {
            let range = (group, from, T::MIN)..(group, before, T::MIN);
            (from < before).then(|| self.0.range(range).next_back()).flatten().map(|(_, at, _)| *at)
        };
        let mut at = latest(to)?;
        if !fits(at) {
            if !fits(from) {
                return None;
            }
            // It fits at `from` and not at `at`: where it ends is found by halving, whatever lies between.
            let (mut fitting, mut not) = (from.0, at.0);
            while not - fitting > 1 {
                let middle = fitting + (not - fitting) / 2;
                *if fits(Timestamp(middle)) { &mut fitting } else { &mut not } = middle;
            }
            at = latest(Timestamp(not))?;
        }
        self.first_from(group, at)
    }

    fn first_from(&self, group: G, deadline: Timestamp) -> Option<(Timestamp, T)> {
        let (found, at, item) = self.0.range((group, deadline, T::MIN)..).next()?;
        (*found == group).then_some((*at, *item))
    }
}

#[cfg(test)]
mod tests;
