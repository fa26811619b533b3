//! The indices of pending messages: which deadline comes first, what a timer waits for, which messages only lack an
//! endpoint, and which destinations have such messages.
//!
//! Destinations with ready messages are ranked by their calls in flight and the weight of their first message. A
//! destination that changes is marked and ranked again before the next choice; one that cannot be sent to is taken off
//! the ranking until a time or an event may have opened it.
use super::deadline_index::{DeadlineIndex, WeightBoundaries, WeightCurve};
use super::timers::Timers;
use crate::{ClassId, DestinationId, EndpointId, MessageId, OrderKey, Timestamp, ZoneId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// What happens by the passing of time alone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Timer {
    /// The backoff, Retry-After or ordering hold of a message is over.
    BackoffElapsed(MessageId),
    /// The deduplication window of a message closes.
    DeduplicationWindowClosed(MessageId),
    /// The hold of an ordering key without messages is over.
    OrderingHoldElapsed(OrderKey),
    /// A destination may be sent to again, or another of its messages comes first by now.
    RecheckDestination(DestinationId),
    /// An endpoint may be forgotten, and its destination with it.
    ForgetEndpoint(EndpointId, DestinationId),
}

/// What a pending message waits for.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Readiness {
    /// For another message of its key, or only for its end, as its attempts are used up.
    Blocked,
    /// For this time.
    NotBefore(Timestamp),
    /// For an endpoint.
    Ready,
}

/// A pending message as the indices hold it.
#[derive(Clone, Copy, Debug)]
pub struct PendingEntry {
    /// Its class.
    pub class: ClassId,
    /// Its destination.
    pub destination: DestinationId,
    /// When its time is up.
    pub deadline: Timestamp,
    /// Whether it is never shed for others: an attempt may have run, or a restart found it untried.
    pub protected: bool,
    /// The only zone that it may be sent to.
    pub required_zone: Option<ZoneId>,
    /// When its deduplication window closes.
    pub window_closes_at: Option<Timestamp>,
    /// Whether it goes first: others of its key wait behind it, or a restart found it untried.
    pub urgent: bool,
    /// What it waits for.
    pub readiness: Readiness,
}

/// Ready messages of one class, required zone and urgency.
#[cfg_attr(test, derive(Clone))]
pub struct ReadyQueue {
    /// Their class.
    pub class: ClassId,
    /// The only zone that they may be sent to.
    pub required_zone: Option<ZoneId>,
    /// Whether they go before others.
    pub urgent: bool,
    /// The messages by deadline.
    pub messages: DeadlineIndex<(), MessageId>,
}

impl ReadyQueue {
    fn accepts(&self, entry: &PendingEntry) -> bool {
        let own = (self.class, self.required_zone, self.urgent);
        own == (entry.class, entry.required_zone, entry.urgent)
    }
}

/// The first message of a ready queue, as a destination is ranked by it.
type QueueHead = (ClassId, Timestamp);

/// The ready messages of one destination.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
struct DestinationQueue {
    ready: Vec<ReadyQueue>,
    /// The entries of the destination in the ranking, and the calls in flight they were made by.
    ranked_as: Vec<QueueHead>,
    ranked_calls: usize,
    /// When the destination is checked again without an event.
    recheck_at: Option<Timestamp>,
    /// Whether it waits to be ranked again.
    changed: bool,
}

impl DestinationQueue {
    fn insert(&mut self, id: MessageId, entry: &PendingEntry) {
        let position = self.ready.iter().position(|queue| queue.accepts(entry));
        let position = position.unwrap_or_else(|| {
            let PendingEntry { class, required_zone, urgent, .. } = *entry;
            self.ready.push(ReadyQueue { class, required_zone, urgent, messages: DeadlineIndex::new() });
            self.ready.len() - 1
        });
        self.ready[position].messages.insert((), entry.deadline, id);
    }

    fn remove(&mut self, id: MessageId, entry: &PendingEntry) {
        let Some(position) = self.ready.iter().position(|queue| queue.accepts(entry)) else { return };
        let messages = &mut self.ready[position].messages;
        messages.remove((), entry.deadline, id);
        if messages.is_empty() {
            self.ready.swap_remove(position);
        }
    }
}

/// The messages of one class by deadline, those apart that are never shed.
#[cfg_attr(test, derive(Clone))]
struct ClassDeadlines {
    sheddable: DeadlineIndex<(), MessageId>,
    protected: DeadlineIndex<(), MessageId>,
}

impl ClassDeadlines {
    fn new() -> Self {
        Self { sheddable: DeadlineIndex::new(), protected: DeadlineIndex::new() }
    }

    fn of(&mut self, entry: &PendingEntry) -> &mut DeadlineIndex<(), MessageId> {
        if entry.protected { &mut self.protected } else { &mut self.sheddable }
    }

