//! Senders whose machines begin anew: what they trust, what they ask, in which order service returns. Simulated, and as
//! several real processes.
mod common;

use common::daemon;
use micadrum_recovery::journal_trust::{BootComparison, ClockTrust, JournalTrust, RecoveryFinding};
use micadrum_recovery::phases::{PhaseEnd, RecoveryPhase};
use micadrum_testkit::history::{History, Return};
use micadrum_testkit::invariants::Invariant;
use micadrum_testkit::live;
use micadrum_testkit::plan::Plan;
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::Scenario;

const SECOND: u64 = 1_000_000;

/// A day of five senders; `parts` is what the operators turn on beside the peers, `faults` what goes wrong.
fn day(length: u32, parts: &str, faults: &str) -> Scenario {
    let text = format!(
        "title = \"recovery\"\nlength = \"{length} s\"\nsenders = 5\npartners = 6\ntraffic = \"40/s\"\n\
         crossing = \"2 ms\"\n[operator.peers]\n{parts}{faults}"
    );
    Scenario::parse("recovery.toml", &text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

const MACHINE: &str = "[operator.durability]\noutlasts = \"machine\"\n[operator.recovery]\n";

fn loss(at: u32, rest: &str) -> String {
    format!("[[fault]]\nkind = \"power-loss\"\nat = \"{at} s\"\nfor = \"1 s\"\n{rest}\n")
}

/// The returns of processes that found a journal of before.
fn returned(history: &History) -> Vec<Return> {
    let again = |of: &Return| {
        of.trust.as_ref().is_some_and(|trust| !trust.findings.contains(&RecoveryFinding::Empty))
    };
    history.returns().into_iter().filter(again).collect()
}

/// Each return went through its stages in their order, and those that were not cut short by another loss to the end.
fn in_order(report: &Report, whole: usize) {
    let order = [
        RecoveryPhase::QueryingPeers,
        RecoveryPhase::AwaitingEndpoints,
        RecoveryPhase::DrainingBacklog,
        RecoveryPhase::AdmittingGradually,
    ];
    let returned = returned(&report.history);
    for of in &returned {
        let stages: Vec<RecoveryPhase> = of.steps.iter().map(|(_, step)| step.phase).collect();
        assert_eq!(stages, order[..stages.len()], "{}", report.history.text());
    }
    let to_the_end = returned.iter().filter(|of| of.steps.len() == 4).count();
    assert!(to_the_end >= whole, "{to_the_end} of {whole}\n{}", report.history.text());
}

/// All lose power, some of them again while they come back, and then one building.
fn again_and_again(parts: &str) -> Scenario {
    let faults =
        [loss(5, "back = \"500 ms\""), loss(8, "share = \"60%\""), loss(16, "building = \"building-a\"")];
    day(26, parts, &faults.concat())
}

fn judge_again_and_again(report: &Report) {
    assert!(report.verdict.kept, "{}\n{}", report.text(), report.history.text());
    let returned = returned(&report.history);
    // Five, three, and the three of a building.
    assert_eq!(returned.len(), 11, "{}", report.history.text());
    for of in &returned {
        let trust = of.trust.as_ref().unwrap();
        assert_eq!(
            (trust.machine, trust.journal),
            (BootComparison::Rebooted, JournalTrust::Complete),
            "{}",
            report.history.text()
        );
    }
    in_order(report, 8);
    // The building's senders asked in time, and heard the time from those that never stopped.
    assert!(returned[8..].iter().all(|of| of.steps[0].1.end == PhaseEnd::Completed));
    assert!(
        returned[8..].iter().all(|of| of.trust.as_ref().unwrap().clock_offset_us.is_some()),
        "{}",
        report.history.text()
    );
}

/// Guards against a return that pushes partners over, loses or doubles a message, or goes through its stages in another
/// order, also where power fails again in the midst of it.
#[test]
fn a_fleet_that_lost_power_returns_in_order() {
    for seed in 1..=6 {
        judge_again_and_again(&common::play(Plan::new(again_and_again(MACHINE), seed)));
    }
}

/// Guards against a return that works in simulated time alone: five real processes, killed, their folders cut back to
/// what they had synced.
#[test]
fn real_processes_that_lost_power_return_in_order() {
    let plan = Plan::new(again_and_again(MACHINE), 11);
    let report = live::run(plan, Some(daemon())).unwrap();
    judge_again_and_again(&report);
}

/// Guards against clocks that are believed after a loss of power: hours ahead or behind, over told waits, deadlines and
/// windows in which a key is known.
#[test]
fn clocks_that_stand_hours_off_break_no_rule() {
    let errors = "[[fault]]\nkind = \"errors\"\nat = \"2 s\"\nfor = \"12 s\"\ncalls = \"20%\"\n";
    let full = "[[fault]]\nkind = \"full\"\nat = \"3 s\"\nfor = \"5 s\"\ncalls = \"30%\"\n";
    let faults = [errors.to_owned(), full.to_owned(), loss(6, "back = \"1 s\"\nclock = \"3 h\"")].concat();
    for seed in 1..=8 {
        let report = common::play(Plan::new(day(20, MACHINE, &faults), seed));
        assert!(report.verdict.kept, "seed {seed}\n{}", report.text());
        assert_eq!(returned(&report.history).len(), 5);
        let off = returned(&report.history)
            .iter()
            .all(|of| of.trust.as_ref().unwrap().clock != ClockTrust::Trusted);
        assert!(off, "seed {seed}\n{}", report.history.text());
    }
}

/// Guards against a tenth that never comes back holding up the rest, and against one whose folder is lost or old being
/// taken for what it was.
#[test]
fn those_that_are_gone_or_have_forgotten_hold_nobody_up() {
    let faults = [
        loss(5, "never = \"20%\""),
        loss(12, "senders = [0]\nfolder = \"lost\""),
        loss(16, "senders = [1]\nfolder = \"older\""),
    ];
    let parts = format!("{MACHINE}list_for = \"1 s\"\n");
    let mut judged = 0;
    for seed in 1..=4 {
        let report = common::play(Plan::new(day(28, &parts, &faults.concat()), seed));
        assert!(report.verdict.kept, "seed {seed}\n{}", report.text());
        let returns = report.history.returns();
        let back = |sender: u32, from: u64| {
            returns
                .iter()
                .find(|of| of.sender == sender && of.started >= from * SECOND)
                .and_then(|of| of.trust.clone())
        };
        for (sender, from) in [(0, 12), (1, 16)] {
            let Some(trust) = back(sender, from) else { continue };
            let older = trust
                .findings
                .iter()
                .any(|finding| matches!(finding, RecoveryFinding::OutdatedFolder { .. }));
            assert!(
                older && trust.journal == JournalTrust::Incomplete,
                "seed {seed}, sender {sender}: {trust:?}"
            );
            judged += 1;
        }
        in_order(&report, 4);
        let last = returns.last().unwrap();
        assert!(last.started < 20 * SECOND, "{last:?}");
    }
    assert!(judged >= 4, "{judged}");
}

/// Guards against a return that waits for peers whose links are cut or break, or that takes half a word for one.
#[test]
fn a_building_that_is_cut_off_as_it_returns_serves_alone() {
    for (kind, rest) in [("cut", ""), ("break", "every = \"50 ms\"\n")] {
        let link = format!(
            "[[fault]]\nkind = \"{kind}\"\nat = \"6 s\"\nfor = \"6 s\"\nbuilding = \"building-a\"\n{rest}"
        );
        let faults = [link, loss(6, "building = \"building-a\"\nclock = \"3 h\"")].concat();
        for seed in 1..=4 {
            let report = common::play(Plan::new(day(22, MACHINE, &faults), seed));
            assert!(report.verdict.kept, "{kind}, seed {seed}\n{}", report.text());
            in_order(&report, 3);
            for of in returned(&report.history) {
                let asked = of.steps[0].1.took_us;
                assert!(asked <= SECOND + SECOND / 10, "{kind}, seed {seed}: {asked}");
                let told = of.trust.unwrap().clock_offset_us.is_some();
                assert!(kind != "cut" || !told, "{kind}, seed {seed}: nobody can have told the time");
            }
        }
    }
}

/// Guards against one building's return that believes its clocks, or does not ask those that never stopped, who tell the time.
#[test]
fn a_building_is_told_the_time_by_the_other() {
    let errors = "[[fault]]\nkind = \"errors\"\nat = \"2 s\"\nfor = \"12 s\"\ncalls = \"30%\"\n".to_owned();
    let mut off = 0;
    let faults =
        [errors, loss(6, "building = \"building-a\"\nclock = \"3 h\"\nwith_partners = true")].concat();
    for seed in 1..=8 {
        let report = common::play(Plan::new(day(20, MACHINE, &faults), seed));
        assert!(report.verdict.kept, "seed {seed}\n{}", report.text());
        let returned = returned(&report.history);
        assert_eq!(returned.len(), 3);
        for of in returned {
            let trust = of.trust.unwrap();
            assert!(
                trust.clock_offset_us.is_some(),
                "seed {seed}: the other building tells the time: {trust:?}"
            );
            let (ClockTrust::Skewed(by) | ClockTrust::Behind(by)) = trust.clock else { continue };
            let told = trust.clock_offset_us.unwrap().unsigned_abs();
            assert!(told > 5 * SECOND && by > SECOND, "seed {seed}: {trust:?}");
            off += 1;
        }
    }
    assert!(off >= 8, "of 24 clocks that are off by up to 3 h, {off} were seen to be");
}

/// Guards against a return that works where nothing else goes wrong alone: real processes of which one never comes back, one
/// has lost its folder and one has an older copy.
#[test]
fn real_processes_that_forgot_hold_nobody_up() {
    let faults = [
        loss(4, "back = \"2 s\"\nnever = \"20%\""),
        loss(12, "senders = [0, 1]\nfolder = \"lost\""),
        loss(18, "senders = [2, 3]\nfolder = \"older\""),
    ];
    let report = live::run(Plan::new(day(26, MACHINE, &faults.concat()), 3), Some(daemon())).unwrap();
    assert!(report.verdict.kept, "{}\n{}", report.text(), report.history.text());
    let (mut forgot, mut away) = (0, 0);
    for of in report.history.returns() {
        let Some(trust) = of.trust else { continue };
        forgot += usize::from(
            trust.findings.iter().any(|finding| matches!(finding, RecoveryFinding::OutdatedFolder { .. })),
        );
        away += usize::from(trust.machine == BootComparison::Rebooted);
    }
    // Of the four that are struck later one may be gone for good.
    assert!(forgot >= 3 && away >= 4, "{forgot} {away}\n{}", report.history.text());
}

/// Guards against a sync that fails, hangs or is refused being taken for done: power is lost right after, or in the midst of
/// it. And against a proof that proves nothing: a disk that lies is convicted.
#[test]
fn syncs_that_fail_or_hang_cost_nothing_that_was_acknowledged() {
    let days = |kind: &str| {
        let sync = format!("[[fault]]\nkind = \"{kind}\"\nat = \"4 s\"\nfor = \"5 s\"\nshare = \"60%\"\n");
        let faults = [sync, loss(8, "back = \"1 s\""), loss(12, "share = \"60%\"")].concat();
        let plays = (1..=6).map(|seed| common::play(Plan::new(day(20, MACHINE, &faults), seed)));
        plays.map(|report| (report.verdict.kept, report.text())).collect::<Vec<_>>()
    };
    for kind in ["sync-fails", "sync-hangs"] {
        for (kept, text) in days(kind) {
            assert!(kept, "{kind}\n{text}");
        }
    }
    assert!(days("sync-lies").iter().any(|(kept, _)| !kept), "a disk that lies loses what was acknowledged");
}

/// Guards against a return that waits for discovery, or that a full disk or a platform that hears nothing keeps from ending
/// what is owed.
#[test]
fn a_return_without_discovery_or_room_is_one_all_the_same() {
    let silent = "[[fault]]\nkind = \"list-silent\"\nat = \"6 s\"\nfor = \"20 s\"\n";
    let full = "[[fault]]\nkind = \"disk-full\"\nat = \"7500 ms\"\nfor = \"3 s\"\nshare = \"60%\"\n";
    for (what, fault) in [("silent", silent), ("full", full)] {
        let faults = [fault.to_owned(), loss(6, "back = \"1 s\"")].concat();
        for seed in 1..=4 {
            let report = common::play(Plan::new(day(27, MACHINE, &faults), seed));
            assert!(report.verdict.kept, "{what}, seed {seed}\n{}", report.text());
            in_order(&report, 5);
            let late = returned(&report.history).iter().all(|of| of.steps[1].1.end == PhaseEnd::TimedOut);
            assert!(what != "silent" || late, "{}", report.history.text());
        }
    }
}

/// Guards against a sender that sends again what may have run, as its journal was not written to outlast the machine; and
/// against a proof that proves nothing: the same days without this part are convicted of it.
#[test]
fn under_process_nothing_runs_twice_where_it_is_waited_out() {
    let days = |parts: &str| {
        let errors =
            "[[fault]]\nkind = \"errors\"\nat = \"4 s\"\nfor = \"12 s\"\ncalls = \"20%\"\n".to_owned();
        let faults = [errors, loss(8, "back = \"2 s\""), loss(13, "share = \"60%\"")].concat();
        let mut broken = std::collections::BTreeMap::<Invariant, usize>::new();
        for seed in 1..=12 {
            let report = common::play(Plan::new(day(24, parts, &faults), seed));
            for (rule, count) in report.verdict.broken {
                *broken.entry(rule).or_default() += count;
            }
        }
        println!("{parts:?}: {broken:?}");
        broken
    };
    let without = days("");
    assert!(without.contains_key(&Invariant::Duplicated), "{without:?}");
    let with = days("[operator.recovery]\nwait_out = \"13 s\"\n");
    assert!(
        !with.contains_key(&Invariant::Duplicated) && !with.contains_key(&Invariant::SentAfterEnd),
        "{with:?}"
    );
    // What was acknowledged and never synced is gone: no part can bring that back.
    assert!(with.contains_key(&Invariant::Lost), "{with:?}");
}
