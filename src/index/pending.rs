//! The books of messages that wait: whose time is up first, who is to be looked at when, who only wants an
//! endpoint, and which destinations those are for.
use super::deadline_index::{DeadlineIndex, WeightBoundaries, WeightCurve};
use super::timers::Timers;
use crate::{ClassId, DestinationId, EndpointId, MessageId, OrderKey, Timestamp, ZoneId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// What comes with time alone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Timer {
    /// A backoff, told wait or key's rest is over.
    BackoffElapsed(MessageId),
    /// The window of a message's key closes.
    DeduplicationWindowClosed(MessageId),
    /// A key without messages has rested.
    OrderingHoldElapsed(OrderKey),
    /// A destination may be sent to, or its first message is another by now.
    RecheckDestination(DestinationId),
    /// An endpoint may be forgotten, and its destination with it.
    ForgetEndpoint(EndpointId, DestinationId),
}

/// Where a message stands among those that wait.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Readiness {
    /// Behind others of its key, or out of attempts: only its end is due.
    Blocked,
    /// It may go no sooner than this.
    NotBefore(Timestamp),
    /// It only wants an endpoint.
    Ready,
}

/// A message as the books have it.
#[derive(Clone, Copy, Debug)]
pub struct PendingEntry {
    /// Its class.
    pub class: ClassId,
    /// Where it goes.
    pub destination: DestinationId,
    /// When its time is up.
    pub deadline: Timestamp,
    /// Whether an attempt may have run, or it is owed a first one: it cannot be shed for others.
    pub protected: bool,
    /// The only zone that it may go to.
    pub required_zone: Option<ZoneId>,
    /// When the window of its key closes.
    pub window_closes_at: Option<Timestamp>,
    /// Whether it goes first: others wait behind it, or it was found untried after a restart.
    pub urgent: bool,
    /// Where it stands.
    pub readiness: Readiness,
}

/// Ready messages of a class that may go anywhere, or to one zone only, with others behind them or with none.
#[cfg_attr(test, derive(Clone))]
pub struct ReadyQueue {
    /// Their class.
    pub class: ClassId,
    /// The zone.
    pub required_zone: Option<ZoneId>,
    /// Whether others wait behind each of them.
    pub urgent: bool,
    /// They.
    pub messages: DeadlineIndex<(), MessageId>,
}

impl ReadyQueue {
    fn takes(&self, slip: &PendingEntry) -> bool {
        (self.class, self.required_zone, self.urgent) == (slip.class, slip.required_zone, slip.urgent)
    }
}

/// The ready messages of one destination.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
struct DestinationQueue {
    ready: Vec<ReadyQueue>,
    /// Its entries among the ranked, and the calls out that they were made by.
    ranked_as: Vec<(ClassId, Timestamp)>,
    ranked_calls: usize,
    /// When it is to be looked at with no other cause.
    recheck_at: Option<Timestamp>,
    changed: bool,
}

/// All books.
#[cfg_attr(test, derive(Clone))]
pub struct PendingMessages {
    /// Moments to come, of all kinds in one order.
    pub timers: Timers<Timer>,
    curves: Vec<WeightCurve>,
    /// By class, those that may have run apart.
    by_deadline: Vec<[DeadlineIndex<(), MessageId>; 2]>,
    queues: FxHashMap<DestinationId, DestinationQueue>,
    /// Destinations that may be sent to, by class of a first message and by calls out.
    ranked: Vec<DeadlineIndex<usize, DestinationId>>,
    changed: VecDeque<DestinationId>,
    /// How many messages are ready.
    ready_count: usize,
    /// Room to work in.
    scratch_heads: Vec<(ClassId, Timestamp)>,
    /// Moment of the present look, and the deadlines that are over by then.
    now: Timestamp,
    expired_before: Timestamp,
}

impl PendingMessages {
    /// Empty books for classes whose worth bends so.
    pub fn new(bends: Vec<WeightCurve>) -> Self {
        let mut waiting = Self {
            timers: Timers::new(),
            by_deadline: Vec::new(),
            ranked: Vec::new(),
            curves: Vec::new(),
            queues: FxHashMap::default(),
            changed: VecDeque::new(),
            ready_count: 0,
            scratch_heads: Vec::new(),
            now: Timestamp(0),
            expired_before: Timestamp(0),
        };
        waiting.set_curves(bends);
        waiting
    }

    /// From here on there are these classes, the earlier ones among them under their numbers.
    pub fn set_curves(&mut self, bends: Vec<WeightCurve>) {
        self.by_deadline.resize_with(bends.len(), || [DeadlineIndex::new(), DeadlineIndex::new()]);
        self.ranked.resize_with(bends.len(), DeadlineIndex::new);
        self.curves = bends;
    }