    fn both(&self) -> [&DeadlineIndex<(), MessageId>; 2] {
        [&self.sheddable, &self.protected]
    }
}

/// All indices of pending messages.
#[cfg_attr(test, derive(Clone))]
pub struct PendingMessages {
    /// All timers, in one order.
    pub timers: Timers<Timer>,
    /// By class: how its weight falls.
    curves: Vec<WeightCurve>,
    /// By class: its messages by deadline.
    by_deadline: Vec<ClassDeadlines>,
    queues: FxHashMap<DestinationId, DestinationQueue>,
    /// By class of the first message: destinations that may be sent to, by calls in flight.
    ranked: Vec<DeadlineIndex<usize, DestinationId>>,
    changed: VecDeque<DestinationId>,
    /// How many messages are ready.
    ready_count: usize,
    /// Reused by [`PendingMessages::rank`], which would otherwise allocate each time.
    scratch_heads: Vec<QueueHead>,
    now: Timestamp,
    /// Messages of earlier deadlines are not offered any more.
    expired_before: Timestamp,
}

impl PendingMessages {
    /// Creates empty indices for classes with these weight curves.
    pub fn new(curves: Vec<WeightCurve>) -> Self {
        let mut pending = Self {
            timers: Timers::new(),
            curves: Vec::new(),
            by_deadline: Vec::new(),
            queues: FxHashMap::default(),
            ranked: Vec::new(),
            changed: VecDeque::new(),
            ready_count: 0,
            scratch_heads: Vec::new(),
            now: Timestamp(0),
            expired_before: Timestamp(0),
        };
        pending.set_curves(curves);
        pending
    }

    /// Replaces the weight curves; earlier classes keep their numbers.
    pub fn set_curves(&mut self, curves: Vec<WeightCurve>) {
        self.by_deadline.resize_with(curves.len(), ClassDeadlines::new);
        self.ranked.resize_with(curves.len(), DeadlineIndex::new);
        self.curves = curves;
    }

    /// Sets the time; messages with deadlines before `expired_before` are not offered from here on.
    pub fn advance(&mut self, now: Timestamp, expired_before: Timestamp) {
        (self.now, self.expired_before) = (now, expired_before);
    }

    /// Adds a pending message.
    pub fn insert(&mut self, id: MessageId, entry: &PendingEntry) {
        self.by_deadline[entry.class.0].of(entry).insert((), entry.deadline, id);
        if let Some(closes_at) = entry.window_closes_at {
            self.timers.set(closes_at, Timer::DeduplicationWindowClosed(id));
        }
        match entry.readiness {
            Readiness::Blocked => {}
            Readiness::NotBefore(at) => self.timers.set(at, Timer::BackoffElapsed(id)),
            Readiness::Ready => {
                self.queues.entry(entry.destination).or_default().insert(id, entry);
                self.ready_count += 1;
                self.mark_changed(entry.destination);
            }
        }
    }

    /// Removes a message that was added with that entry.
    pub fn remove(&mut self, id: MessageId, entry: &PendingEntry) {
        self.by_deadline[entry.class.0].of(entry).remove((), entry.deadline, id);
        if let Some(closes_at) = entry.window_closes_at {
            self.timers.unset(closes_at, Timer::DeduplicationWindowClosed(id));
        }
        match entry.readiness {
            Readiness::Blocked => {}
            Readiness::NotBefore(at) => self.timers.unset(at, Timer::BackoffElapsed(id)),
            Readiness::Ready => {
                self.ready_count -= 1;
                let Some(queue) = self.queues.get_mut(&entry.destination) else { return };
                queue.remove(id, entry);
                self.mark_changed(entry.destination);
            }
        }
    }

    /// Returns whether some message only lacks an endpoint.
    pub fn any_ready(&self) -> bool {
        self.ready_count > 0
    }

    /// Returns the earliest deadline of all pending messages.
    pub fn first_deadline(&self) -> Option<Timestamp> {
        let indices = self.by_deadline.iter().flat_map(ClassDeadlines::both);
        indices.filter_map(DeadlineIndex::first).map(|((), deadline, _)| deadline).min()
    }

    /// Returns at most `max` messages whose deadlines have passed, earliest first within a class.
    pub fn expired(&self, max: usize) -> Vec<MessageId> {
        let mut expired = Vec::new();
        for index in self.by_deadline.iter().flat_map(ClassDeadlines::both).filter(|_| max > 0) {
            let passed = index.iter().take_while(|(_, deadline, _)| *deadline < self.expired_before);
            expired.extend(passed.map(|(_, _, id)| id).take(max));
        }
        expired.truncate(max);
        expired
    }

    /// Returns by class the message of the earliest deadline that may be shed.
    pub fn sheddable(&self) -> impl Iterator<Item = (ClassId, Timestamp, MessageId)> {
        let first = |(class, deadlines): (usize, &ClassDeadlines)| {
            let ((), deadline, id) = deadlines.sheddable.first()?;
            Some((ClassId(class), deadline, id))
        };
        self.by_deadline.iter().enumerate().filter_map(first)
    }

