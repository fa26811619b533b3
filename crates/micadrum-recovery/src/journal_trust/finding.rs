//! The results of assessing a journal, and the findings reported to operators. JSON names are part of the
//! `/status/recovery` and trace formats.
use serde::{Deserialize, Serialize};
use std::fmt;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Whether the machine was restarted since the journal was last written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BootComparison {
    /// The machine was not restarted: all that was written is there.
    #[serde(rename = "same")]
    SameBoot,
    /// The machine was restarted.
    #[serde(rename = "another")]
    Rebooted,
    /// Unknown, which is treated like a restart.
    #[serde(rename = "unknown")]
    Unknown,
}

/// How far the contents of the journal are trusted. The order goes from no trust to full trust.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JournalTrust {
    /// The journal belongs to another sender and is ignored.
    #[serde(rename = "void")]
    Foreign,
    /// What the journal holds is true, but later records may be missing.
    #[serde(rename = "hint")]
    Incomplete,
    /// The journal is complete.
    #[serde(rename = "binds")]
    Complete,
}

/// Whether durations between wall times of before the start and of now are meaningful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClockTrust {
    /// Such durations are meaningful.
    #[serde(rename = "believed")]
    Trusted,
    /// The machine was restarted and nobody guarantees its clock, which may be off by hours.
    #[serde(rename = "unchecked")]
    Unverified,
    /// The clock is behind the journal by this many microseconds.
    #[serde(rename = "behind")]
    Behind(u64),
    /// The clock differs from that of most other senders by this many microseconds.
    #[serde(rename = "off")]
    Skewed(u64),
}

/// A finding that is reported to operators in one log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecoveryFinding {
    /// There is no journal.
    Empty,
    /// The journal belongs to the sender of this name.
    Foreign(String),
    /// The boot id is unknown now, or was when the journal was written.
    #[serde(rename = "no-boot")]
    BootIdMissing,
    /// The journal has no stamp: it was written before recovery was enabled.
    #[serde(rename = "unstamped")]
    StampMissing,
    /// The machine was restarted since the journal was written.
    Rebooted {
        /// The journal survives a crash of the machine.
        #[serde(rename = "outlasted")]
        journal_survived: bool,
    },
    /// The last record was incomplete; its length in bytes.
    #[serde(rename = "torn")]
    TornRecord(usize),
    /// Records between readable ones are unreadable; their length in bytes.
    #[serde(rename = "damaged")]
    CorruptRecords(usize),
    /// Other senders know a higher incarnation of this sender.
    #[serde(rename = "older")]
    OutdatedFolder {
        /// The number of that incarnation.
        known: u64,
    },
    /// The clock is not trusted.
    #[serde(rename = "clock")]
    ClockUntrusted(ClockTrust),
}

impl fmt::Display for RecoveryFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("the folder holds no journal: a first start, or a folder that was lost"),
            Self::Foreign(name) => {
                write!(f, "the journal is that of {name:?}: it is set aside, and nothing of it is sent")
            }
            Self::StampMissing => f.write_str(
                "the journal does not say on which run of the machine it was written: what it holds may have run",
            ),
            Self::BootIdMissing => f.write_str(
                "no boot id, now or then: nobody can tell whether the machine began anew, so it is taken as if it did",
            ),
            Self::Rebooted { journal_survived: true } => {
                f.write_str("the machine began anew; the journal was written to outlast that")
            }
            Self::Rebooted { journal_survived: false } => f.write_str(
                "the machine began anew, and the journal was not written to outlast that: what it holds may have run, \
                 and its last records may be gone",
            ),
            Self::TornRecord(bytes) => {
                write!(f, "{bytes} bytes of a last record that was broken off are cut off")
            }
            Self::CorruptRecords(bytes) => {
                write!(f, "{bytes} bytes between records cannot be read: what the journal holds may have run")
            }
            Self::OutdatedFolder { known } => write!(
                f,
                "others know life {known} of this sender, its folder does not: an older copy, or lost; what it holds may \
                 have run"
            ),
            Self::ClockUntrusted(clock) => fmt_clock(*clock, f),
        }
    }
}

fn fmt_clock(clock: ClockTrust, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match clock {
        ClockTrust::Trusted => f.write_str("the clock is believed"),
        ClockTrust::Unverified => f.write_str(
            "the machine began anew and nobody vouches for its clock: waits count from now, and what may have run \
             is not sent again within a window",
        ),
        ClockTrust::Behind(by) => {
            write!(f, "the clock stands {} s before what was written", by.div_ceil(MICROS_PER_SECOND))
        }
        ClockTrust::Skewed(by) => {
            write!(f, "the clock stands {} s off that of the other senders", by.div_ceil(MICROS_PER_SECOND))
        }
    }
}
