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
pub struct Stamp {
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
pub struct Found<'a> {
    /// This sender's name.
    pub own: &'a str,
    /// The machine's run now.
    pub boot: Option<Boot>,
    /// The wall clock now, microseconds.
    pub wall: u64,
    /// The operators vouch for the clock: it was set before this process started.
    pub clock_vouched: bool,
    /// The last stamp in the journal.
    pub stamp: Option<&'a Stamp>,
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
pub enum Faith {
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
pub enum Finding {
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

impl fmt::Display for Finding {
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
    pub journal: Faith,
    /// Whether spans since then mean anything.
    pub clock: Clock,
    /// How far the clock stands from that of those that never stopped, in microseconds, where it is not believed and they
    /// told: it may shorten what is left to a message, and lengthens nothing.
    pub offset: Option<i64>,
    /// What people should hear.
    pub findings: Vec<Finding>,
}

impl Trust {
    /// Judges what was found.
    #[must_use]
    pub fn judge(found: &Found<'_>) -> Self {
        let mut findings = Vec::new();
        let machine = match (found.stamp.and_then(|stamp| stamp.boot), found.boot) {
            (Some(before), Some(now)) if before == now => Machine::Same,
            (Some(_), Some(_)) => Machine::Another,
            _ => Machine::Unknown,
        };
        let foreign = found.stamp.filter(|stamp| stamp.sender != found.own);
        let outlasted = found.stamp.is_some_and(|stamp| stamp.outlasts_machine);
        let journal = if let Some(stamp) = foreign {
            findings.push(Finding::Foreign(stamp.sender.clone()));
            Faith::Void
        } else if found.empty {
            findings.push(Finding::Empty);
            Faith::Binds
        } else {
            match machine {
                Machine::Another => findings.push(Finding::Rebooted { outlasted }),
                Machine::Unknown if found.stamp.is_none() => findings.push(Finding::Unstamped),
                Machine::Unknown => findings.push(Finding::NoBoot),
                Machine::Same => {}
            }
            if found.skipped > 0 {
                findings.push(Finding::Damaged(found.skipped));
            }
            let all = machine == Machine::Same || outlasted;
            if all && found.skipped == 0 { Faith::Binds } else { Faith::Hint }
        };
        if found.torn > 0 {
            // The act that a record stands before follows its writing: whatever was broken off has not happened.
            findings.push(Finding::Torn(found.torn));
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
            findings.push(Finding::Clock(clock));
        }
        Self { machine, journal, clock, offset: None, findings }
    }

    /// Others know that life of this sender, which its folder does not.
    pub fn others_know(&mut self, known: u64) {
        self.journal = self.journal.min(Faith::Hint);
        self.findings.push(Finding::Older { known });
    }

