//! The built daemon as processes on loopback. The binary is there when the whole workspace is tested.
mod common;

use micadrum_testkit::live;
use micadrum_testkit::plan::Plan;

/// Guards against a live run that plays another plan than the simulated one, or whose senders do not survive real
/// signals: killed and terminated while messages are out, they lose and double nothing.
#[test]
fn a_live_run_with_kills_breaks_no_rule_and_plays_the_same_plan() {
    let rest = "[[fault]]\nkind = \"errors\"\nat = \"500 ms\"\nfor = \"2 s\"\ncalls = \"30%\"\n\
                [[fault]]\nkind = \"vanish\"\nat = \"1 s\"\nfor = \"1 s\"\npartners = [1]\n\
                [[fault]]\nkind = \"restart\"\nat = \"1500 ms\"\nhow = \"kill\"\nsenders = [0]\n\
                [[fault]]\nkind = \"restart\"\nat = \"2 s\"\nhow = \"term\"\nsenders = [1]\n";
    let plan = || Plan::new(common::scenario("4 s", rest), 6);
    let daemon =
        std::env::current_exe().unwrap().parent().and_then(|deps| deps.parent()).unwrap().join("micadrum");
    assert!(daemon.exists(), "{}: test the whole workspace, which builds it", daemon.display());
    let report = live::run(plan(), Some(daemon)).unwrap();
    assert!(report.verdict.kept, "{}", report.text());
    assert!(report.played.measured && report.played.counts["ends of senders"] == 2, "{}", report.text());
    assert!(report.played.counts["calls that delivered"] > 50, "{}", report.text());
    let simulated = common::play(plan());
    assert_eq!((simulated.plan, simulated.verdict), (report.plan, report.verdict));
}
