//! Checks of the senders' membership views: when they converged, and which deaths were declared without a cause.
use super::{History, HistoryEvent, Record};
use crate::observation::Micros;
use micadrum_membership::{Event, Status};
use std::collections::{BTreeMap, BTreeSet};

/// A view that is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrongView {
    /// Number of the sender that has the view.
    pub observer: u32,
    /// Number of the sender that the view is of.
    pub subject: u32,
    /// The status in the view.
    pub status: Status,
}

/// A death that was declared of a sender that ran, while no fault affected the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FalseDeath {
    /// When the death was declared.
    pub at: Micros,
    /// Number of the sender that declared it.
    pub observer: u32,
    /// Number of the sender that was declared dead.
    pub subject: u32,
}

impl History {
    /// Returns how long after `from` the last wrong view was corrected, if none is wrong at `until`. A sender that runs
    /// must be live, one that does not must be dead or have left.
    ///
    /// # Errors
    /// The views that are wrong at `until`.
    pub fn right_after(&self, from: Micros, until: Micros) -> Result<Micros, Vec<WrongView>> {
        let mut views = Views::new(self);
        let mut last_wrong = from;
        for record in self.records.iter().take_while(|record| record.at < until) {
            if !views.are_right() && record.at > from {
                last_wrong = record.at;
            }
            views.apply(record);
        }
        if views.are_right() { Ok(last_wrong - from) } else { Err(views.wrong_views()) }
    }

    /// Returns each time at which the fleet changed, with the time from it until no view was wrong; none if the fleet
    /// changed again before that.
    #[must_use]
    pub fn settled(&self) -> Vec<(Micros, Option<Micros>)> {
        let mut views = Views::new(self);
        let mut settled: Vec<(Micros, Option<Micros>)> = Vec::new();
        let mut is_open = false;
        for record in &self.records {
            views.apply(record);
            if record.event.is_change() {
                if settled.last() != Some(&(record.at, None)) {
                    settled.push((record.at, None));
                }
                is_open = true;
            }
            if is_open == views.are_right() {
                // A view that goes wrong without a change means that the latest change has not settled yet.
                is_open = !is_open;
                if let Some((at, delay)) = settled.last_mut() {
                    *delay = (!is_open).then_some(record.at - *at);
                }
            }
        }
        settled
    }

    /// Returns when the fleet last changed, or a process traced a recovery event.
    #[must_use]
    pub fn last_happening(&self) -> Option<Micros> {
        let is_happening =
            |record: &&Record| !matches!(record.event, HistoryEvent::Peers(_) | HistoryEvent::Looked { .. });
        self.records.iter().rev().find(is_happening).map(|record| record.at)
    }

    /// Returns the deaths that were declared of senders that ran, at a time when no fault was active, and more than `grace`
    /// after the last change of the fleet.
    #[must_use]
    pub fn false_deaths(&self, grace: Micros) -> Vec<FalseDeath> {
        let mut false_deaths = Vec::new();
        let mut active_faults = 0u32;
        let mut last_change = 0;
        let mut running = BTreeSet::new();
        for record in &self.records {
            if record.event.is_change() {
                last_change = record.at;
            }
            match &record.event {
                HistoryEvent::Struck(true) => active_faults += 1,
                HistoryEvent::Struck(false) => active_faults = active_faults.saturating_sub(1),
                HistoryEvent::Started => drop(running.insert(record.sender)),
                HistoryEvent::Ended => drop(running.remove(&record.sender)),
                HistoryEvent::Peers(Event::StatusChanged { name, current: Status::Dead, .. }) => {
                    let subject = self.names.get(name).copied().unwrap_or(u32::MAX);
                    // The death of a sender that has ended is true, however late it is declared.
                    if active_faults == 0 && record.at > last_change + grace && running.contains(&subject) {
                        let observer = record.sender;
                        false_deaths.push(FalseDeath { at: record.at, observer, subject });
                    }
                }
                HistoryEvent::Peers(_) | HistoryEvent::Recovery(_) | HistoryEvent::Looked { .. } => {}
            }
        }
        false_deaths
    }
}

/// The views of all senders at one point of the history.
struct Views<'a> {
    /// Numbers of the senders, by name.
    names: &'a BTreeMap<String, u32>,
    /// Whether each sender runs.
    is_running: Vec<bool>,
    /// Status by observer and subject.
    statuses: Vec<Vec<Status>>,
    /// Observer and subject of each wrong view.
    wrong: BTreeSet<(usize, usize)>,
}

impl<'a> Views<'a> {
    fn new(history: &'a History) -> Self {
        let senders = history.names.len();
        Self {
            names: &history.names,
            is_running: vec![false; senders],
            statuses: vec![vec![Status::Unknown; senders]; senders],
            wrong: BTreeSet::new(),
        }
    }

    fn are_right(&self) -> bool {
        self.wrong.is_empty()
    }

    fn wrong_views(&self) -> Vec<WrongView> {
        let view = |(observer, subject): &(usize, usize)| WrongView {
            observer: *observer as u32,
            subject: *subject as u32,
            status: self.statuses[*observer][*subject],
        };
        self.wrong.iter().map(view).collect()
    }

    fn apply(&mut self, record: &Record) {
        let sender = record.sender as usize;
        match &record.event {
            HistoryEvent::Started | HistoryEvent::Ended => {
                self.is_running[sender] = record.event == HistoryEvent::Started;
                self.statuses[sender].fill(Status::Unknown);
                for other in 0..self.is_running.len() {
                    self.check(sender, other);
                    self.check(other, sender);
                }
            }
            HistoryEvent::Peers(Event::StatusChanged { name, current, .. }) => {
                if let Some(subject) = self.names.get(name) {
                    let subject = *subject as usize;
                    self.statuses[sender][subject] = *current;
                    self.check(sender, subject);
                }
            }
            HistoryEvent::Peers(_)
            | HistoryEvent::Recovery(_)
            | HistoryEvent::Struck(_)
            | HistoryEvent::Looked { .. } => {}
        }
    }

    /// Notes whether the observer's view of the subject is wrong.
    fn check(&mut self, observer: usize, subject: usize) {
        let status = self.statuses[observer][subject];
        let is_right = if self.is_running[subject] {
            status == Status::Live
        } else {
            matches!(status, Status::Dead | Status::Left)
        };
        if observer != subject && self.is_running[observer] && !is_right {
            self.wrong.insert((observer, subject));
        } else {
            self.wrong.remove(&(observer, subject));
        }
    }
}
