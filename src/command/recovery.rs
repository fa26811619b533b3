//! How far service has returned, in words.
use micadrum_recovery::Trust;
use micadrum_recovery::stages::{Stage, Step};
use micadrum_recovery::trust::{Clock, Faith, Machine};
use serde::Deserialize;
use std::fmt::Write as _;

/// What the door tells.
#[derive(Deserialize)]
pub struct Report {
    stage: Stage,
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
        Faith::Binds => "binds",
        Faith::Hint => "a hint: what it holds may have run, and more may be missing",
        Faith::Void => "another sender's, set aside",
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
mod tests {
    use super::*;

    /// Guards against a door that tells what this cannot read.
    #[test]
    fn what_the_door_tells_is_shown() {
        let json = r#"{"stage":"finishing","for_us":5000,"waits_for":"what is owed from before",
            "trust":{"machine":"another","journal":"hint","clock":{"off":3600000000},
            "findings":[{"rebooted":{"outlasted":false}},{"clock":{"off":3600000000}}]},
            "asked":{"answered":2,"steady":1,"silent":3,"took":1000000,"late":true},
            "steps":[{"stage":"asking","took":1000000,"why":"done"}]}"#;
        let text = told(&serde_json::from_str(json).unwrap());
        for part in [
            "Finishing for 5 ms",
            "began anew",
            "a hint",
            "3600 s off",
            "2 answered, 1 of them",
            "Asking: 1000 ms",
        ] {
            assert!(text.contains(part), "{part}: {text}");
        }
    }
}
