//! Tests that simulated runs depend on the scenario and the seed alone.
mod common;

use common::{read_scenario, shipped_scenarios, simulate};
use micadrum_testkit::plan::Plan;
use micadrum_testkit::units::Span;
use std::sync::atomic::{AtomicBool, Ordering};

/// Maximum length of a run; longer scenarios are cut.
const MAX_LENGTH: Span = Span::seconds(180);

/// Guards against differences between two runs of one seed, caused by hash seeds, `select!`, clocks or
/// threads. Both runs take place at the same time, while two more threads keep the CPU busy.
#[test]
fn two_runs_of_a_shipped_scenario_have_the_same_report() {
    let done = AtomicBool::new(false);
    std::thread::scope(|threads| {
        for _ in 0..2 {
            threads.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        for file in shipped_scenarios() {
            let run = || {
                let mut plan = Plan::new(read_scenario(&file), 11);
                plan.truncate(MAX_LENGTH);
                simulate(plan).json()
            };
            let (first, second) = std::thread::scope(|twice| {
                let first = twice.spawn(run);
                let second = twice.spawn(run);
                (first.join(), second.join())
            });
            // The busy threads must also end if the assertion fails.
            let same = matches!((&first, &second), (Ok(a), Ok(b)) if a == b);
            if !same {
                done.store(true, Ordering::Relaxed);
            }
            assert!(same, "{}: two runs of seed 11 differ", file.display());
        }
        done.store(true, Ordering::Relaxed);
    });
}

/// Guards against a plan that does not depend on the seed, or depends on anything else.
#[test]
fn plans_are_equal_for_one_seed_and_differ_between_seeds() {
    let report = |seed| {
        let mut plan = Plan::new(common::scenario("10 s", ""), seed);
        plan.add_random_faults();
        simulate(plan)
    };
    let (first, repeated, other) = (report(1), report(1), report(2));
    assert_eq!(first.plan, repeated.plan);
    assert_ne!(first.plan.digest, other.plan.digest);
    assert_ne!(first.plan.faults, other.plan.faults);
}

/// Guards against a fault that changes the submitted operations, so that runs with and without it cannot be
/// compared.
#[test]
fn a_fault_does_not_change_the_traffic() {
    let fault = "[[fault]]\nkind = \"hang\"\nat = \"2 s\"\nfor = \"3 s\"\n";
    let digest = |rest| simulate(Plan::new(common::scenario("10 s", rest), 5)).plan.digest;
    assert_eq!(digest(""), digest(fault));
}
