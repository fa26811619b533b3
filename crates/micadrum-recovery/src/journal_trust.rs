//! What a folder that is found at the start is worth: by whether the machine began anew since it was written, by what it
//! was written to outlast, by whether the clock can be believed, and by what others know of this sender's lives.
use serde::{Deserialize, Serialize};
use std::fmt;

/// One run of a machine, from power to power: the kernel's boot id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot(pub [u8; 16]);

impl Boot {
    /// Reads it as the kernel writes it, 32 hexadecimal digits with or without dashes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits: Vec<u8> = text.trim().bytes().filter(|byte| *byte != b'-').collect();
        if digits.len() != 32 {
            return None;
        }
        let mut id = [0; 16];
        for (byte, pair) in id.iter_mut().zip(digits.chunks(2)) {
            *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
        }
        Some(Self(id))
    }
}

/// What a process leaves at the head of its journal: who it was, and where it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalStamp {
    /// The sender's name.
    pub sender: String,
    /// The machine's run; none where it could not be told.
    pub boot: Option<Boot>,
    /// Wall clock, microseconds.
    pub wall: u64,
    /// Its records outlast the machine.
    pub outlasts_machine: bool,
}

/// What a process finds.
#[derive(Clone, Debug)]
pub struct RecoveryInputs<'a> {
    /// This sender's name.
    pub own: &'a str,
    /// The machine's run now.
    pub boot: Option<Boot>,
    /// The wall clock now, microseconds.
    pub wall: u64,
    /// The operators vouch for the clock: it was set before this process started.
    pub clock_vouched: bool,
    /// The last stamp in the journal.
    pub stamp: Option<&'a JournalStamp>,
    /// The latest wall time that the journal tells of.
    pub latest: u64,
    /// The journal holds nothing at all.
    pub empty: bool,
    /// Bytes of records that were passed over between others.
    pub skipped: usize,
    /// Bytes of a last record that was broken off.
    pub torn: usize,
}

/// Whether the machine began anew since the journal was last written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Machine {
    /// It did not: all that was written is there.
    Same,
    /// It did.
    Another,
    /// Nobody can tell: taken as if it did.
    Unknown,
}

/// What a kept fact is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalTrust {
    /// Nothing: it is of another sender.
    Void,
    /// It is true, but it may not be all: later facts may be missing.
    Hint,
    /// It is all there is.
    Binds,
}

/// Whether spans between wall times of before and now mean anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Clock {
    /// They do.
    Believed,
    /// The machine began anew and nobody vouches for its clock: it may stand hours off.
    Unchecked,
    /// It stands before what was written, by so many microseconds.
    Behind(u64),
    /// It stands off what most other senders have, by so many microseconds.
    Off(u64),
}

/// Something that people on call should hear of, in one line of the log each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecoveryFinding {
    /// There is no journal.
    Empty,
    /// The journal is another sender's.
    Foreign(String),
    /// The machine does not say which run of it this is, or did not when the journal was begun.
    NoBoot,
    /// It has no stamp: it was written before this part was turned on.
    Unstamped,
    /// The machine began anew since.
    Rebooted {
        /// What was written outlasts that.
        outlasted: bool,
    },
    /// A last record was broken off, bytes of it.
    Torn(usize),
    /// Records between others cannot be read, bytes of them.
    Damaged(usize),
    /// Others know a higher life of this sender.
    Older {
        /// Theirs.
        known: u64,
    },
    /// The clock cannot be believed.
    Clock(Clock),
}

impl fmt::Display for RecoveryFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("the folder holds no journal: a first start, or a folder that was lost"),
            Self::Foreign(name) => {
                write!(f, "the journal is that of {name:?}: it is set aside, and nothing of it is sent")
            }
            Self::Unstamped => f.write_str(
                "the journal does not say on which run of the machine it was written: what it holds may have run",
            ),
            Self::NoBoot => f.write_str(
                "no boot id, now or then: nobody can tell whether the machine began anew, so it is taken as if it did",
            ),
            Self::Rebooted { outlasted: true } => {
                f.write_str("the machine began anew; the journal was written to outlast that")
            }
            Self::Rebooted { outlasted: false } => f.write_str(
                "the machine began anew, and the journal was not written to outlast that: what it holds may have run, \
                 and its last records may be gone",
            ),
            Self::Torn(bytes) => write!(f, "{bytes} bytes of a last record that was broken off are cut off"),
            Self::Damaged(bytes) => {
                write!(f, "{bytes} bytes between records cannot be read: what the journal holds may have run")
            }
            Self::Older { known } => write!(
                f,
                "others know life {known} of this sender, its folder does not: an older copy, or lost; what it holds may \
                 have run"
            ),
            Self::Clock(Clock::Believed) => f.write_str("the clock is believed"),
            Self::Clock(Clock::Unchecked) => f.write_str(
                "the machine began anew and nobody vouches for its clock: waits count from now, and what may have run \
                 is not sent again within a window",
            ),
            Self::Clock(Clock::Behind(by)) => {
                write!(f, "the clock stands {} s before what was written", by.div_ceil(1_000_000))
            }
            Self::Clock(Clock::Off(by)) => {
                write!(f, "the clock stands {} s off that of the other senders", by.div_ceil(1_000_000))
            }
        }
    }
}