    /// How far the clock stands from those of others that never stopped: their median counts, and only against it.
    pub fn others_have(&mut self, offsets: &[i64]) {
        let mut sorted = offsets.to_vec();
        sorted.sort_unstable();
        let Some(median) = sorted.get(sorted.len() / 2) else { return };
        let off = median.unsigned_abs();
        if off > APART && matches!(self.clock, Clock::Believed | Clock::Unchecked) {
            self.findings.retain(|finding| !matches!(finding, Finding::Clock(_)));
            self.clock = Clock::Off(off);
            self.findings.push(Finding::Clock(self.clock));
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
        self.journal == Faith::Binds
    }

    /// Whether other senders are asked: what they know beside the folder is of use.
    #[must_use]
    pub fn asks(&self) -> bool {
        self.is_return() || self.journal == Faith::Hint
    }

    /// Whether service returns in stages; else it is full at once.
    #[must_use]
    pub fn takes_stages(&self) -> bool {
        self.is_return() || self.journal != Faith::Binds
    }

    /// Whether the machine lost power, or may have: partners and the rest of the fleet may have too.
    #[must_use]
    pub fn is_return(&self) -> bool {
        self.machine != Machine::Same && !self.findings.contains(&Finding::Empty)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BEFORE: Boot = Boot([1; 16]);
    const NOW: u64 = 1_700_000_000_000_000;

    fn stamp(outlasts_machine: bool) -> Stamp {
        Stamp { sender: "n1".to_owned(), boot: Some(BEFORE), wall: NOW - 60_000_000, outlasts_machine }
    }

    fn found(stamp: Option<&Stamp>, boot: Option<Boot>) -> Found<'_> {
        Found {
            own: "n1",
            boot,
            wall: NOW,
            clock_vouched: false,
            stamp,
            latest: NOW - 5_000_000,
            empty: false,
            skipped: 0,
            torn: 0,
        }
    }

    /// Guards against trusting what a power loss may have taken, and against distrust after a mere crash.
    #[test]
    fn a_journal_binds_as_far_as_what_was_written_is_there() {
        let cases = [
            (false, Some(BEFORE), Machine::Same, Faith::Binds, Clock::Believed),
            (true, Some(BEFORE), Machine::Same, Faith::Binds, Clock::Believed),
            (false, Some(Boot([2; 16])), Machine::Another, Faith::Hint, Clock::Unchecked),
            (true, Some(Boot([2; 16])), Machine::Another, Faith::Binds, Clock::Unchecked),
            (false, None, Machine::Unknown, Faith::Hint, Clock::Unchecked),
            (true, None, Machine::Unknown, Faith::Binds, Clock::Unchecked),
        ];
        for (outlasts, boot, machine, journal, clock) in cases {
            let stamp = stamp(outlasts);
            let trust = Trust::judge(&found(Some(&stamp), boot));
            assert_eq!(
                (trust.machine, trust.journal, trust.clock),
                (machine, journal, clock),
                "{outlasts} {boot:?}"
            );
            let vouched = Found { clock_vouched: true, ..found(Some(&stamp), boot) };
            assert_eq!(Trust::judge(&vouched).clock, Clock::Believed);
        }
        let stamped = stamp(true);
        assert_eq!(Trust::judge(&found(Some(&stamped), None)).findings[0], Finding::NoBoot);
        let trust = Trust::judge(&found(None, Some(BEFORE)));
        assert_eq!((trust.journal, trust.findings[0].clone()), (Faith::Hint, Finding::Unstamped));
    }

    /// Guards against sending what another sender owes, and against a folder that is not named for what it is.
    #[test]
    fn each_kind_of_folder_is_named_once() {
        let other = Stamp { sender: "n2".to_owned(), ..stamp(true) };
        let trust = Trust::judge(&found(Some(&other), Some(BEFORE)));
        assert_eq!(
            (trust.journal, &trust.findings[..]),
            (Faith::Void, &[Finding::Foreign("n2".to_owned())][..])
        );
        let empty = Trust::judge(&Found { empty: true, ..found(None, Some(BEFORE)) });
        assert_eq!((empty.journal, &empty.findings[..]), (Faith::Binds, &[Finding::Empty][..]));
        assert!(!empty.is_return() && empty.knows_ids());
        let mut lost = empty.clone();
        lost.others_know(3);
        assert!(!lost.knows_ids());
        let stamp = stamp(false);
        let damaged = Trust::judge(&Found { skipped: 9, torn: 3, ..found(Some(&stamp), Some(BEFORE)) });
        assert_eq!(damaged.findings, [Finding::Damaged(9), Finding::Torn(3)]);
        assert_eq!(damaged.journal, Faith::Hint);
        let torn = Trust::judge(&Found { torn: 3, ..found(Some(&stamp), Some(BEFORE)) });
        assert_eq!((torn.journal, torn.is_return()), (Faith::Binds, false));
        let both = |trust: &Trust| (trust.asks(), trust.takes_stages());
        assert_eq!(
            [&torn, &empty, &lost, &damaged, &trust].map(both),
            [(false, false), (false, false), (true, true), (true, true), (false, true),]
        );
        let mut older = Trust::judge(&found(Some(&stamp), Some(BEFORE)));
        older.others_know(9);
        assert_eq!((older.journal, &older.findings[..]), (Faith::Hint, &[Finding::Older { known: 9 }][..]));
        for finding in older.findings.iter().chain(&damaged.findings).chain(&empty.findings) {
            assert!(!finding.to_string().contains('\n'));
        }
    }

    /// Guards against believing a clock that others show to be wrong, and against a peer that makes one believed.
    #[test]
    fn others_can_only_take_the_clock_away() {
        let stamp = stamp(false);
        let at = |wall, boot, vouched| {
            Trust::judge(&Found { wall, clock_vouched: vouched, ..found(Some(&stamp), Some(boot)) })
        };
        assert_eq!(at(NOW - 3_600_000_000, BEFORE, true).clock, Clock::Behind(3_595_000_000));
        assert_eq!(at(NOW - 5_500_000, BEFORE, false).clock, Clock::Believed, "set right by a step");
        let mut unchecked = at(NOW, Boot([2; 16]), false);
        unchecked.others_have(&[0, 10, -10]);
        assert_eq!(
            (unchecked.clock, unchecked.offset, unchecked.now(NOW)),
            (Clock::Unchecked, Some(0), Some(NOW))
        );
        let mut vouched = at(NOW, Boot([2; 16]), true);
        vouched.others_have(&[]);
        vouched.others_have(&[3_600_000_000, 0, 100]);
        assert_eq!(vouched.clock, Clock::Believed, "one of three lies");
        vouched.others_have(&[3_600_000_000, 3_600_000_001, 100]);
        assert_eq!(vouched.clock, Clock::Off(3_600_000_000));
        assert_eq!(vouched.now(NOW), Some(NOW - 3_600_000_000));
        assert_eq!(vouched.findings.iter().filter(|f| matches!(f, Finding::Clock(_))).count(), 1);
    }

    /// Guards against a boot id that reads as another one, or as none.
    #[test]
    fn a_boot_id_is_read_as_the_kernel_writes_it() {
        let text = "2f6e3c1a-0b4d-4e8f-9a7c-1234567890ab\n";
        assert_eq!(Boot::parse(text).map(|boot| boot.0[..3].to_owned()), Some(vec![0x2f, 0x6e, 0x3c]));
        assert_eq!(Boot::parse(&text.replace('-', "")), Boot::parse(text));
        for wrong in [
            "",
            "2f6e3c1a",
            "zf6e3c1a-0b4d-4e8f-9a7c-1234567890ab",
            "\u{e9}\u{e9}6e3c1a0b4d4e8f9a7c1234567890",
        ] {
            assert_eq!(Boot::parse(wrong), None, "{wrong}");
        }
    }
}
