//! Items by deadline, found in the order of their weight.
//!
//! The weight of a message falls with time, but within one class it falls by one curve for all: full weight until little
//! enough time is left, then less the earlier the deadline, then the same minimum for all. So the order of deadlines
//! never changes, and three look-ups, at boundaries that move with the clock, give the exact order of weight at any time
//! without sorting anything again.
use crate::{DestinationId, MessageId, Timestamp};
use std::collections::BTreeSet;

/// A type with a least value, at which a range of it begins.
pub trait MinValue {
    /// The least value.
    const MIN: Self;
}

impl MinValue for MessageId {
    const MIN: Self = MessageId(0);
}

impl MinValue for DestinationId {
    const MIN: Self = DestinationId(0);
}

/// Where the weight of a class changes its course, in deadlines. The three need not be in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WeightBoundaries {
    /// Items with earlier deadlines are not offered any more.
    pub expired_before: Timestamp,
    /// Items with earlier deadlines all have the minimum weight.
    pub minimum_before: Timestamp,
    /// Items with this or a later deadline all have full weight; between the two, a later deadline weighs more.
    pub full_from: Timestamp,
}

/// How the weight of a class falls, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct WeightCurve {
    /// The weight falls once less time than this remains; none where it never falls.
    full_until_remaining: Option<u64>,
    /// The minimum is reached this long after that, if it is reached at all.
    minimum_after_late: Option<u64>,
}

impl WeightCurve {
    /// Creates the curve of a weight that `falls` once less than `remaining` is left.
    ///
    /// `is_minimum` tells whether a message so late has the minimum weight; it holds from some lateness on, at
    /// `max_lateness` at the latest, or never.
    pub fn new(falls: bool, remaining: u64, max_lateness: u64, is_minimum: impl Fn(u64) -> bool) -> Self {
        let (mut above, mut minimum) = (0, max_lateness);
        while minimum - above > 1 {
            let middle = above + (minimum - above) / 2;
            *if is_minimum(middle) { &mut minimum } else { &mut above } = middle;
        }
        Self {
            full_until_remaining: falls.then_some(remaining),
            minimum_after_late: Some(minimum).filter(|lateness| falls && is_minimum(*lateness)),
        }
    }

    /// Returns the boundaries of the curve at `now`.
    pub fn boundaries(&self, now: Timestamp, expired_before: Timestamp) -> WeightBoundaries {
        let full_from =
            self.full_until_remaining.map_or(Timestamp(0), |remaining| Timestamp(now.0 + remaining));
        let minimum_before = self
            .minimum_after_late
            .map_or(Timestamp(0), |lateness| Timestamp((full_from.0 + 1).saturating_sub(lateness)));
        WeightBoundaries { expired_before, minimum_before, full_from }
    }

    /// Returns when the item that comes first at `now`, with that deadline, stops doing so by the passing of time alone.
    pub fn overtaken_at(&self, now: Timestamp, deadline: Timestamp) -> Option<Timestamp> {
        let remaining = self.full_until_remaining?;
        let late = Timestamp((deadline.0 + 1).saturating_sub(remaining));
        let minimum = self
            .minimum_after_late
            .map(|lateness| Timestamp((deadline.0 + lateness).saturating_sub(remaining)));
        [Some(late), minimum].into_iter().flatten().find(|at| *at > now)
    }
}

/// Items of one class by group and deadline.
#[derive(Clone, Debug)]
pub struct DeadlineIndex<G, T>(BTreeSet<(G, Timestamp, T)>);

impl<G: Ord + Copy, T: Ord + Copy + MinValue> DeadlineIndex<G, T> {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self(BTreeSet::new())
    }

    /// Adds an item.
    pub fn insert(&mut self, group: G, deadline: Timestamp, item: T) {
        self.0.insert((group, deadline, item));
    }

    /// Removes an item; nothing happens if it is not there.
    pub fn remove(&mut self, group: G, deadline: Timestamp, item: T) {
        self.0.remove(&(group, deadline, item));
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the first item in the order of groups, then deadlines, then items.
    pub fn first(&self) -> Option<(G, Timestamp, T)> {
        self.0.first().copied()
    }

    /// Returns all items in that order.
    pub fn iter(&self) -> impl Iterator<Item = (G, Timestamp, T)> {
        self.0.iter().copied()
    }

    /// Returns the item of most weight in a group; among equals the one with the earliest deadline, then the least item.
    pub fn heaviest(&self, group: G, boundaries: &WeightBoundaries) -> Option<(Timestamp, T)> {
        self.heaviest_where(group, boundaries, |_| true)
    }

    /// Returns the item of most weight in a group among those whose deadlines `fits`.
    ///
    /// Among items of equal weight `fits` must hold up to some deadline and not after it, and among those whose weight
    /// falls up to some deadline or for none but the latest ones: then a few look-ups find the exact item.
    pub fn heaviest_where(
        &self,
        group: G,
        boundaries: &WeightBoundaries,
        fits: impl Fn(Timestamp) -> bool,
    ) -> Option<(Timestamp, T)> {
        let full_from = boundaries.full_from.max(boundaries.expired_before);
        let minimum_before = boundaries.minimum_before.max(boundaries.expired_before).min(full_from);
        let full = self.first_from(group, full_from).filter(|(deadline, _)| fits(*deadline));
        full.or_else(|| self.latest_where(group, minimum_before, full_from, &fits)).or_else(|| {
            let least = self.first_from(group, boundaries.expired_before);
            least.filter(|(deadline, _)| *deadline < minimum_before && fits(*deadline))
        })
    }

    /// The first item of the latest deadline that fits, from `from` to before `to`.
    fn latest_where(
        &self,
        group: G,
        from: Timestamp,
        to: Timestamp,
        fits: impl Fn(Timestamp) -> bool,
    ) -> Option<(Timestamp, T)> {
        let latest_before = |before: Timestamp| {
            let range = (group, from, T::MIN)..(group, before, T::MIN);
            let last = (from < before).then(|| self.0.range(range).next_back()).flatten();
            last.map(|(_, deadline, _)| *deadline)
        };
        let mut deadline = latest_before(to)?;
        if !fits(deadline) {
            if !fits(from) {
                return None;
            }
            // It fits at `from` and not at `deadline`: bisection finds where that ends, whatever lies between.
            let (mut fitting, mut unfit) = (from.0, deadline.0);
            while unfit - fitting > 1 {
                let middle = fitting + (unfit - fitting) / 2;
                *if fits(Timestamp(middle)) { &mut fitting } else { &mut unfit } = middle;
            }
            deadline = latest_before(Timestamp(unfit))?;
        }
        self.first_from(group, deadline)
    }

    fn first_from(&self, group: G, deadline: Timestamp) -> Option<(Timestamp, T)> {
        let (found, deadline, item) = self.0.range((group, deadline, T::MIN)..).next()?;
        (*found == group).then_some((*deadline, *item))
    }
}

#[cfg(test)]
mod tests;
