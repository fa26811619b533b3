//! Checks of the senders' membership views: when the views converged, and which senders were falsely declared
//! dead.
use super::{History, HistoryEvent, Record};
use crate::observation::Micros;
use micadrum_membership::{Event, Status};
use std::collections::{BTreeMap, BTreeSet};

/// A sender's wrong view of another sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrongView {
    /// Number of the sender that has the view.
    pub observer: u32,
    /// Number of the sender that the view is of.
    pub subject: u32,
    /// The status that the observer holds.
    pub status: Status,
}

/// A declaration that a running sender is dead, while no fault affected the fleet.
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
    /// Returns the time from `from` until the last wrong view was corrected. A view is correct if it has a
    /// running sender as live, and any other as dead or left.
    ///
    /// # Errors
    /// Returns the views that are still wrong at `until`.
    pub fn convergence_time(&self, from: Micros, until: Micros) -> Result<Micros, Vec<WrongView>> {
        let mut views = Views::new(self);
        let mut last_wrong = from;
        for record in self.records.iter().take_while(|record| record.at < until) {
            if !views.all_correct() && record.at > from {
                last_wrong = record.at;
            }
            views.apply(record);
        }
        if views.all_correct() { Ok(last_wrong - from) } else { Err(views.wrong_views()) }
    }

    /// Returns each time at which the fleet changed, with the duration until all views were correct; `None`
    /// if the fleet changed again before that.
    #[must_use]
    pub fn convergence_times(&self) -> Vec<(Micros, Option<Micros>)> {
        let mut views = Views::new(self);
        let mut convergence_times: Vec<(Micros, Option<Micros>)> = Vec::new();
        let mut is_converging = false;
        for record in &self.records {
            views.apply(record);
            if record.event.is_change() {
                if convergence_times.last() != Some(&(record.at, None)) {
                    convergence_times.push((record.at, None));
                }
                is_converging = true;
            }
            if is_converging == views.all_correct() {
                // A view that becomes wrong without a change of the fleet reopens the latest change.
                is_converging = !is_converging;
                if let Some((at, delay)) = convergence_times.last_mut() {
                    *delay = (!is_converging).then_some(record.at - *at);
                }
            }
        }
        convergence_times
    }

    /// Returns when the fleet last changed, or a process traced a recovery event.
    #[must_use]
    pub fn last_change_or_recovery(&self) -> Option<Micros> {
        let is_change_or_recovery =
            |record: &&Record| !matches!(record.event, HistoryEvent::Peers(_) | HistoryEvent::Looked { .. });
        self.records.iter().rev().find(is_change_or_recovery).map(|record| record.at)
    }

    /// Returns the declarations that a running sender is dead, made while no fault was active and more than
    /// `grace` after the last change of the fleet.
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
                    // Declaring an exited sender dead is correct, however late it happens.
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
    /// Whether each sender is running.
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

    fn all_correct(&self) -> bool {
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

    /// Updates whether the observer's view of the subject is wrong.
    fn check(&mut self, observer: usize, subject: usize) {
        let status = self.statuses[observer][subject];
        let is_correct = if self.is_running[subject] {
            status == Status::Live
        } else {
            matches!(status, Status::Dead | Status::Left)
        };
        if observer != subject && self.is_running[observer] && !is_correct {
            self.wrong.insert((observer, subject));
        } else {
            self.wrong.remove(&(observer, subject));
        }
    }
}
