//! What every process said of itself in its trace, in the order of one clock, the kit's; and what follows from it.
//!
//! A check is a function over the history: it knows nothing of the code under test, and convicts by what was recorded.
use crate::observation::At;
use crate::plan::Plan;
use micadrum_membership::{Event, Status};
use std::collections::{BTreeMap, BTreeSet};

/// One thing that is recorded.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A process of the sender was started.
    Started,
    /// It has ended.
    Ended,
    /// A fault of the plan began or ended that strikes the sender or what it says to others.
    Struck(bool),
    /// What the process said of its peers.
    Peers(Event),
    /// What the process said of its return after a restart.
    Recovery(micadrum_recovery::Record),
    /// It was asked what all of them see: those whose own word came over a link, and those whose did not.
    Looked {
        /// They answered.
        came: Vec<u32>,
        /// They did not.
        silent: Vec<u32>,
    },
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When, on the kit's clock, in microseconds from the start of the day.
    pub at: At,
    /// Whose.
    pub sender: u32,
    /// What.
    pub what: What,
}

/// All of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    records: Vec<Record>,
    names: BTreeMap<String, u32>,
}

/// One process's return, as it told of it.
#[derive(Clone, Debug)]
pub struct Return {
    /// Whose.
    pub sender: u32,
    /// When the process was started.
    pub started: At,
    /// What it made of its folder; none where that part is off, or it ended before.
    pub trust: Option<micadrum_recovery::Trust>,
    /// The stages that it went through, with when each was over.
    pub steps: Vec<(At, micadrum_recovery::phases::PhaseRecord)>,
}

/// A view that is wrong: who holds whom for what.
pub type Wrong = (u32, u32, Status);

impl History {
    /// An empty one, of the senders of a plan.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        let names = plan.senders.iter().map(|sender| (sender.name.clone(), sender.number)).collect();
        Self { records: Vec::new(), names }
    }

    /// Takes a record in; they come in their order.
    pub fn add(&mut self, at: At, sender: u32, what: What) {
        self.records.push(Record { at, sender, what });
    }

    /// Takes in a line of a sender's log, if it is a record; whether it is one.
    pub fn add_line(&mut self, at: At, sender: u32, line: &str) -> bool {
        if let Some(record) = line.strip_prefix("trace recovery ") {
            let record = serde_json::from_str(record).ok();
            return record.map(|record| self.add(at, sender, What::Recovery(record))).is_some();
        }
        let Some(rest) = line.strip_prefix("trace peers at=") else { return false };
        let event = rest.split_once(' ').and_then(|(_, event)| serde_json::from_str(event).ok());
        let Some(event) = event else { return false };
        self.add(at, sender, What::Peers(event));
        true
    }

    /// All records.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Takes in what a door said of all members, as JSON.
    pub fn add_look(&mut self, at: At, sender: u32, text: &str) {
        let all: BTreeMap<String, serde_json::Value> = serde_json::from_str(text).unwrap_or_default();
        let those = |with: &str| {
            let named = all.iter().filter(|(_, seen)| seen.get(with).is_some());
            named.filter_map(|(name, _)| self.names.get(name).copied()).collect()
        };
        let looked = What::Looked { came: those("view"), silent: those("silent") };
        self.add(at, sender, looked);
    }

    /// The looks from then on: whose own word came, and whose did not.
    pub fn looks(&self, from: At) -> impl Iterator<Item = (At, &[u32], &[u32])> {
        self.records.iter().filter(move |record| record.at >= from).filter_map(|record| match &record.what {
            What::Looked { came, silent } => Some((record.at, &came[..], &silent[..])),
            _ => None,
        })
    }

    /// All records, a line each.
    #[must_use]
    pub fn text(&self) -> String {
        let line = |r: &Record| format!("{:.6} n{} {:?}\n", r.at as f64 / 1e6, r.sender, r.what);
        self.records.iter().map(line).collect()
    }

    /// What a sender said of its peers, from then on.
    pub fn events(&self, sender: u32, from: At) -> impl Iterator<Item = (At, &Event)> {
        self.records.iter().filter(move |record| record.sender == sender && record.at >= from).filter_map(
            |record| match &record.what {
                What::Peers(event) => Some((record.at, event)),
                _ => None,
            },
        )
    }

    /// The returns of all processes, in the order of their starts: what each said from its start to its end.
    #[must_use]
    pub fn returns(&self) -> Vec<Return> {
        let mut returns: Vec<Return> = Vec::new();
        let mut open: BTreeMap<u32, usize> = BTreeMap::new();
        for Record { at, sender, what } in &self.records {
            match what {
                What::Started => {
                    open.insert(*sender, returns.len());
                    returns.push(Return { sender: *sender, started: *at, trust: None, steps: Vec::new() });
                }
                What::Recovery(said) => {
                    let Some(of) = open.get(sender).map(|place| &mut returns[*place]) else { continue };
                    match said {
                        micadrum_recovery::Record::Trust(trust) => of.trust = Some(trust.clone()),
                        micadrum_recovery::Record::PhaseEnded(step) => of.steps.push((*at, *step)),
                    }
                }
                _ => {}
            }
        }
        returns
    }

    /// How long after `from` the last wrong view was put right, with none wrong from then up to `until`. A sender that
    /// runs is to be live, one that does not is to be dead or to have left.
    ///
    /// # Errors
    /// The views that are wrong at the end.
    pub fn right_after(&self, from: At, until: At) -> Result<At, Vec<Wrong>> {
        let mut fold = Fold::new(self.names.len());
        let mut last_wrong = from;
        for record in self.records.iter().take_while(|record| record.at < until) {
            if !fold.wrong.is_empty() && record.at > from {
                last_wrong = record.at;
            }
            fold.take(record, &self.names);
        }
        if fold.wrong.is_empty() { Ok(last_wrong - from) } else { Err(fold.wrong()) }
    }

    /// Each moment at which something happened to the fleet (a process started or ended, a fault of its links began or
    /// ended), with the time from it until no view was wrong; none where something else happened before that.
    #[must_use]
    pub fn settled(&self) -> Vec<(At, Option<At>)> {
        let mut fold = Fold::new(self.names.len());
        let mut settled: Vec<(At, Option<At>)> = Vec::new();
        let mut open = false;
        for record in &self.records {
            fold.take(record, &self.names);
            if !matches!(record.what, What::Peers(_) | What::Recovery(_) | What::Looked { .. }) {
                match settled.last_mut().filter(|(at, took)| *at == record.at && took.is_none()) {
                    Some(_) => {}
                    None => settled.push((record.at, None)),
                }
                open = true;
            }
            if open && fold.wrong.is_empty() {
                open = false;
                if let Some((at, took)) = settled.last_mut() {
                    *took = Some(record.at - *at);
                }
            } else if !open && !fold.wrong.is_empty() {
                // Wrong again with nothing new: the last happening is not settled yet.
                open = true;
                if let Some((_, took)) = settled.last_mut() {
                    *took = None;
                }
            }
        }
        settled
    }

    /// When something last happened to the fleet.
    #[must_use]
    pub fn last_happening(&self) -> Option<At> {
        self.records
            .iter()
            .rev()
            .find(|record| !matches!(record.what, What::Peers(_) | What::Looked { .. }))
            .map(|record| record.at)
    }

    /// Deaths that were declared of senders that ran, while nothing struck them, those who declared them, or any other
    /// within `grace` before: when, by whom, of whom.
    #[must_use]
    pub fn false_deaths(&self, grace: At) -> Vec<(At, u32, u32)> {
        let mut found = Vec::new();
        let mut struck = 0u32;
        let mut calm_since = 0;
        let mut runs = BTreeSet::new();
        for record in &self.records {
            match &record.what {
                What::Struck(begins) => {
                    struck = if *begins { struck + 1 } else { struck.saturating_sub(1) };
                    calm_since = record.at;
                }
                What::Started => {
                    runs.insert(record.sender);
                    calm_since = record.at;
                }
                What::Ended => {
                    runs.remove(&record.sender);
                    calm_since = record.at;
                }
                What::Peers(Event::StatusChanged { name, current: Status::Dead, .. }) => {
                    let of = self.names.get(name).copied().unwrap_or(u32::MAX);
                    // Of one that has ended it is true, however late.
                    if struck == 0 && record.at > calm_since + grace && runs.contains(&of) {
                        found.push((record.at, record.sender, of));
                    }
                }
                What::Peers(_) | What::Recovery(_) | What::Looked { .. } => {}
            }
        }
        found
    }
}

