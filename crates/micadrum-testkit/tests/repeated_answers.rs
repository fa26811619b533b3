//! Endpoints and agents that answer more than once, so that an answer arrives for which there is no request or
//! another one. The live run needs the daemon's binary, which the tests of the whole workspace build.
mod common;

use micadrum_testkit::live;
use micadrum_testkit::plan::Plan;
use micadrum_testkit::scenario::Scenario;

/// Seeds of the simulated runs.
const SIMULATED_SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
/// Seeds of the live runs.
const LIVE_SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

fn plan(kind: &str, length: &str, seed: u64) -> Plan {
    let fault = |kind: &str, rest: &str| {
        format!("[[fault]]\nkind = \"{kind}\"\nat = \"0 s\"\nfor = \"{length}\"\n{rest}")
    };
    let rest = [
        "clumps = \"60%\"\nload = \"80%\"\n".to_owned(),
        fault(kind, "calls = \"100%\"\ndelay = \"12 ms\"\n"),
        fault("full", "calls = \"30%\"\n"),
        fault("late-rejections", "delay = \"150 ms\"\n"),
    ];
    Plan::new(common::scenario(length, &rest.concat()), seed)
}

/// Guards against taking a second answer of an endpoint for the answer to the next call on the connection:
/// messages are lost, sent twice, and sent out of the order of their key.
#[test]
fn endpoints_that_answer_twice_violate_no_invariant() {
    for seed in SIMULATED_SEEDS {
        let report = common::simulate(plan("repeat-answers", "30 s", seed));
        assert!(report.verdict.all_hold, "seed {seed}\n{}", report.text());
    }
}

/// Guards against the same in real processes.
#[test]
fn endpoints_that_answer_twice_violate_no_invariant_in_real_processes() {
    for seed in LIVE_SEEDS {
        let report = live::run(plan("repeat-answers", "12 s", seed), Some(common::daemon())).unwrap();
        assert!(report.verdict.all_hold, "seed {seed}\n{}", report.text());
        assert!(report.results.injected["repeated-answer"] > 100, "seed {seed}\n{}", report.text());
    }
}

/// Guards against taking a second answer of an agent for an endpoint list or an acknowledgement that the
/// sender asked for later.
#[test]
fn agents_that_answer_twice_violate_no_invariant() {
    for seed in SIMULATED_SEEDS {
        let report = common::simulate(plan("repeat-agent-answers", "30 s", seed));
        assert!(report.verdict.all_hold, "seed {seed}\n{}", report.text());
    }
}

/// Guards against the same when the second answer comes up to 300 ms after the first, in the time of an
/// ordinary answer.
#[test]
fn second_answers_that_come_late_violate_no_invariant() {
    let text = common::shipped_scenario("repeated-answers.toml");
    let late = text.replace("calls = \"100%\"", "calls = \"40%\"").replace("\"12 ms\"", "\"300 ms\"");
    assert_ne!(text, late);
    for seed in 1..=4 {
        let report = common::simulate(Plan::new(Scenario::parse("late.toml", &late).unwrap(), seed));
        assert!(report.verdict.all_hold, "seed {seed}\n{}", report.text());
    }
}
