//! Assessment of how far a process trusts its journal and the wall clock at startup. The result depends on
//! whether the machine rebooted, which failures the journal survives, whether the operators guarantee the
//! clock, and which incarnations of this sender other members know.
mod finding;
mod stamp;

pub use finding::{BootComparison, ClockTrust, JournalTrust, RecoveryFinding};
pub use stamp::{BootId, JournalStamp, RecoveryInputs};

use serde::{Deserialize, Serialize};

/// The largest backward step of the wall clock that is accepted as a clock correction.
const MAX_CLOCK_STEP_US: u64 = 1_000_000;
/// The largest accepted difference between the clocks of two senders.
const MAX_CLOCK_SKEW_US: u64 = 5_000_000;

/// The assessment of the journal and the clock. The JSON names are part of the `/status/recovery` and trace
/// formats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trust {
    /// Whether the machine rebooted since the journal was written.
    pub machine: BootComparison,
    /// How far the journal is trusted.
    pub journal: JournalTrust,
    /// Whether the wall times in the journal can be compared with the current wall clock.
    pub clock: ClockTrust,
    /// The number of microseconds that the clock is ahead of the clocks of senders at full service; negative
    /// if it is behind. `None` if the clock is trusted or no sender reported its clock. The offset can reduce
    /// the time left to a message, but never extend it.
    #[serde(rename = "offset")]
    pub clock_offset_us: Option<i64>,
    /// The findings to report to operators.
    pub findings: Vec<RecoveryFinding>,
}

impl Trust {
    /// Assesses what a process found at startup.
    #[must_use]
    pub fn assess(inputs: &RecoveryInputs<'_>) -> Self {
        let machine = compare_boots(inputs);
        let mut findings = Vec::new();
        let journal = assess_journal(inputs, machine, &mut findings);
        if inputs.torn_bytes > 0 {
            // A torn record does not reduce trust: the journal is a write-ahead log, so the operation of an
            // incomplete record was never carried out.
            findings.push(RecoveryFinding::TornRecord(inputs.torn_bytes));
        }
        let clock = assess_clock(inputs, machine, journal);
        if clock != ClockTrust::Trusted {
            findings.push(RecoveryFinding::ClockUntrusted(clock));
        }
        Self { machine, journal, clock, clock_offset_us: None, findings }
    }

    /// Reduces the trust in the journal because other members know a higher incarnation of this sender
    /// (`known`) than the state folder does.
    pub fn apply_known_incarnation(&mut self, known: u64) {
        self.journal = self.journal.min(JournalTrust::Incomplete);
        self.findings.push(RecoveryFinding::OutdatedFolder { known });
    }

    /// Applies the offsets of the clock from the clocks of senders at full service, in microseconds. The
    /// median is used; it can only reduce the trust in the clock.
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

    /// Returns whether the time left to a message from before the restart is known.
    #[must_use]
    pub fn knows_time(&self) -> bool {
        self.clock == ClockTrust::Trusted || self.clock_offset_us.is_some()
    }

    /// Converts a current wall time to the clock with which the journal was written, both in microseconds.
    /// Returns `None` if the offset between the two is unknown.
    #[must_use]
    pub fn journal_time(&self, wall: u64) -> Option<u64> {
        match (self.clock, self.clock_offset_us) {
            (ClockTrust::Trusted, _) => Some(wall),
            (_, Some(offset)) => Some(wall.saturating_add_signed(offset.wrapping_neg())),
            (_, None) => None,
        }
    }

    /// Returns whether the ids of all completed messages are known. If they are not, a resubmitted message
    /// may be delivered twice. An empty state folder counts as a first start unless other members know an
    /// earlier incarnation.
    #[must_use]
    pub fn has_all_completed_ids(&self) -> bool {
        self.journal == JournalTrust::Complete
    }

    /// Returns whether peers are queried, as they may know what the state folder lacks.
    #[must_use]
    pub fn queries_peers(&self) -> bool {
        self.follows_machine_restart() || self.journal == JournalTrust::Incomplete
    }

    /// Returns whether the sender goes through the recovery phases. Otherwise it starts at full service.
    #[must_use]
    pub fn recovers_in_phases(&self) -> bool {
        self.follows_machine_restart() || self.journal != JournalTrust::Complete
    }

    /// Returns whether the machine rebooted or may have rebooted. The cause may have affected destinations
    /// and other senders too.
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
        // No wall time from before the restart is used.
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
