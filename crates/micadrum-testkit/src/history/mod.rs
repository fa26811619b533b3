//! The history of membership and recovery events that the senders' processes traced, in the order of the test
//! kit's clock.
//!
//! The checks in `views` depend on the history alone, not on the state of the code under test.
mod views;

pub use views::{FalseDeath, WrongView};

use crate::observation::Micros;
use crate::plan::Plan;
use micadrum_membership::Event;
use micadrum_recovery::phases::PhaseRecord;
use std::collections::BTreeMap;

/// An event of the history. `--history` prints the names of the variants.
#[derive(Clone, Debug, PartialEq)]
pub enum HistoryEvent {
    /// A process of the sender was started.
    Started,
    /// The sender's process exited.
    Ended,
    /// A fault that affects the sender or its links began (`true`) or ended (`false`).
    Struck(bool),
    /// The sender's process traced a membership event.
    Peers(Event),
    /// The sender's process traced a recovery event.
    Recovery(micadrum_recovery::Record),
    /// The sender's admin endpoint returned the views of all members.
    Looked {
        /// Members that answered.
        came: Vec<u32>,
        /// Members that did not answer.
        silent: Vec<u32>,
    },
}

impl HistoryEvent {
    /// Returns whether the event changes the fleet: a process starts or exits, or a fault begins or ends.
    fn is_change(&self) -> bool {
        matches!(self, Self::Started | Self::Ended | Self::Struck(_))
    }
}

/// An event with its time and sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When the event was recorded, on the test kit's clock.
    pub at: Micros,
    /// Number of the sender.
    pub sender: u32,
    /// What happened at this time.
    pub event: HistoryEvent,
}

/// The history of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    records: Vec<Record>,
    /// Numbers of the senders, by name.
    names: BTreeMap<String, u32>,
}

/// The recovery of one process after its start, from its trace.
#[derive(Clone, Debug)]
pub struct ProcessRecovery {
    /// Number of the sender.
    pub sender: u32,
    /// When the process was started.
    pub started: Micros,
    /// How far the process trusts its state folder; `None` if recovery is off, or the process exited before.
    pub trust: Option<micadrum_recovery::Trust>,
    /// The phases that ended, each with the time of its end.
    pub phases: Vec<(Micros, PhaseRecord)>,
}

/// The answer to a request for the views of all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminSnapshot<'a> {
    /// When the answer was received.
    pub at: Micros,
    /// Members that answered.
    pub answered: &'a [u32],
    /// Members that did not answer.
    pub silent: &'a [u32],
}

impl History {
    /// Creates an empty history for the senders of a plan.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        let names = plan.senders.iter().map(|sender| (sender.name.clone(), sender.number)).collect();
        Self { records: Vec::new(), names }
    }

    /// Adds an event; events must be added in chronological order.
    pub fn add(&mut self, at: Micros, sender: u32, event: HistoryEvent) {
        self.records.push(Record { at, sender, event });
    }

    /// Adds the membership or recovery event that a line of a sender's log traces. Returns whether there is
    /// one.
    pub fn add_line(&mut self, at: Micros, sender: u32, line: &str) -> bool {
        let event = parse_trace(line);
        let is_trace = event.is_some();
        if let Some(event) = event {
            self.add(at, sender, event);
        }
        is_trace
    }

    /// Adds the views of all members, as a sender's admin endpoint returned them in JSON.
    pub fn add_admin_snapshot(&mut self, at: Micros, sender: u32, text: &str) {
        let views: BTreeMap<String, serde_json::Value> = serde_json::from_str(text).unwrap_or_default();
        let members_with = |field: &str| {
            let names = views.iter().filter(|(_, view)| view.get(field).is_some()).map(|(name, _)| name);
            names.filter_map(|name| self.names.get(name).copied()).collect()
        };
        let event = HistoryEvent::Looked { came: members_with("view"), silent: members_with("silent") };
        self.add(at, sender, event);
    }

    /// Returns all records.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the admin snapshots from `from` on.
    pub fn admin_snapshots(&self, from: Micros) -> impl Iterator<Item = AdminSnapshot<'_>> {
        self.records.iter().filter(move |record| record.at >= from).filter_map(|record| match &record.event {
            HistoryEvent::Looked { came, silent } => {
                Some(AdminSnapshot { at: record.at, answered: came, silent })
            }
            _ => None,
        })
    }

    /// Returns the membership events that a sender traced from `from` on.
    pub fn events(&self, sender: u32, from: Micros) -> impl Iterator<Item = (Micros, &Event)> {
        let records = self.records.iter().filter(move |record| record.sender == sender && record.at >= from);
        records.filter_map(|record| match &record.event {
            HistoryEvent::Peers(event) => Some((record.at, event)),
            _ => None,
        })
    }

    /// Returns the recoveries of all processes, in the order of their starts.
    #[must_use]
    pub fn recoveries(&self) -> Vec<ProcessRecovery> {
        let mut recoveries: Vec<ProcessRecovery> = Vec::new();
        let mut latest: BTreeMap<u32, usize> = BTreeMap::new();
        for Record { at, sender, event } in &self.records {
            match event {
                HistoryEvent::Started => {
                    latest.insert(*sender, recoveries.len());
                    recoveries.push(ProcessRecovery {
                        sender: *sender,
                        started: *at,
                        trust: None,
                        phases: Vec::new(),
                    });
                }
                HistoryEvent::Recovery(record) => {
                    if let Some(index) = latest.get(sender) {
                        recoveries[*index].add(*at, record);
                    }
                }
                _ => {}
            }
        }
        recoveries
    }

    /// Returns all records as text, one per line.
    #[must_use]
    pub fn text(&self) -> String {
        let line = |record: &Record| {
            let Record { at, sender, event } = record;
            format!("{:.6} n{sender} {event:?}\n", *at as f64 / 1e6)
        };
        self.records.iter().map(line).collect()
    }
}

impl ProcessRecovery {
    fn add(&mut self, at: Micros, record: &micadrum_recovery::Record) {
        match record {
            micadrum_recovery::Record::Trust(trust) => self.trust = Some(trust.clone()),
            micadrum_recovery::Record::PhaseEnded(phase) => self.phases.push((at, *phase)),
        }
    }
}

/// Parses a line of a sender's log; `None` if it does not trace a membership or recovery event.
fn parse_trace(line: &str) -> Option<HistoryEvent> {
    if let Some(record) = line.strip_prefix("trace recovery ") {
        return serde_json::from_str(record).ok().map(HistoryEvent::Recovery);
    }
    let (_, event) = line.strip_prefix("trace peers at=")?.split_once(' ')?;
    serde_json::from_str(event).ok().map(HistoryEvent::Peers)
}

#[cfg(test)]
mod tests;
