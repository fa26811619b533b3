//! Two runs of one seed are the same, whatever else the machine does.
mod common;

use common::{play, read, shipped};
use micadrum_testkit::plan::Plan;
use micadrum_testkit::units::Span;
use std::sync::atomic::{AtomicBool, Ordering};

/// Longer days are cut here; they were played whole, twice, when they were shipped.
const CUT: Span = Span::seconds(180);

/// Guards against whatever makes two runs of one seed differ: hashers, chance in `select!`, clocks, threads. Every
/// shipped scenario is played twice at once, on two threads, with others keeping the cores busy.
#[test]
fn every_shipped_scenario_plays_the_same_twice() {
    let done = AtomicBool::new(false);
    std::thread::scope(|threads| {
        for _ in 0..2 {
            threads.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        for file in shipped() {
            let run = || {
                let mut plan = Plan::new(read(&file), 11);
                plan.truncate(CUT);
                play(plan).json()
            };
            let (first, second) = std::thread::scope(|twice| {
                let first = twice.spawn(run);
                let second = twice.spawn(run);
                (first.join(), second.join())
            });
            // Whatever happened, the busy threads are to end.
            let same = matches!((&first, &second), (Ok(a), Ok(b)) if a == b);
            if !same {
                done.store(true, Ordering::Relaxed);
            }
            assert!(same, "{}: two runs of seed 11 differ", file.display());
        }
        done.store(true, Ordering::Relaxed);
    });
}

/// Guards against a seed that changes nothing, and against plans that depend on what is not the seed.
#[test]
fn the_plan_follows_from_the_seed_alone() {
    let report = |seed| {
        let mut plan = Plan::new(common::scenario("10 s", ""), seed);
        plan.add_random_faults();
        play(plan)
    };
    let (one, again, other) = (report(1), report(1), report(2));
    assert_eq!(one.plan, again.plan);
    assert_ne!(one.plan.digest, other.plan.digest);
    assert_ne!(one.plan.faults, other.plan.faults);
}

/// Guards against faults that change what is handed in: they are to be told apart by nothing else.
#[test]
fn a_fault_does_not_change_the_traffic() {
    let fault = "[[fault]]\nkind = \"hang\"\nat = \"2 s\"\nfor = \"3 s\"\n";
    let digest = |rest| play(Plan::new(common::scenario("10 s", rest), 5)).plan.digest;
    assert_eq!(digest(""), digest(fault));
}
