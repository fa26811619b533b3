//! A short soak of the built daemon: faults of system calls, clocks and folders that overlap with restarts.
//! It needs the daemon's binary and the preloaded library, which the tests of the whole workspace build.
mod common;

use micadrum_testkit::plan::Plan;
use micadrum_testkit::soak;

/// Guards against violations in real processes when several rare faults coincide.
#[test]
fn a_short_soak_has_no_violations() {
    let daemon =
        std::env::current_exe().unwrap().parent().and_then(|deps| deps.parent()).unwrap().join("micadrum");
    assert!(
        daemon.exists(),
        "{} does not exist: run the tests of the whole workspace, which build it",
        daemon.display()
    );
    let plan = |seed| {
        let mut plan = Plan::new(common::scenario("8 s", ""), seed);
        plan.add_system_faults();
        plan
    };
    let print = |run: &soak::SoakRun| {
        println!("{}", run.line());
        if let (false, Ok(report)) = (run.succeeded(), &run.outcome) {
            println!("{}", report.text());
        }
    };
    let summary = soak::run(21..=24, 4, Some(&daemon), &plan, &print);
    assert_eq!(summary.failing, [0; 0]);
    assert!(summary.injected.values().sum::<u64>() > 100, "{:?}", summary.injected);
}
