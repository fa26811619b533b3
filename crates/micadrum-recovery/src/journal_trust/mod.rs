//! How far the journal found at the start and the clock are trusted. The assessment depends on whether the machine was
//! restarted, which failures the journal survives, who vouches for the clock, and which incarnations of this sender other
//! members know.
mod finding;
mod stamp;

pub use finding::{BootComparison, ClockTrust, JournalTrust, RecoveryFinding};
pub use stamp::{BootId, JournalStamp, RecoveryInputs};

use serde::{Deserialize, Serialize};

/// A clock behind the journal by no more than this was corrected by a step.
const MAX_CLOCK_STEP_US: u64 = 1_000_000;
/// The clocks of senders differ by no more than this.
const MAX_CLOCK_SKEW_US: u64 = 5_000_000;

/// The assessment of a journal and of the clock. JSON names are part of the `/status/recovery` and trace formats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trust {
    /// Whether the machine was restarted.
    pub machine: BootComparison,
    /// How far the journal is trusted: its pending messages, their attempts, and the ids of completed ones.
    pub journal: JournalTrust,
    /// Whether durations since before the start are meaningful.
    pub clock: ClockTrust,
    /// How far the clock is ahead of that of senders at full service, in microseconds, where it is not trusted and others
    /// reported theirs. The offset may shorten the time left to a message, but never lengthens it.
    #[serde(rename = "offset")]
    pub clock_offset_us: Option<i64>,
    /// What is reported to operators.
    pub findings: Vec<RecoveryFinding>,
}

impl Trust {
    /// Assesses what a process found at its start.
    #[must_use]
    pub fn assess(inputs: &RecoveryInputs<'_>) -> Self {
        let machine = compare_boots(inputs);
        let mut findings = Vec::new();
        let journal = assess_journal(inputs, machine, &mut findings);
        if inputs.torn_bytes > 0 {
            // The journal is a write-ahead log: what an incomplete record announces has not happened.
            findings.push(RecoveryFinding::TornRecord(inputs.torn_bytes));
        }
        let clock = assess_clock(inputs, machine, journal);
        if clock != ClockTrust::Trusted {
            findings.push(RecoveryFinding::ClockUntrusted(clock));
        }
        Self { machine, journal, clock, clock_offset_us: None, findings }
    }

    /// Takes into account that other members know a higher incarnation of this sender than its folder does.
    pub fn apply_known_incarnation(&mut self, known: u64) {
        self.journal = self.journal.min(JournalTrust::Incomplete);
        self.findings.push(RecoveryFinding::OutdatedFolder { known });
    }

    /// Takes into account how far the clock is ahead of the clocks of senders at full service. Their median counts, and
    /// can only reduce trust.
    pub fn apply_clock_offsets(&mut self, offsets_us: &[i64]) {
        let mut sorted = offsets_us.to_vec();
        sorted.sort_unstable();
        let Some(median) = sorted.get(sorted.len() / 2) else { return };
        let skew_us = median.unsigned_abs();
        let can_be_skewed = matches!(self.clock, ClockTrust::Trusted | ClockTrust::Unverified);
        if skew_us > MAX_CLOCK_SKEW_US && can_be_skewed {
            self.findings.retain(|finding| !matches!(finding, RecoveryFinding::ClockUntrusted(_)));
            self.clock = ClockTrust::Skewed(skew_us);
            self.findings.push(RecoveryFinding::ClockUntrusted(self.clock));
        }
        if self.clock != ClockTrust::Trusted {
            self.clock_offset_us = Some(*median);
        }
    }

    /// Whether the time left to a message of before the start is known.
    #[must_use]
    pub fn knows_time(&self) -> bool {
        self.clock == ClockTrust::Trusted || self.clock_offset_us.is_some()
    }

    /// Returns the current time by the clock under which the journal was written, where known. Times are in microseconds.
    #[must_use]
    pub fn journal_time(&self, wall: u64) -> Option<u64> {
        match (self.clock, self.clock_offset_us) {
            (ClockTrust::Trusted, _) => Some(wall),
            (_, Some(offset)) => Some(wall.saturating_add_signed(offset.wrapping_neg())),
            (_, None) => None,
        }
    }

    /// Whether the ids of all completed messages are known: without them a message submitted again may be delivered twice.
    /// An empty folder counts as that of a first start unless other members know better.
    #[must_use]
    pub fn has_all_completed_ids(&self) -> bool {
        self.journal == JournalTrust::Complete
    }

    /// Whether peers are queried: what they know beyond the folder is of use.
    #[must_use]
    pub fn queries_peers(&self) -> bool {
        self.follows_machine_restart() || self.journal == JournalTrust::Incomplete
    }

    /// Whether service returns in phases; otherwise the sender begins at full service.
    #[must_use]
    pub fn recovers_in_phases(&self) -> bool {
        self.follows_machine_restart() || self.journal != JournalTrust::Complete
    }

    /// Whether the machine lost power, or may have: destinations and other senders may have too.
    #[must_use]
    pub fn follows_machine_restart(&self) -> bool {
        self.machine != BootComparison::SameBoot && !self.findings.contains(&RecoveryFinding::Empty)
    }
}

fn compare_boots(inputs: &RecoveryInputs<'_>) -> BootComparison {
    match (inputs.stamp.and_then(|stamp| stamp.boot), inputs.boot) {
        (Some(before), Some(now)) if before == now => BootComparison::SameBoot,
        (Some(_), Some(_)) => BootComparison::Rebooted,
        _ => BootComparison::Unknown,
    }
}

fn assess_journal(
    inputs: &RecoveryInputs<'_>,
    machine: BootComparison,
    findings: &mut Vec<RecoveryFinding>,
) -> JournalTrust {
    if let Some(foreign) = inputs.stamp.filter(|stamp| stamp.sender != inputs.own_name) {
        findings.push(RecoveryFinding::Foreign(foreign.sender.clone()));
        return JournalTrust::Foreign;
    }
    if inputs.is_empty {
        findings.push(RecoveryFinding::Empty);
        return JournalTrust::Complete;
    }
    let journal_survived = inputs.stamp.is_some_and(|stamp| stamp.survives_machine_crash);
    match machine {
        BootComparison::Rebooted => findings.push(RecoveryFinding::Rebooted { journal_survived }),
        BootComparison::Unknown if inputs.stamp.is_none() => findings.push(RecoveryFinding::StampMissing),
        BootComparison::Unknown => findings.push(RecoveryFinding::BootIdMissing),
        BootComparison::SameBoot => {}
    }
    if inputs.corrupt_bytes > 0 {
        findings.push(RecoveryFinding::CorruptRecords(inputs.corrupt_bytes));
        return JournalTrust::Incomplete;
    }
    if machine == BootComparison::SameBoot || journal_survived {
        JournalTrust::Complete
    } else {
        JournalTrust::Incomplete
    }
}

fn assess_clock(inputs: &RecoveryInputs<'_>, machine: BootComparison, journal: JournalTrust) -> ClockTrust {
    let last_written = inputs.latest_wall.max(inputs.stamp.map_or(0, |stamp| stamp.wall));
    let behind_us = last_written.saturating_sub(inputs.wall);
    if inputs.is_empty || journal == JournalTrust::Foreign {
        // No times of before the start are used.
        ClockTrust::Trusted
    } else if behind_us > MAX_CLOCK_STEP_US {
        ClockTrust::Behind(behind_us)
    } else if machine == BootComparison::SameBoot || inputs.trusts_clock {
        ClockTrust::Trusted
    } else {
        ClockTrust::Unverified
    }
}

#[cfg(test)]
mod tests;
