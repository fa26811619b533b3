//! A short soak of the built daemon: faults of system calls, clocks and folders that overlap with restarts.
//! It needs the daemon's binary and the preloaded library, which the tests of the whole workspace build.
mod common;

use micadrum_testkit::plan::Plan;
use micadrum_testkit::soak::{self, SoakSummary};
use std::ops::RangeInclusive;

/// Runs all seeds, prints those that fail, and returns the summary.
fn soak(seeds: RangeInclusive<u64>, add_faults: fn(&mut Plan)) -> SoakSummary {
    let daemon = common::daemon();
    let plan = |seed| {
        let mut plan = Plan::new(common::scenario("8 s", ""), seed);
        add_faults(&mut plan);
        plan
    };
    let print = |run: &soak::SoakRun| {
        println!("{}", run.line());
        if let (false, Ok(report)) = (run.succeeded(), &run.outcome) {
            println!("{}", report.text());
        }
    };
    soak::run(seeds, 4, Some(&daemon), &plan, &print)
}

/// Guards against violations in real processes when several rare faults coincide.
#[test]
fn a_short_soak_has_no_violations() {
    let summary = soak(21..=24, Plan::add_system_faults);
    assert_eq!(summary.failing, [0; 0]);
    assert!(summary.injected.values().sum::<u64>() > 100, "{:?}", summary.injected);
}

/// Guards against the same when endpoints and agents also answer more than once.
#[test]
fn a_short_soak_with_repeated_answers_has_no_violations() {
    let summary = soak(31..=34, |plan| {
        plan.add_system_faults();
        plan.add_answer_faults();
    });
    assert_eq!(summary.failing, [0; 0]);
    assert!(summary.injected["repeated-answer"] > 20, "{:?}", summary.injected);
}

/// Guards against requests without an answer when they arrive in pieces while their senders end.
#[test]
fn a_short_soak_with_cut_requests_has_no_violations() {
    let summary = soak(41..=44, Plan::add_request_faults);
    assert_eq!(summary.failing, [0; 0]);
    assert!(summary.injected["cut-request"] > 100, "{:?}", summary.injected);
}

/// Guards against messages for the wrong destination, and against drains that are not heard, when agents answer
/// late and endpoints change their addresses and ids (review/7).
#[test]
fn a_short_soak_with_slow_agents_has_no_violations() {
    let summary = soak(51..=54, Plan::add_discovery_faults);
    assert_eq!(summary.failing, [0; 0]);
}
