//! What identifies the machine's run and the process that wrote a journal.
use serde::{Deserialize, Serialize};

const BOOT_ID_HEX_DIGITS: usize = 32;

/// One run of a machine, from power-on to power-off: the kernel's boot id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootId(pub [u8; 16]);

impl BootId {
    /// Parses a boot id as the kernel writes it: 32 hexadecimal digits with or without dashes.
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

/// What a process writes into its journal at the start. Encoded by position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalStamp {
    /// The sender's name.
    pub sender: String,
    /// The machine's run; `None` where unknown.
    pub boot: Option<BootId>,
    /// The wall clock, in microseconds.
    pub wall: u64,
    /// The records of the journal survive a crash of the machine.
    pub survives_machine_crash: bool,
}

/// What a process finds at its start.
#[derive(Clone, Debug)]
pub struct RecoveryInputs<'a> {
    /// This sender's name.
    pub own_name: &'a str,
    /// The machine's current run.
    pub boot: Option<BootId>,
    /// The current wall clock, in microseconds.
    pub wall: u64,
    /// The operators guarantee that the clock was set before this process started.
    pub trusts_clock: bool,
    /// The last stamp in the journal.
    pub stamp: Option<&'a JournalStamp>,
    /// The latest wall time in the journal, in microseconds.
    pub latest_wall: u64,
    /// The journal holds no records.
    pub is_empty: bool,
    /// Bytes of unreadable records between readable ones.
    pub corrupt_bytes: usize,
    /// Bytes of an incomplete last record.
    pub torn_bytes: usize,
}