    /// From here on it is `now`, and messages of deadlines before `dead` are not offered.
    pub fn advance(&mut self, now: Timestamp, dead: Timestamp) {
        (self.now, self.expired_before) = (now, dead);
    }

    /// Enters a message that waits.
    pub fn insert(&mut self, id: MessageId, slip: &PendingEntry) {
        self.by_deadline[slip.class.0][usize::from(slip.protected)].insert((), slip.deadline, id);
        if let Some(window) = slip.window_closes_at {
            self.timers.set(window, Timer::DeduplicationWindowClosed(id));
        }
        match slip.readiness {
            Readiness::Blocked => {}
            Readiness::NotBefore(at) => self.timers.set(at, Timer::BackoffElapsed(id)),
            Readiness::Ready => {
                let lanes = &mut self.queues.entry(slip.destination).or_default().ready;
                let lane = lanes.iter().position(|lane| lane.takes(slip));
                let lane = lane.unwrap_or_else(|| {
                    let PendingEntry { class, required_zone: zone, urgent: crowded, .. } = *slip;
                    lanes.push(ReadyQueue {
                        class,
                        required_zone: zone,
                        urgent: crowded,
                        messages: DeadlineIndex::new(),
                    });
                    lanes.len() - 1
                });
                lanes[lane].messages.insert((), slip.deadline, id);
                self.ready_count += 1;
                self.mark_changed(slip.destination);
            }
        }
    }

    /// Strikes a message that was entered by that slip.
    pub fn remove(&mut self, id: MessageId, slip: &PendingEntry) {
        self.by_deadline[slip.class.0][usize::from(slip.protected)].remove((), slip.deadline, id);
        if let Some(window) = slip.window_closes_at {
            self.timers.unset(window, Timer::DeduplicationWindowClosed(id));
        }
        match slip.readiness {
            Readiness::Blocked => {}
            Readiness::NotBefore(at) => self.timers.unset(at, Timer::BackoffElapsed(id)),
            Readiness::Ready => {
                self.ready_count -= 1;
                let Some(queue) = self.queues.get_mut(&slip.destination) else { return };
                let mut lanes = queue.ready.iter();
                let lane = lanes.position(|lane| lane.takes(slip));
                if let Some(lane) = lane {
                    queue.ready[lane].messages.remove((), slip.deadline, id);
                    if queue.ready[lane].messages.is_empty() {
                        queue.ready.swap_remove(lane);
                    }
                }
                self.mark_changed(slip.destination);
            }
        }
    }

    /// Whether some message only wants an endpoint.
    pub fn any_ready(&self) -> bool {
        self.ready_count > 0
    }

    /// The earliest deadline of all that wait.
    pub fn first_deadline(&self) -> Option<Timestamp> {
        self.by_deadline
            .iter()
            .flatten()
            .filter_map(|shelf| shelf.first())
            .map(|((), deadline, _)| deadline)
            .min()
    }

    /// Messages whose deadlines are over, earliest first within a class, at most so many.
    pub fn expired(&self, most: usize) -> Vec<MessageId> {
        let over = |shelf: &DeadlineIndex<(), MessageId>| {
            shelf
                .iter()
                .take_while(|(_, at, _)| *at < self.expired_before)
                .map(|(_, _, id)| id)
                .take(most)
                .collect()
        };
        let mut dead = Vec::new();
        for shelf in self.by_deadline.iter().flatten().filter(|_| most > 0) {
            let mut of_class: Vec<MessageId> = over(shelf);
            dead.append(&mut of_class);
        }
        dead.truncate(most);
        dead
    }

    /// By class, the message of the earliest deadline that has never run.
    pub fn sheddable(&self) -> impl Iterator<Item = (ClassId, Timestamp, MessageId)> {
        let first = |(class, [shelf, _]): (usize, &[DeadlineIndex<(), MessageId>; 2])| {
            shelf.first().map(|((), deadline, id)| (ClassId(class), deadline, id))
        };
        self.by_deadline.iter().enumerate().filter_map(first)
    }

    /// Where the worth of a class bends now.
    pub fn boundaries(&self, class: ClassId) -> WeightBoundaries {
        self.curves[class.0].boundaries(self.now, self.expired_before)
    }

    /// The ready messages of a destination.
    pub fn ready_queues(&self, destination: DestinationId) -> &[ReadyQueue] {
        self.queues.get(&destination).map_or(&[], |queue| &queue.ready)
    }

    // ---- ranks ---------------------------------------------------------------------------------------

