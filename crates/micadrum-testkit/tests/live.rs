//! Tests of live runs. They need the daemon's binary, which the tests of the whole workspace build.
mod common;

use micadrum_testkit::live;
use micadrum_testkit::plan::Plan;

/// Guards against a live run whose plan differs from the simulated one, and against messages lost or
/// duplicated when senders are killed or terminated with calls in flight.
#[test]
fn a_live_run_with_restarts_has_no_violation_and_the_simulated_plan() {
    let rest = "[[fault]]\nkind = \"errors\"\nat = \"500 ms\"\nfor = \"2 s\"\ncalls = \"30%\"\n\
                [[fault]]\nkind = \"vanish\"\nat = \"1 s\"\nfor = \"1 s\"\npartners = [1]\n\
                [[fault]]\nkind = \"restart\"\nat = \"1500 ms\"\nhow = \"kill\"\nsenders = [0]\n\
                [[fault]]\nkind = \"restart\"\nat = \"2 s\"\nhow = \"term\"\nsenders = [1]\n";
    let plan = || Plan::new(common::scenario("4 s", rest), 6);
    let daemon =
        std::env::current_exe().unwrap().parent().and_then(|deps| deps.parent()).unwrap().join("micadrum");
    assert!(
        daemon.exists(),
        "{} does not exist: run the tests of the whole workspace, which build it",
        daemon.display()
    );
    let report = live::run(plan(), Some(daemon)).unwrap();
    assert!(report.verdict.all_hold, "{}", report.text());
    assert!(report.results.measured && report.results.counts["ends of senders"] == 2, "{}", report.text());
    assert!(report.results.counts["calls that delivered"] > 50, "{}", report.text());
    let simulated = common::simulate(plan());
    assert_eq!((simulated.plan, simulated.verdict), (report.plan, report.verdict));
}
