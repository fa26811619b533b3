//! Formats the recovery status of a running sender for the terminal.
use micadrum_recovery::Trust;
use micadrum_recovery::journal_trust::{BootComparison, ClockTrust, JournalTrust};
use micadrum_recovery::phases::{PhaseEnd, PhaseRecord, RecoveryPhase};
use serde::Deserialize;
use std::fmt::Write as _;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The response to `/status/recovery`.
#[derive(Deserialize)]
pub struct Report {
    #[serde(rename = "stage")]
    phase: RecoveryPhase,
    for_us: u64,
    waits_for: String,
    trust: Trust,
    #[serde(rename = "asked")]
    peer_query: Option<PeerQuerySummary>,
    #[serde(rename = "steps")]
    ended_phases: Vec<PhaseRecord>,
}

#[derive(Deserialize)]
struct PeerQuerySummary {
    answered: usize,
    #[serde(rename = "steady")]
    at_full_service: usize,
    #[serde(rename = "silent")]
    unanswered: usize,
    #[serde(rename = "took")]
    took_us: u64,
    #[serde(rename = "late")]
    timed_out: bool,
}

/// Formats a recovery status: the current phase, the assessment of journal and clock, and the ended phases.
pub fn format_report(report: &Report) -> String {
    let phase = phase_label(report.phase);
    let for_ms = report.for_us / MICROS_PER_MILLI;
    let mut text = format!("{phase} for {for_ms} ms, waits for {}\n", report.waits_for);
    text.push_str(&format_trust(&report.trust));
    text.push_str(&format_peer_query(report.peer_query.as_ref()));
    for finding in &report.trust.findings {
        let _ = writeln!(text, "found    {finding}");
    }
    for PhaseRecord { phase, took_us, end } in &report.ended_phases {
        let (phase, took_ms) = (phase_label(*phase), took_us / MICROS_PER_MILLI);
        let _ = writeln!(text, "stage    {phase}: {took_ms} ms, {}", end_label(*end));
    }
    text
}

fn format_trust(trust: &Trust) -> String {
    let machine = match trust.machine {
        BootComparison::SameBoot => "same boot",
        BootComparison::Rebooted => "rebooted",
        BootComparison::Unknown => "unknown",
    };
    let journal = match trust.journal {
        JournalTrust::Complete => "complete",
        JournalTrust::Incomplete => {
            "incomplete: its pending messages may have been sent, and records may be missing"
        }
        JournalTrust::Foreign => "written by another sender, set aside",
    };
    let clock = match trust.clock {
        ClockTrust::Trusted => "trusted".to_owned(),
        ClockTrust::Unverified => "not verified".to_owned(),
        ClockTrust::Behind(by) => format!("{} s behind the journal", by.div_ceil(MICROS_PER_SECOND)),
        ClockTrust::Skewed(by) => {
            format!("{} s off the clocks of other senders", by.div_ceil(MICROS_PER_SECOND))
        }
    };
    format!("machine  {machine}\njournal  {journal}\nclock    {clock}\n")
}

fn format_peer_query(summary: Option<&PeerQuerySummary>) -> String {
    let Some(summary) = summary else { return "peers    not queried\n".to_owned() };
    let PeerQuerySummary { answered, at_full_service, unanswered, took_us, timed_out } = summary;
    let timeout = if *timed_out { ", timed out" } else { "" };
    format!(
        "peers    {answered} answered, {at_full_service} of them at full service, {unanswered} did not answer; {} ms{timeout}\n",
        took_us / MICROS_PER_MILLI
    )
}

/// Returns the label of a phase; scripts may match it.
fn phase_label(phase: RecoveryPhase) -> &'static str {
    match phase {
        RecoveryPhase::QueryingPeers => "Asking",
        RecoveryPhase::AwaitingEndpoints => "Listing",
        RecoveryPhase::DrainingBacklog => "Finishing",
        RecoveryPhase::AdmittingGradually => "Admitting",
        RecoveryPhase::FullService => "Full",
    }
}

fn end_label(end: PhaseEnd) -> &'static str {
    match end {
        PhaseEnd::Completed => "Done",
        PhaseEnd::TimedOut => "Late",
    }
}

#[cfg(test)]
mod tests;
