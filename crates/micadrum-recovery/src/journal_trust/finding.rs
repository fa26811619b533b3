//! The results of the assessment, and the findings reported to operators. The JSON names are part of the
//! `/status/recovery` and trace formats.
use serde::{Deserialize, Serialize};
use std::fmt;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Whether the machine rebooted since the last stamp was written to the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BootComparison {
    /// The boot id is the same, so all writes to the journal have been kept.
    #[serde(rename = "same")]
    SameBoot,
    /// The boot id is different.
    #[serde(rename = "another")]
    Rebooted,
    /// At least one boot id is unknown; treated as a reboot.
    #[serde(rename = "unknown")]
    Unknown,
}

/// How far the contents of the journal are trusted, ordered from no trust to full trust.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JournalTrust {
    /// The journal belongs to another sender and is ignored.
    #[serde(rename = "void")]
    Foreign,
    /// The records are valid, but some may be missing.
    #[serde(rename = "hint")]
    Incomplete,
    /// The journal holds every record that was written.
    #[serde(rename = "binds")]
    Complete,
}

/// Whether wall times from before the restart can be compared with the current wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClockTrust {
    /// The times can be compared.
    #[serde(rename = "believed")]
    Trusted,
    /// The machine rebooted and the operators do not guarantee its clock, so it may be wrong by hours.
    #[serde(rename = "unchecked")]
    Unverified,
    /// The clock is behind the latest time in the journal by this many microseconds.
    #[serde(rename = "behind")]
    Behind(u64),
    /// The clock differs from the median clock of the other senders by this many microseconds.
    #[serde(rename = "off")]
    Skewed(u64),
}

/// A finding of the assessment. It is displayed as one line, in the log and by `micadrum recovery`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecoveryFinding {
    /// The state folder holds no journal, or an empty one.
    Empty,
    /// The journal belongs to another sender, with this name.
    Foreign(String),
    /// The current boot id or the one in the journal is unknown.
    #[serde(rename = "no-boot")]
    BootIdMissing,
    /// The journal has no stamp, as it was written before recovery was enabled.
    #[serde(rename = "unstamped")]
    StampMissing,
    /// The machine rebooted since the journal was written.
    Rebooted {
        /// Whether the journal was written to survive a crash of the machine.
        #[serde(rename = "outlasted")]
        journal_survived: bool,
    },
    /// The last record is incomplete. Holds its length in bytes.
    #[serde(rename = "torn")]
    TornRecord(usize),
    /// Records between readable ones are unreadable. Holds their length in bytes.
    #[serde(rename = "damaged")]
    CorruptRecords(usize),
    /// Other members know a higher incarnation of this sender than the state folder does.
    #[serde(rename = "older")]
    OutdatedFolder {
        /// The incarnation that the other members know.
        known: u64,
    },
    /// The clock is not trusted.
    #[serde(rename = "clock")]
    ClockUntrusted(ClockTrust),
}

impl fmt::Display for RecoveryFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("no journal found: first start, or the state folder was lost"),
            Self::Foreign(name) => {
                write!(f, "foreign journal renamed sender={name:?}: its messages are not sent")
            }
            Self::StampMissing => f.write_str(
                "journal has no stamp: treated as a reboot, and its pending messages may have been delivered",
            ),
            Self::BootIdMissing => {
                f.write_str("boot id unknown, now or when the journal was written: treated as a reboot")
            }
            Self::Rebooted { journal_survived: true } => {
                f.write_str("machine rebooted journal_survived=true")
            }
            Self::Rebooted { journal_survived: false } => f.write_str(
                "machine rebooted journal_survived=false: pending messages may have been delivered, and the \
                 last records may be missing",
            ),
            Self::TornRecord(bytes) => {
                write!(f, "incomplete last record truncated bytes={bytes}")
            }
            Self::CorruptRecords(bytes) => {
                write!(f, "corrupt journal records bytes={bytes}: pending messages may have been delivered")
            }
            Self::OutdatedFolder { known } => write!(
                f,
                "outdated state folder known_incarnation={known}: pending messages may have been delivered"
            ),
            Self::ClockUntrusted(clock) => fmt_clock(*clock, f),
        }
    }
}

fn fmt_clock(clock: ClockTrust, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match clock {
        ClockTrust::Trusted => f.write_str("clock trusted"),
        ClockTrust::Unverified => f.write_str(
            "clock unverified after a reboot: waits restart now, and messages that are idempotent only \
             within a window are not resent if they may have been delivered",
        ),
        ClockTrust::Behind(behind_us) => {
            write!(f, "clock behind the journal behind_s={}", behind_us.div_ceil(MICROS_PER_SECOND))
        }
        ClockTrust::Skewed(skew_us) => {
            write!(f, "clock differs from other senders skew_s={}", skew_us.div_ceil(MICROS_PER_SECOND))
        }
    }
}
