//! The indices of pending messages: messages by deadline, timers, messages that are ready to be sent, and the
//! destinations that have such messages.
//!
//! Destinations with ready messages are ranked by their calls in flight and the weight of their first
//! message. A destination that changes is marked and ranked again before the next choice. A destination that
//! cannot be sent to is removed from the ranking until a given time, or until it changes.
use super::deadline_index::{DeadlineIndex, WeightBoundaries, WeightCurve};
use super::timers::Timers;
use crate::{ClassId, DestinationId, EndpointId, MessageId, OrderKey, Timestamp, ZoneId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// An event caused by the passing of time alone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Timer {
    /// The backoff, Retry-After or ordering hold of a message is over.
    BackoffElapsed(MessageId),
    /// The deduplication window of a message closes.
    DeduplicationWindowClosed(MessageId),
    /// The hold of an ordering key without messages is over.
    OrderingHoldElapsed(OrderKey),
    /// A destination may be sent to again, or another of its messages may be the heaviest one now.
    RecheckDestination(DestinationId),
    /// An endpoint, and possibly its destination, may be removed from the directory.
    ForgetEndpoint(EndpointId, DestinationId),
}

/// What a pending message waits for.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Readiness {
    /// Another message of its ordering key, or its end because no attempts are left.
    Blocked,
    /// The given time.
    NotBefore(Timestamp),
    /// An endpoint that may be called.
    Ready,
}

/// The properties of a pending message by which it is indexed.
#[derive(Clone, Copy, Debug)]
pub struct PendingEntry {
    /// The class of the message.
    pub class: ClassId,
    /// The destination of the message.
    pub destination: DestinationId,
    /// When the time to live of the message ends.
    pub deadline: Timestamp,
    /// Whether the message is never shed, as an attempt may have run, or it had no attempt before a restart.
    pub protected: bool,
    /// The only zone to which the message may be sent; `None` if any zone is possible.
    pub required_zone: Option<ZoneId>,
    /// When the deduplication window of the message closes; `None` if no timer is needed for it.
    pub window_closes_at: Option<Timestamp>,
    /// Whether the message takes precedence, as others of its key wait for it, or it had no attempt before a
    /// restart.
    pub urgent: bool,
    /// What the message waits for.
    pub readiness: Readiness,
}

/// The ready messages of a destination that have the same class, required zone and urgency.
#[cfg_attr(test, derive(Clone))]
pub struct ReadyQueue {
    /// The class of the messages.
    pub class: ClassId,
    /// The only zone to which the messages may be sent; `None` if any zone is possible.
    pub required_zone: Option<ZoneId>,
    /// Whether the messages take precedence over others.
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

/// The class and deadline of the heaviest message of a ready queue, by which its destination is ranked.
type QueueHead = (ClassId, Timestamp);

/// The ready messages of one destination.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
struct DestinationQueue {
    ready: Vec<ReadyQueue>,
    /// The entries of the destination in the ranking.
    ranked_as: Vec<QueueHead>,
    /// The number of calls in flight under which the destination is ranked.
    ranked_calls: usize,
    /// When the timer fires that checks the destination again.
    recheck_at: Option<Timestamp>,
    /// Whether the destination has to be ranked again.
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

/// The messages of one class by deadline, divided into those that may be shed and those that are protected.
#[cfg_attr(test, derive(Clone))]
struct ClassDeadlines {
    sheddable: DeadlineIndex<(), MessageId>,
    protected: DeadlineIndex<(), MessageId>,
}

impl ClassDeadlines {
    fn new() -> Self {
        Self { sheddable: DeadlineIndex::new(), protected: DeadlineIndex::new() }
    }

    fn index_for(&mut self, entry: &PendingEntry) -> &mut DeadlineIndex<(), MessageId> {
        if entry.protected { &mut self.protected } else { &mut self.sheddable }
    }

    fn indices(&self) -> [&DeadlineIndex<(), MessageId>; 2] {
        [&self.sheddable, &self.protected]
    }
}

/// All indices of pending messages.
#[cfg_attr(test, derive(Clone))]
pub struct PendingMessages {
    /// The timers of messages, ordering keys, destinations and endpoints.
    pub timers: Timers<Timer>,
    /// The weight curves, by class.
    curves: Vec<WeightCurve>,
    /// The messages by deadline, by class.
    by_deadline: Vec<ClassDeadlines>,
    queues: FxHashMap<DestinationId, DestinationQueue>,
    /// The ranked destinations by calls in flight and deadline of their first message, by class of that
    /// message.
    ranked: Vec<DeadlineIndex<usize, DestinationId>>,
    changed: VecDeque<DestinationId>,
    /// The number of ready messages.
    ready_count: usize,
    /// A buffer that [`PendingMessages::rank`] reuses to avoid allocations.
    scratch_heads: Vec<QueueHead>,
    now: Timestamp,
    /// Messages with earlier deadlines are not returned as candidates any more.
    expired_before: Timestamp,
}

impl PendingMessages {
    /// Creates empty indices for classes with the given weight curves.
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

