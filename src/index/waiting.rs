//! The books of messages that wait: whose time is up first, who is to be looked at when, who only wants an
//! endpoint, and which destinations those are for.
use super::shelf::{Bends, Cuts, Shelf};
use super::timers::Timers;
use crate::{ClassId, DestinationId, EndpointId, MessageId, OrderKey, Time, ZoneId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// What comes with time alone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Timer {
    /// A backoff, told wait or key's rest is over.
    Ready(MessageId),
    /// The window of a message's key closes.
    Window(MessageId),
    /// A key without messages has rested.
    Rest(OrderKey),
    /// A destination may be sent to, or its first message is another by now.
    Look(DestinationId),
    /// An endpoint may be forgotten, and its destination with it.
    Gone(EndpointId, DestinationId),
}

/// Where a message stands among those that wait.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Stand {
    /// Behind others of its key, or out of attempts: only its end is due.
    Behind,
    /// It may go no sooner than this.
    Until(Time),
    /// It only wants an endpoint.
    Ready,
}

/// A message as the books have it.
#[derive(Clone, Copy, Debug)]
pub struct Slip {
    /// Its class.
    pub class: ClassId,
    /// Where it goes.
    pub destination: DestinationId,
    /// When its time is up.
    pub deadline: Time,
    /// Whether an attempt may have run, or it is owed a first one: it cannot be shed for others.
    pub ran: bool,
    /// The only zone that it may go to.
    pub zone: Option<ZoneId>,
    /// When the window of its key closes.
    pub window: Option<Time>,
    /// Whether it goes first: others wait behind it, or it was found untried after a restart.
    pub crowded: bool,
    /// Where it stands.
    pub stand: Stand,
}

/// Ready messages of a class that may go anywhere, or to one zone only, with others behind them or with none.
#[cfg_attr(test, derive(Clone))]
pub struct Lane {
    /// Their class.
    pub class: ClassId,
    /// The zone.
    pub zone: Option<ZoneId>,
    /// Whether others wait behind each of them.
    pub crowded: bool,
    /// They.
    pub shelf: Shelf<(), MessageId>,
}

impl Lane {
    fn takes(&self, slip: &Slip) -> bool {
        (self.class, self.zone, self.crowded) == (slip.class, slip.zone, slip.crowded)
    }
}

/// The ready messages of one destination.
#[cfg_attr(test, derive(Clone))]
#[derive(Default)]
struct Queue {
    lanes: Vec<Lane>,
    /// Its entries among the ranked, and the calls out that they were made by.
    heads: Vec<(ClassId, Time)>,
    calls: usize,
    /// When it is to be looked at with no other cause.
    look: Option<Time>,
    woken: bool,
}

/// All books.
#[cfg_attr(test, derive(Clone))]
pub struct Waiting {
    /// Moments to come, of all kinds in one order.
    pub timers: Timers<Timer>,
    bends: Vec<Bends>,
    /// By class, those that may have run apart.
    ends: Vec<[Shelf<(), MessageId>; 2]>,
    queues: FxHashMap<DestinationId, Queue>,
    /// Destinations that may be sent to, by class of a first message and by calls out.
    ranked: Vec<Shelf<usize, DestinationId>>,
    woken: VecDeque<DestinationId>,
    /// How many messages are ready.
    ready: usize,
    /// Room to work in.
    heads: Vec<(ClassId, Time)>,
    /// Moment of the present look, and the deadlines that are over by then.
    now: Time,
    dead: Time,
}

impl Waiting {
    /// Empty books for classes whose worth bends so.
    pub fn new(bends: Vec<Bends>) -> Self {
        let mut waiting = Self {
            timers: Timers::new(),
            ends: Vec::new(),
            ranked: Vec::new(),
            bends: Vec::new(),
            queues: FxHashMap::default(),
            woken: VecDeque::new(),
            ready: 0,
            heads: Vec::new(),
            now: Time(0),
            dead: Time(0),
        };
        waiting.classes(bends);
        waiting
    }

