//! The boot id of the machine, the stamp that a process writes to its journal, and the inputs of the
//! assessment.
use serde::{Deserialize, Serialize};

const BOOT_ID_HEX_DIGITS: usize = 32;

/// The kernel's boot id, which changes with every boot of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootId(pub [u8; 16]);

impl BootId {
    /// Parses a boot id in the kernel's format: 32 hexadecimal digits, with or without dashes. Returns `None`
    /// if the text has another format.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits: Vec<u8> = text.trim().bytes().filter(|byte| *byte != b'-').collect();
        if digits.len() != BOOT_ID_HEX_DIGITS {
            return None;
        }
        let mut id = [0; 16];
        for (byte, pair) in id.iter_mut().zip(digits.chunks(2)) {
            *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
        }
        Some(Self(id))
    }
}

/// The record that a process writes to its journal at startup. The fields are encoded by position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalStamp {
    /// The name of the sender that wrote the stamp.
    pub sender: String,
    /// The boot id of the machine; `None` if unknown.
    pub boot: Option<BootId>,
    /// The wall time of the stamp, in microseconds.
    pub wall: u64,
    /// Whether the records of the journal survive a crash of the machine.
    pub survives_machine_crash: bool,
}

/// The inputs of [`Trust::assess`](super::Trust::assess): what a process finds at startup.
#[derive(Clone, Debug)]
pub struct RecoveryInputs<'a> {
    /// This sender's name.
    pub own_name: &'a str,
    /// The current boot id of the machine; `None` if unknown.
    pub boot: Option<BootId>,
    /// The current wall time, in microseconds.
    pub wall: u64,
    /// Whether the operators guarantee that the clock was set before this process started.
    pub trusts_clock: bool,
    /// The last stamp in the journal; `None` if it has none.
    pub stamp: Option<&'a JournalStamp>,
    /// The latest wall time in the journal, in microseconds.
    pub latest_wall: u64,
    /// Whether the journal holds no records.
    pub is_empty: bool,
    /// The number of bytes of unreadable records between readable ones.
    pub corrupt_bytes: usize,
    /// The number of bytes of an incomplete last record.
    pub torn_bytes: usize,
}
