//! An index of items by deadline that returns them by weight.
//!
//! The weight of a message falls with time, but all messages of a class follow the same curve: full weight
//! until a certain time before the deadline, then a falling weight, which is lower for an earlier deadline,
//! then the same minimum weight. The order of deadlines therefore never changes, and three lookups at
//! boundaries that move with the clock find the heaviest item at any time without sorting the items again.
use crate::{DestinationId, MessageId, Timestamp};
use std::collections::BTreeSet;

/// A type with a minimum value, used as the lower bound of ranges.
pub trait MinValue {
    /// The minimum value.
    const MIN: Self;
}

impl MinValue for MessageId {
    const MIN: Self = MessageId(0);
}

impl MinValue for DestinationId {
    const MIN: Self = DestinationId(0);
}

/// The deadlines at which the weight of a class changes. The three deadlines need not be in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WeightBoundaries {
    /// Items with earlier deadlines are not returned any more.
    pub expired_before: Timestamp,
    /// Items with earlier deadlines have the minimum weight.
    pub minimum_before: Timestamp,
    /// Items with this or a later deadline have full weight. Between `minimum_before` and this deadline, an
    /// item weighs more the later its deadline is.
    pub full_from: Timestamp,
}

/// The curve by which the weight of a class falls over time, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct WeightCurve {
    /// The weight falls once less than this time remains until the deadline; `None` if it never falls.
    full_until_remaining: Option<u64>,
    /// The minimum weight is reached this long after the weight begins to fall; `None` if it is never
    /// reached.
    minimum_after_late: Option<u64>,
}

impl WeightCurve {
    /// Creates a curve. If `falls` is true, the weight falls once less than `remaining` is left until the
    /// deadline.
    ///
    /// `is_minimum` returns whether a message has the minimum weight at a lateness, which is the time since
    /// its weight began to fall. It must return true from some lateness on, which is `max_lateness` at most,
    /// or always return false.
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

    /// Returns the boundaries of the curve at `now`, with the given boundary of expired items.
    pub fn boundaries(&self, now: Timestamp, expired_before: Timestamp) -> WeightBoundaries {
        let full_from =
            self.full_until_remaining.map_or(Timestamp(0), |remaining| Timestamp(now.0 + remaining));
        let minimum_before = self
            .minimum_after_late
            .map_or(Timestamp(0), |lateness| Timestamp((full_from.0 + 1).saturating_sub(lateness)));
        WeightBoundaries { expired_before, minimum_before, full_from }
    }

    /// Returns when the heaviest item at `now`, which has the given deadline, may stop being the heaviest one
    /// by the passing of time alone, or `None` if it never does.
    pub fn overtaken_at(&self, now: Timestamp, deadline: Timestamp) -> Option<Timestamp> {
        let remaining = self.full_until_remaining?;
        let late = Timestamp((deadline.0 + 1).saturating_sub(remaining));
        let minimum = self
            .minimum_after_late
            .map(|lateness| Timestamp((deadline.0 + lateness).saturating_sub(remaining)));
        [Some(late), minimum].into_iter().flatten().find(|at| *at > now)
    }
}

/// The items of one class, by group and deadline.
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

    /// Removes an item; does nothing if the index does not contain it.
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

    /// Returns all items in the order of groups, then deadlines, then items.
    pub fn iter(&self) -> impl Iterator<Item = (G, Timestamp, T)> {
        self.0.iter().copied()
    }

    /// Returns the heaviest item of a group. Among items of equal weight it is the one with the earliest
    /// deadline, then the smallest item.
    pub fn heaviest(&self, group: G, boundaries: &WeightBoundaries) -> Option<(Timestamp, T)> {
        self.heaviest_where(group, boundaries, |_| true)
    }

    /// Returns the heaviest item of a group among those for whose deadline `fits` returns true.
    ///
    /// Among items of equal weight, `fits` must be true up to some deadline and false after it. Among items
    /// whose weight is falling, it must be true either up to some deadline or from some deadline on. Under
    /// these conditions a few lookups find the item.
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
            let first_unexpired = self.first_from(group, boundaries.expired_before);
            first_unexpired.filter(|(deadline, _)| *deadline < minimum_before && fits(*deadline))
        })
    }

    /// Returns the first item with the latest deadline in `from..to` that fits.
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
            // `from` fits and `deadline` does not: bisection finds the first deadline that does not fit.
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