    /// Something about a destination has changed: it is to be ranked anew.
    pub fn mark_changed(&mut self, destination: DestinationId) {
        if let Some(queue) = self.queues.get_mut(&destination)
            && !std::mem::replace(&mut queue.changed, true)
        {
            self.changed.push_back(destination);
        }
    }

    /// The next that is to be ranked anew.
    pub fn next_changed(&mut self) -> Option<DestinationId> {
        while let Some(destination) = self.changed.pop_front() {
            if self.queues.get(&destination).is_some_and(|queue| queue.changed) {
                return Some(destination);
            }
        }
        None
    }

    /// Enters a destination among the ranked by its first message of each lane; without a count of `calls` out it is
    /// not known, and cannot be sent to.
    pub fn rank(&mut self, destination: DestinationId, calls: Option<usize>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        queue.changed = false;
        let (bends, mut gives_way) = (&self.curves, None);
        self.scratch_heads.clear();
        for lane in queue.ready.iter().filter(|_| calls.is_some()) {
            let bends = &bends[lane.class.0];
            let Some((deadline, _)) =
                lane.messages.heaviest((), &bends.boundaries(self.now, self.expired_before))
            else {
                continue;
            };
            self.scratch_heads.push((lane.class, deadline));
            gives_way = gives_way.into_iter().chain(bends.overtaken_at(self.now, deadline)).min();
        }
        if queue.ranked_as != self.scratch_heads || calls.is_none_or(|calls| calls != queue.ranked_calls) {
            for (class, deadline) in queue.ranked_as.drain(..) {
                self.ranked[class.0].remove(queue.ranked_calls, deadline, destination);
            }
            queue.ranked_calls = calls.unwrap_or(0);
            for (class, deadline) in &self.scratch_heads {
                self.ranked[class.0].insert(queue.ranked_calls, *deadline, destination);
            }
            queue.ranked_as.extend_from_slice(&self.scratch_heads);
        }
        self.schedule_recheck(destination, gives_way);
    }

    /// Takes a destination off the ranked until `look`, or until it is woken.
    pub fn unrank(&mut self, destination: DestinationId, look: Option<Timestamp>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        queue.changed = false;
        for (class, deadline) in queue.ranked_as.drain(..) {
            self.ranked[class.0].remove(queue.ranked_calls, deadline, destination);
        }
        self.schedule_recheck(destination, look);
    }

    /// Sees to it that a destination is looked at by then. One that is looked at sooner already is put off when that
    /// has come: a look too many, and far fewer moments to set and unset. A queue that is empty goes with its moment.
    fn schedule_recheck(&mut self, destination: DestinationId, at: Option<Timestamp>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        if let Some(at) = at.filter(|at| queue.recheck_at.is_none_or(|look| *at < look)) {
            if let Some(look) = queue.recheck_at.replace(at) {
                self.timers.unset(look, Timer::RecheckDestination(destination));
            }
            self.timers.set(at, Timer::RecheckDestination(destination));
        }
        if queue.recheck_at.is_none() && queue.ready.is_empty() {
            self.queues.remove(&destination);
        }
    }

    /// The moment has come that a destination was to be looked at.
    pub fn recheck(&mut self, destination: DestinationId) {
        if let Some(queue) = self.queues.get_mut(&destination) {
            queue.recheck_at = None;
            self.mark_changed(destination);
        }
    }

    /// Of the ranked destinations with the fewest calls out, by class, the one whose first message is the first in the
    /// order of worth.
    pub fn best_ranked(&mut self) -> Vec<(ClassId, Timestamp, DestinationId)> {
        loop {
            let ranked = self.ranked.iter().filter_map(|shelf| shelf.first());
            let Some((calls, _, some)) = ranked.min_by_key(|(calls, ..)| *calls) else { return Vec::new() };
            let firsts = self.ranked.iter().enumerate().filter_map(|(class, shelf)| {
                let (deadline, destination) = shelf.heaviest(calls, &self.boundaries(ClassId(class)))?;
                Some((ClassId(class), deadline, destination))
            });
            let firsts: Vec<_> = firsts.collect();
            if !firsts.is_empty() {
                return firsts;
            }
            // The first messages of all of them are over, though not ended yet: those behind them count.
            self.rank(some, Some(calls));
        }
    }

    /// Whether a destination is off the ranked until a moment to come, with nothing changed since.
    #[cfg(test)]
    pub fn is_deferred(&self, destination: DestinationId) -> bool {
        let later = |queue: &DestinationQueue| {
            !queue.changed && queue.ranked_as.is_empty() && queue.recheck_at.is_some_and(|at| at > self.now)
        };
        self.queues.get(&destination).is_some_and(later)
    }
}