    /// From here on there are these classes, the earlier ones among them under their numbers.
    pub fn classes(&mut self, bends: Vec<Bends>) {
        self.ends.resize_with(bends.len(), || [Shelf::new(), Shelf::new()]);
        self.ranked.resize_with(bends.len(), Shelf::new);
        self.bends = bends;
    }

    /// From here on it is `now`, and messages of deadlines before `dead` are not offered.
    pub fn advance(&mut self, now: Time, dead: Time) {
        (self.now, self.dead) = (now, dead);
    }

    /// Enters a message that waits.
    pub fn file(&mut self, id: MessageId, slip: &Slip) {
        self.ends[slip.class.0][usize::from(slip.ran)].insert((), slip.deadline, id);
        if let Some(window) = slip.window {
            self.timers.set(window, Timer::Window(id));
        }
        match slip.stand {
            Stand::Behind => {}
            Stand::Until(at) => self.timers.set(at, Timer::Ready(id)),
            Stand::Ready => {
                let lanes = &mut self.queues.entry(slip.destination).or_default().lanes;
                let lane = lanes.iter().position(|lane| lane.takes(slip));
                let lane = lane.unwrap_or_else(|| {
                    let Slip { class, zone, crowded, .. } = *slip;
                    lanes.push(Lane { class, zone, crowded, shelf: Shelf::new() });
                    lanes.len() - 1
                });
                lanes[lane].shelf.insert((), slip.deadline, id);
                self.ready += 1;
                self.wake(slip.destination);
            }
        }
    }

    /// Strikes a message that was entered by that slip.
    pub fn unfile(&mut self, id: MessageId, slip: &Slip) {
        self.ends[slip.class.0][usize::from(slip.ran)].remove((), slip.deadline, id);
        if let Some(window) = slip.window {
            self.timers.unset(window, Timer::Window(id));
        }
        match slip.stand {
            Stand::Behind => {}
            Stand::Until(at) => self.timers.unset(at, Timer::Ready(id)),
            Stand::Ready => {
                self.ready -= 1;
                let Some(queue) = self.queues.get_mut(&slip.destination) else { return };
                let mut lanes = queue.lanes.iter();
                let lane = lanes.position(|lane| lane.takes(slip));
                if let Some(lane) = lane {
                    queue.lanes[lane].shelf.remove((), slip.deadline, id);
                    if queue.lanes[lane].shelf.is_empty() {
                        queue.lanes.swap_remove(lane);
                    }
                }
                self.wake(slip.destination);
            }
        }
    }

    /// Whether some message only wants an endpoint.
    pub fn any_ready(&self) -> bool {
        self.ready > 0
    }

    /// The earliest deadline of all that wait.
    pub fn first_deadline(&self) -> Option<Time> {
        self.ends.iter().flatten().filter_map(|shelf| shelf.first()).map(|((), deadline, _)| deadline).min()
    }

    /// Messages whose deadlines are over, earliest first within a class, at most so many.
    pub fn dead(&self, most: usize) -> Vec<MessageId> {
        let over = |shelf: &Shelf<(), MessageId>| {
            shelf.iter().take_while(|(_, at, _)| *at < self.dead).map(|(_, _, id)| id).take(most).collect()
        };
        let mut dead = Vec::new();
        for shelf in self.ends.iter().flatten().filter(|_| most > 0) {
            let mut of_class: Vec<MessageId> = over(shelf);
            dead.append(&mut of_class);
        }
        dead.truncate(most);
        dead
    }

    /// By class, the message of the earliest deadline that has never run.
    pub fn never_ran(&self) -> impl Iterator<Item = (ClassId, Time, MessageId)> {
        let first = |(class, [shelf, _]): (usize, &[Shelf<(), MessageId>; 2])| {
            shelf.first().map(|((), deadline, id)| (ClassId(class), deadline, id))
        };
        self.ends.iter().enumerate().filter_map(first)
    }

    /// Where the worth of a class bends now.
    pub fn cuts(&self, class: ClassId) -> Cuts {
        self.bends[class.0].cuts(self.now, self.dead)
    }

    /// The ready messages of a destination.
    pub fn lanes(&self, destination: DestinationId) -> &[Lane] {
        self.queues.get(&destination).map_or(&[], |queue| &queue.lanes)
    }