/// What each sender believes at one moment, and which of it is wrong.
struct Fold {
    /// Whether it runs.
    runs: Vec<bool>,
    /// By who believes and of whom.
    believed: Vec<Vec<Status>>,
    wrong: BTreeSet<(u32, u32)>,
}

impl Fold {
    fn new(senders: usize) -> Self {
        let believed = vec![vec![Status::Unknown; senders]; senders];
        Self { runs: vec![false; senders], believed, wrong: BTreeSet::new() }
    }

    fn take(&mut self, record: &Record, names: &BTreeMap<String, u32>) {
        let sender = record.sender as usize;
        match &record.what {
            What::Started | What::Ended => {
                self.runs[sender] = record.what == What::Started;
                self.believed[sender].fill(Status::Unknown);
                for other in 0..self.runs.len() {
                    self.look(sender, other);
                    self.look(other, sender);
                }
            }
            What::Peers(Event::StatusChanged { name, current: is, .. }) => {
                if let Some(of) = names.get(name) {
                    self.believed[sender][*of as usize] = *is;
                    self.look(sender, *of as usize);
                }
            }
            What::Peers(_) | What::Recovery(_) | What::Struck(_) | What::Looked { .. } => {}
        }
    }

    fn look(&mut self, by: usize, of: usize) {
        let status = self.believed[by][of];
        let right = if self.runs[of] {
            status == Status::Live
        } else {
            matches!(status, Status::Dead | Status::Left)
        };
        let pair = (by as u32, of as u32);
        if by != of && self.runs[by] && !right {
            self.wrong.insert(pair);
        } else {
            self.wrong.remove(&pair);
        }
    }

    fn wrong(&self) -> Vec<Wrong> {
        let with_status = |(by, of): &(u32, u32)| (*by, *of, self.believed[*by as usize][*of as usize]);
        self.wrong.iter().map(with_status).collect()
    }
}

#[cfg(test)]
mod tests;
