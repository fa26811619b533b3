//! How far service has returned, in words.
use micadrum_recovery::Trust;
use micadrum_recovery::journal_trust::{Clock, JournalTrust, Machine};
use micadrum_recovery::phases::{RecoveryPhase, Step};
use serde::Deserialize;
use std::fmt::Write as _;

/// What the door tells.
#[derive(Deserialize)]
pub struct Report {
    stage: RecoveryPhase,
    for_us: u64,
    waits_for: String,
    trust: Trust,
    asked: Option<Asked>,
    steps: Vec<Step>,
}

#[derive(Deserialize)]
struct Asked {
    answered: usize,
    steady: usize,
    silent: usize,
    took: u64,
    late: bool,
}

/// The whole of it.
pub fn told(report: &Report) -> String {
    let Report { stage, for_us, waits_for, trust, asked, steps } = report;
    let mut text = format!("{stage:?} for {} ms, waits for {waits_for}\n", for_us / 1000);
    let machine = match trust.machine {
        Machine::Same => "as it was",
        Machine::Another => "began anew",
        Machine::Unknown => "not known",
    };
    let journal = match trust.journal {
        JournalTrust::Binds => "binds",
        JournalTrust::Hint => "a hint: what it holds may have run, and more may be missing",
        JournalTrust::Void => "another sender's, set aside",
    };
    let clock = match trust.clock {
        Clock::Believed => "believed".to_owned(),
        Clock::Unchecked => "not vouched for".to_owned(),
        Clock::Behind(by) => format!("{} s before what was written", by.div_ceil(1_000_000)),
        Clock::Off(by) => format!("{} s off that of the others", by.div_ceil(1_000_000)),
    };
    let _ = writeln!(text, "machine  {machine}\njournal  {journal}\nclock    {clock}");
    match asked {
        Some(Asked { answered, steady, silent, took, late }) => {
            let late = if *late { ", until its time was over" } else { "" };
            let _ = writeln!(
                text,
                "peers    {answered} answered, {steady} of them at full service, {silent} did not; {} ms{late}",
                took / 1000
            );
        }
        None => text.push_str("peers    not asked\n"),
    }
    for finding in &trust.findings {
        let _ = writeln!(text, "found    {finding}");
    }
    for step in steps {
        let _ = writeln!(text, "stage    {:?}: {} ms, {:?}", step.stage, step.took / 1000, step.why);
    }
    text
}

#[cfg(test)]
mod tests;