    /// Returns where the weight of a class changes its course now.
    pub fn boundaries(&self, class: ClassId) -> WeightBoundaries {
        self.curves[class.0].boundaries(self.now, self.expired_before)
    }

    /// Returns the ready messages of a destination.
    pub fn ready_queues(&self, destination: DestinationId) -> &[ReadyQueue] {
        self.queues.get(&destination).map_or(&[], |queue| &queue.ready)
    }

    // ---- Ranking of destinations -------------------------------------------------------------------------

    /// Marks a destination that has changed, so that it is ranked again.
    pub fn mark_changed(&mut self, destination: DestinationId) {
        if let Some(queue) = self.queues.get_mut(&destination)
            && !std::mem::replace(&mut queue.changed, true)
        {
            self.changed.push_back(destination);
        }
    }

    /// Takes the next destination that has to be ranked again.
    pub fn next_changed(&mut self) -> Option<DestinationId> {
        while let Some(destination) = self.changed.pop_front() {
            if self.queues.get(&destination).is_some_and(|queue| queue.changed) {
                return Some(destination);
            }
        }
        None
    }

    /// Ranks a destination by the first message of each of its queues. Without `calls`, the count of calls in flight to
    /// it, the destination is not known and cannot be sent to.
    pub fn rank(&mut self, destination: DestinationId, calls: Option<usize>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        queue.changed = false;
        let mut overtaken_at = None;
        self.scratch_heads.clear();
        for ready in queue.ready.iter().filter(|_| calls.is_some()) {
            let curve = &self.curves[ready.class.0];
            let boundaries = curve.boundaries(self.now, self.expired_before);
            let Some((deadline, _)) = ready.messages.heaviest((), &boundaries) else { continue };
            self.scratch_heads.push((ready.class, deadline));
            overtaken_at = overtaken_at.into_iter().chain(curve.overtaken_at(self.now, deadline)).min();
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
        self.schedule_recheck(destination, overtaken_at);
    }

    /// Takes a destination off the ranking until `recheck_at`, or until it changes.
    pub fn unrank(&mut self, destination: DestinationId, recheck_at: Option<Timestamp>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        queue.changed = false;
        for (class, deadline) in queue.ranked_as.drain(..) {
            self.ranked[class.0].remove(queue.ranked_calls, deadline, destination);
        }
        self.schedule_recheck(destination, recheck_at);
    }

    /// Sees to it that a destination is checked by then. An earlier check stays and sets the later one when it is due:
    /// one check too many, and far fewer timers to set and unset. An empty queue goes with its timer.
    fn schedule_recheck(&mut self, destination: DestinationId, at: Option<Timestamp>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        if let Some(at) = at.filter(|at| queue.recheck_at.is_none_or(|set| *at < set)) {
            if let Some(set) = queue.recheck_at.replace(at) {
                self.timers.unset(set, Timer::RecheckDestination(destination));
            }
            self.timers.set(at, Timer::RecheckDestination(destination));
        }
        if queue.recheck_at.is_none() && queue.ready.is_empty() {
            self.queues.remove(&destination);
        }
    }

    /// Checks a destination whose timer has fired.
    pub fn recheck(&mut self, destination: DestinationId) {
        if let Some(queue) = self.queues.get_mut(&destination) {
            queue.recheck_at = None;
            self.mark_changed(destination);
        }
    }

    /// Returns, among the ranked destinations with the fewest calls in flight, by class the one whose first message has
    /// the most weight.
    pub fn best_ranked(&mut self) -> Vec<(ClassId, Timestamp, DestinationId)> {
        loop {
            let first = self.ranked.iter().filter_map(|ranked| ranked.first());
            let Some((calls, _, some)) = first.min_by_key(|(calls, ..)| *calls) else { return Vec::new() };
            let best = self.ranked.iter().enumerate().filter_map(|(class, ranked)| {
                let (deadline, destination) = ranked.heaviest(calls, &self.boundaries(ClassId(class)))?;
                Some((ClassId(class), deadline, destination))
            });
            let best: Vec<_> = best.collect();
            if !best.is_empty() {
                return best;
            }
            // The first messages of all of them have expired, though not ended yet: those behind them count.
            self.rank(some, Some(calls));
        }
    }

    /// Returns whether a destination is off the ranking until a time to come, with no change since.
    #[cfg(test)]
    pub fn is_deferred(&self, destination: DestinationId) -> bool {
        let is_deferred = |queue: &DestinationQueue| {
            let is_later = queue.recheck_at.is_some_and(|at| at > self.now);
            !queue.changed && queue.ranked_as.is_empty() && is_later
        };
        self.queues.get(&destination).is_some_and(is_deferred)
    }
}
