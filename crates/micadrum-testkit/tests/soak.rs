//! A short soak of the built daemon: faults of system calls, clocks and folders that overlap with restarts. The binary and the
//! preloaded library are there when the whole workspace is tested.
mod common;

use micadrum_testkit::plan::Plan;
use micadrum_testkit::soak;

/// Guards against promises that are broken where two or three rare troubles meet, in real processes.
#[test]
fn a_short_soak_keeps_all_invariants() {
    let daemon =
        std::env::current_exe().unwrap().parent().and_then(|deps| deps.parent()).unwrap().join("micadrum");
    assert!(daemon.exists(), "{}: test the whole workspace, which builds it", daemon.display());
    let plan = |seed| {
        let mut plan = Plan::new(common::scenario("8 s", ""), seed);
        plan.add_system_faults();
        plan
    };
    let print = |run: &soak::SoakRun| {
        println!("{}", run.line());
        if let (false, Ok(report)) = (run.is_kept(), &run.outcome) {
            println!("{}", report.text());
        }
    };
    let summary = soak::run(21..=24, 4, Some(&daemon), &plan, &print);
    assert_eq!(summary.failing, [0; 0]);
    assert!(summary.injected.values().sum::<u64>() > 100, "{:?}", summary.injected);
}