    // ---- ranks ---------------------------------------------------------------------------------------

    /// Something about a destination has changed: it is to be ranked anew.
    pub fn wake(&mut self, destination: DestinationId) {
        if let Some(queue) = self.queues.get_mut(&destination)
            && !std::mem::replace(&mut queue.woken, true)
        {
            self.woken.push_back(destination);
        }
    }

    /// The next that is to be ranked anew.
    pub fn next_woken(&mut self) -> Option<DestinationId> {
        while let Some(destination) = self.woken.pop_front() {
            if self.queues.get(&destination).is_some_and(|queue| queue.woken) {
                return Some(destination);
            }
        }
        None
    }

    /// Enters a destination among the ranked by its first message of each lane; without a count of `calls` out it is
    /// not known, and cannot be sent to.
    pub fn rank(&mut self, destination: DestinationId, calls: Option<usize>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        queue.woken = false;
        let (bends, mut gives_way) = (&self.bends, None);
        self.heads.clear();
        for lane in queue.lanes.iter().filter(|_| calls.is_some()) {
            let bends = &bends[lane.class.0];
            let Some((deadline, _)) = lane.shelf.best((), &bends.cuts(self.now, self.dead)) else { continue };
            self.heads.push((lane.class, deadline));
            gives_way = gives_way.into_iter().chain(bends.gives_way(self.now, deadline)).min();
        }
        if queue.heads != self.heads || calls.is_none_or(|calls| calls != queue.calls) {
            for (class, deadline) in queue.heads.drain(..) {
                self.ranked[class.0].remove(queue.calls, deadline, destination);
            }
            queue.calls = calls.unwrap_or(0);
            for (class, deadline) in &self.heads {
                self.ranked[class.0].insert(queue.calls, *deadline, destination);
            }
            queue.heads.extend_from_slice(&self.heads);
        }
        self.look_at(destination, gives_way);
    }

    /// Takes a destination off the ranked until `look`, or until it is woken.
    pub fn unrank(&mut self, destination: DestinationId, look: Option<Time>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        queue.woken = false;
        for (class, deadline) in queue.heads.drain(..) {
            self.ranked[class.0].remove(queue.calls, deadline, destination);
        }
        self.look_at(destination, look);
    }

    /// Sees to it that a destination is looked at by then. One that is looked at sooner already is put off when that
    /// has come: a look too many, and far fewer moments to set and unset. A queue that is empty goes with its moment.
    fn look_at(&mut self, destination: DestinationId, at: Option<Time>) {
        let Some(queue) = self.queues.get_mut(&destination) else { return };
        if let Some(at) = at.filter(|at| queue.look.is_none_or(|look| *at < look)) {
            if let Some(look) = queue.look.replace(at) {
                self.timers.unset(look, Timer::Look(destination));
            }
            self.timers.set(at, Timer::Look(destination));
        }
        if queue.look.is_none() && queue.lanes.is_empty() {
            self.queues.remove(&destination);
        }
    }

    /// The moment has come that a destination was to be looked at.
    pub fn look(&mut self, destination: DestinationId) {
        if let Some(queue) = self.queues.get_mut(&destination) {
            queue.look = None;
            self.wake(destination);
        }
    }

    /// Of the ranked destinations with the fewest calls out, by class, the one whose first message is the first in the
    /// order of worth.
    pub fn firsts(&mut self) -> Vec<(ClassId, Time, DestinationId)> {
        loop {
            let ranked = self.ranked.iter().filter_map(|shelf| shelf.first());
            let Some((calls, _, some)) = ranked.min_by_key(|(calls, ..)| *calls) else { return Vec::new() };
            let firsts = self.ranked.iter().enumerate().filter_map(|(class, shelf)| {
                let (deadline, destination) = shelf.best(calls, &self.cuts(ClassId(class)))?;
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
    pub fn looked_at_later(&self, destination: DestinationId) -> bool {
        let later = |queue: &Queue| {
            !queue.woken && queue.heads.is_empty() && queue.look.is_some_and(|at| at > self.now)
        };
        self.queues.get(&destination).is_some_and(later)
    }
}