/// A clock that runs before what was written by no more than this was set right by a step.
const STEP: u64 = 1_000_000;
/// Clocks of senders stand apart by less than this.
const APART: u64 = 5_000_000;

/// What follows from what was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trust {
    /// Whether the machine began anew.
    pub machine: Machine,
    /// What the journal is worth: what is owed, how far it got, and what is over.
    pub journal: JournalTrust,
    /// Whether spans since then mean anything.
    pub clock: Clock,
    /// How far the clock stands from that of those that never stopped, in microseconds, where it is not believed and they
    /// told: it may shorten what is left to a message, and lengthens nothing.
    pub offset: Option<i64>,
    /// What people should hear.
    pub findings: Vec<RecoveryFinding>,
}

impl Trust {
    /// Judges what was found.
    #[must_use]
    pub fn judge(found: &RecoveryInputs<'_>) -> Self {
        let mut findings = Vec::new();
        let machine = match (found.stamp.and_then(|stamp| stamp.boot), found.boot) {
            (Some(before), Some(now)) if before == now => Machine::Same,
            (Some(_), Some(_)) => Machine::Another,
            _ => Machine::Unknown,
        };
        let foreign = found.stamp.filter(|stamp| stamp.sender != found.own);
        let outlasted = found.stamp.is_some_and(|stamp| stamp.outlasts_machine);
        let journal = if let Some(stamp) = foreign {
            findings.push(RecoveryFinding::Foreign(stamp.sender.clone()));
            JournalTrust::Void
        } else if found.empty {
            findings.push(RecoveryFinding::Empty);
            JournalTrust::Binds
        } else {
            match machine {
                Machine::Another => findings.push(RecoveryFinding::Rebooted { outlasted }),
                Machine::Unknown if found.stamp.is_none() => findings.push(RecoveryFinding::Unstamped),
                Machine::Unknown => findings.push(RecoveryFinding::NoBoot),
                Machine::Same => {}
            }
            if found.skipped > 0 {
                findings.push(RecoveryFinding::Damaged(found.skipped));
            }
            let all = machine == Machine::Same || outlasted;
            if all && found.skipped == 0 { JournalTrust::Binds } else { JournalTrust::Hint }
        };
        if found.torn > 0 {
            // The act that a record stands before follows its writing: whatever was broken off has not happened.
            findings.push(RecoveryFinding::Torn(found.torn));
        }
        let written = found.latest.max(found.stamp.map_or(0, |stamp| stamp.wall));
        let behind = written.saturating_sub(found.wall);
        let clock = if found.empty || foreign.is_some() {
            // Nothing of before is reckoned with.
            Clock::Believed
        } else if behind > STEP {
            Clock::Behind(behind)
        } else if machine == Machine::Same || found.clock_vouched {
            Clock::Believed
        } else {
            Clock::Unchecked
        };
        if clock != Clock::Believed {
            findings.push(RecoveryFinding::Clock(clock));
        }
        Self { machine, journal, clock, offset: None, findings }
    }

    /// Others know that life of this sender, which its folder does not.
    pub fn others_know(&mut self, known: u64) {
        self.journal = self.journal.min(JournalTrust::Hint);
        self.findings.push(RecoveryFinding::Older { known });
    }

    /// How far the clock stands from those of others that never stopped: their median counts, and only against it.
    pub fn others_have(&mut self, offsets: &[i64]) {
        let mut sorted = offsets.to_vec();
        sorted.sort_unstable();
        let Some(median) = sorted.get(sorted.len() / 2) else { return };
        let off = median.unsigned_abs();
        if off > APART && matches!(self.clock, Clock::Believed | Clock::Unchecked) {
            self.findings.retain(|finding| !matches!(finding, RecoveryFinding::Clock(_)));
            self.clock = Clock::Off(off);
            self.findings.push(RecoveryFinding::Clock(self.clock));
        }
        if self.clock != Clock::Believed {
            self.offset = Some(*median);
        }
    }

    /// Whether it can be told what time is left to a message of before.
    #[must_use]
    pub fn tells_time(&self) -> bool {
        self.clock == Clock::Believed || self.offset.is_some()
    }

    /// The time now by the clock under which the journal was written, where it can be told.
    #[must_use]
    pub fn now(&self, wall: u64) -> Option<u64> {
        match (self.clock, self.offset) {
            (Clock::Believed, _) => Some(wall),
            (_, Some(offset)) => Some(wall.saturating_add_signed(offset.wrapping_neg())),
            (_, None) => None,
        }
    }

    /// Whether all ids of messages that are over are there: without them one that is handed in again may run twice. An empty
    /// folder is taken for that of a first start, unless others know better.
    #[must_use]
    pub fn knows_ids(&self) -> bool {
        self.journal == JournalTrust::Binds
    }

    /// Whether other senders are asked: what they know beside the folder is of use.
    #[must_use]
    pub fn asks(&self) -> bool {
        self.is_return() || self.journal == JournalTrust::Hint
    }

    /// Whether service returns in stages; else it is full at once.
    #[must_use]
    pub fn takes_stages(&self) -> bool {
        self.is_return() || self.journal != JournalTrust::Binds
    }

    /// Whether the machine lost power, or may have: partners and the rest of the fleet may have too.
    #[must_use]
    pub fn is_return(&self) -> bool {
        self.machine != Machine::Same && !self.findings.contains(&RecoveryFinding::Empty)
    }
}

#[cfg(test)]
mod tests;