    /// Replaces the weight curves. Existing classes must keep their numbers.
    pub fn set_curves(&mut self, curves: Vec<WeightCurve>) {
        self.by_deadline.resize_with(curves.len(), ClassDeadlines::new);
        self.ranked.resize_with(curves.len(), DeadlineIndex::new);
        self.curves = curves;
    }

    /// Sets the current time. Messages with deadlines before `expired_before` are not returned as candidates
    /// any more.
    pub fn advance(&mut self, now: Timestamp, expired_before: Timestamp) {
        (self.now, self.expired_before) = (now, expired_before);
    }

    /// Adds a pending message.
    pub fn insert(&mut self, id: MessageId, entry: &PendingEntry) {
        self.by_deadline[entry.class.0].index_for(entry).insert((), entry.deadline, id);
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

    /// Removes a message that was added with the given entry.
    pub fn remove(&mut self, id: MessageId, entry: &PendingEntry) {
        self.by_deadline[entry.class.0].index_for(entry).remove((), entry.deadline, id);
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

    /// Returns whether any message is ready.
    pub fn any_ready(&self) -> bool {
        self.ready_count > 0
    }

    /// Returns the earliest deadline of all pending messages, or `None` if there are none.
    pub fn first_deadline(&self) -> Option<Timestamp> {
        let indices = self.by_deadline.iter().flat_map(ClassDeadlines::indices);
        indices.filter_map(DeadlineIndex::first).map(|((), deadline, _)| deadline).min()
    }

    /// Returns at most `max` messages whose deadlines are before `expired_before`.
    pub fn expired(&self, max: usize) -> Vec<MessageId> {
        let mut expired = Vec::new();
        for index in self.by_deadline.iter().flat_map(ClassDeadlines::indices).filter(|_| max > 0) {
            let passed = index.iter().take_while(|(_, deadline, _)| *deadline < self.expired_before);
            expired.extend(passed.map(|(_, _, id)| id).take(max));
        }
        expired.truncate(max);
        expired
    }

    /// Returns for each class the sheddable message with the earliest deadline, if there is one.
    pub fn sheddable(&self) -> impl Iterator<Item = (ClassId, Timestamp, MessageId)> {
        let first = |(class, deadlines): (usize, &ClassDeadlines)| {
            let ((), deadline, id) = deadlines.sheddable.first()?;
            Some((ClassId(class), deadline, id))
        };
        self.by_deadline.iter().enumerate().filter_map(first)
    }

    /// Returns the weight boundaries of a class at the current time.
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

    /// Removes and returns the next destination that has to be ranked again.
    pub fn next_changed(&mut self) -> Option<DestinationId> {
        while let Some(destination) = self.changed.pop_front() {
            if self.queues.get(&destination).is_some_and(|queue| queue.changed) {
                return Some(destination);
            }
        }
        None
    }

    /// Ranks a destination by the heaviest message of each of its queues. `calls` is the number of calls in
    /// flight to it; `None` means that the destination is unknown, so that it is not ranked.
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

    /// Removes a destination from the ranking until `recheck_at`, or until it changes.
    pub fn unrank(&mut self, destination: DestinationId, recheck_at: Option<Timestamp>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        queue.changed = false;
        for (class, deadline) in queue.ranked_as.drain(..) {
            self.ranked[class.0].remove(queue.ranked_calls, deadline, destination);
        }
        self.schedule_recheck(destination, recheck_at);
    }

    /// Schedules a check of a destination no later than `at`. An earlier timer is kept, as one check too many
    /// is cheaper than changing the timer each time. A destination without messages and without a timer is
    /// removed.
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

    /// Marks a destination whose timer has fired, so that it is ranked again.
    pub fn recheck(&mut self, destination: DestinationId) {
        if let Some(queue) = self.queues.get_mut(&destination) {
            queue.recheck_at = None;
            self.mark_changed(destination);
        }
    }

    /// Returns for each class, among the ranked destinations with the fewest calls in flight, the one whose
    /// first message is the heaviest.
    pub fn best_ranked(&mut self) -> Vec<(ClassId, Timestamp, DestinationId)> {
        loop {
            let first = self.ranked.iter().filter_map(|ranked| ranked.first());
            let Some((calls, _, destination)) = first.min_by_key(|(calls, ..)| *calls) else {
                return Vec::new();
            };
            let best = self.ranked.iter().enumerate().filter_map(|(class, ranked)| {
                let (deadline, destination) = ranked.heaviest(calls, &self.boundaries(ClassId(class)))?;
                Some((ClassId(class), deadline, destination))
            });
            let best: Vec<_> = best.collect();
            if !best.is_empty() {
                return best;
            }
            // The first messages of all these destinations have expired: rank one by its next message, and
            // try again.
            self.rank(destination, Some(calls));
        }
    }

    /// Returns whether a destination is removed from the ranking until a future time and has not changed
    /// since.
    #[cfg(test)]
    pub fn is_deferred(&self, destination: DestinationId) -> bool {
        let is_deferred = |queue: &DestinationQueue| {
            let is_later = queue.recheck_at.is_some_and(|at| at > self.now);
            !queue.changed && queue.ranked_as.is_empty() && is_later
        };
        self.queues.get(&destination).is_some_and(is_deferred)
    }
}
