//! Tests of the recovery of senders after their machines restart: the trust in the journal, the queries to
//! peers and the order of the phases, simulated and as real processes.
mod common;

use common::daemon;
use micadrum_recovery::journal_trust::{BootComparison, ClockTrust, JournalTrust, RecoveryFinding};
use micadrum_recovery::phases::{PhaseEnd, RecoveryPhase};
use micadrum_testkit::history::{History, ProcessRecovery};
use micadrum_testkit::invariants::Invariant;
use micadrum_testkit::live;
use micadrum_testkit::plan::Plan;
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::Scenario;

const SECOND: u64 = 1_000_000;

/// Returns a scenario of five senders that form a membership. `operator_tables` is added to the operator's
/// file.
fn scenario(length: u32, operator_tables: &str, faults: &str) -> Scenario {
    let text = format!(
        "title = \"recovery\"\nlength = \"{length} s\"\nsenders = 5\npartners = 6\ntraffic = \"40/s\"\n\
         crossing = \"2 ms\"\n[operator.peers]\n{operator_tables}{faults}"
    );
    Scenario::parse("recovery.toml", &text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

/// Tables of the operator's file that turn on recovery, with a journal that survives a power loss.
const RECOVERY_TABLES: &str = "[operator.durability]\noutlasts = \"machine\"\n[operator.recovery]\n";

/// Returns the text of a power loss of one second, `at` seconds after the start.
fn power_loss(at: u32, rest: &str) -> String {
    format!("[[fault]]\nkind = \"power-loss\"\nat = \"{at} s\"\nfor = \"1 s\"\n{rest}\n")
}

/// Returns the recoveries of processes that found an earlier journal in their state folder.
fn recoveries_with_journal(history: &History) -> Vec<ProcessRecovery> {
    let found_journal = |recovery: &ProcessRecovery| {
        recovery.trust.as_ref().is_some_and(|trust| !trust.findings.contains(&RecoveryFinding::Empty))
    };
    history.recoveries().into_iter().filter(found_journal).collect()
}

/// Asserts that each recovery went through the phases in order, and that at least `min_completed` recoveries
/// completed.
fn assert_phases_in_order(report: &Report, min_completed: usize) {
    let order = [
        RecoveryPhase::QueryingPeers,
        RecoveryPhase::AwaitingEndpoints,
        RecoveryPhase::DrainingBacklog,
        RecoveryPhase::AdmittingGradually,
    ];
    let recoveries = recoveries_with_journal(&report.history);
    for recovery in &recoveries {
        let phases: Vec<RecoveryPhase> = recovery.phases.iter().map(|(_, phase)| phase.phase).collect();
        assert_eq!(phases, order[..phases.len()], "{}", report.history.text());
    }
    let completed = recoveries.iter().filter(|recovery| recovery.phases.len() == 4).count();
    assert!(completed >= min_completed, "{completed} of {min_completed}\n{}", report.history.text());
}

/// Returns a scenario in which all senders lose power, then some of them during their recovery, then one
/// building.
fn repeated_power_losses(operator_tables: &str) -> Scenario {
    let faults = [
        power_loss(5, "back = \"500 ms\""),
        power_loss(8, "share = \"60%\""),
        power_loss(16, "building = \"building-a\""),
    ];
    scenario(26, operator_tables, &faults.concat())
}

/// Checks the report of [`repeated_power_losses`].
fn check_repeated_power_losses(report: &Report) {
    assert!(report.verdict.all_hold, "{}\n{}", report.text(), report.history.text());
    let recoveries = recoveries_with_journal(&report.history);
    // Five senders, then three, then the three of a building.
    assert_eq!(recoveries.len(), 11, "{}", report.history.text());
    for recovery in &recoveries {
        let trust = recovery.trust.as_ref().unwrap();
        assert_eq!(
            (trust.machine, trust.journal),
            (BootComparison::Rebooted, JournalTrust::Complete),
            "{}",
            report.history.text()
        );
    }
    assert_phases_in_order(report, 8);
    // The building's senders got answers in time, and the time from senders that did not lose power.
    assert!(recoveries[8..].iter().all(|recovery| recovery.phases[0].1.end == PhaseEnd::Completed));
    assert!(
        recoveries[8..].iter().all(|recovery| recovery.trust.as_ref().unwrap().clock_offset_us.is_some()),
        "{}",
        report.history.text()
    );
}

/// Guards against a recovery that overloads destinations, loses or duplicates a message, or runs its phases
/// out of order, also when power fails again during the recovery.
#[test]
fn a_fleet_recovers_from_repeated_power_losses_in_order() {
    for seed in 1..=6 {
        check_repeated_power_losses(&common::simulate(Plan::new(
            repeated_power_losses(RECOVERY_TABLES),
            seed,
        )));
    }
}

/// Guards against a recovery that works only in simulated time: five real processes are killed, and their
/// files truncated to what was synced and a random part of the rest.
#[test]
fn real_processes_recover_from_repeated_power_losses_in_order() {
    let plan = Plan::new(repeated_power_losses(RECOVERY_TABLES), 11);
    let report = live::run(plan, Some(daemon())).unwrap();
    check_repeated_power_losses(&report);
}

/// Guards against trust in a clock that is hours ahead or behind after a power loss: Retry-After times,
/// deadlines and the lifetimes of idempotency keys depend on it.
#[test]
fn clocks_that_are_hours_off_cause_no_violations() {
    let errors = "[[fault]]\nkind = \"errors\"\nat = \"2 s\"\nfor = \"12 s\"\ncalls = \"20%\"\n";
    let full = "[[fault]]\nkind = \"full\"\nat = \"3 s\"\nfor = \"5 s\"\ncalls = \"30%\"\n";
    let faults =
        [errors.to_owned(), full.to_owned(), power_loss(6, "back = \"1 s\"\nclock = \"3 h\"")].concat();
    for seed in 1..=8 {
        let report = common::simulate(Plan::new(scenario(20, RECOVERY_TABLES, &faults), seed));
        assert!(report.verdict.all_hold, "seed {seed}\n{}", report.text());
        assert_eq!(recoveries_with_journal(&report.history).len(), 5);
        let all_distrusted = recoveries_with_journal(&report.history)
            .iter()
            .all(|recovery| recovery.trust.as_ref().unwrap().clock != ClockTrust::Trusted);
        assert!(all_distrusted, "seed {seed}\n{}", report.history.text());
    }
}

/// Guards against a recovery that waits for senders that never restart, and against trust in a journal after
/// the state folder was lost or replaced by an older copy.
#[test]
fn recovery_completes_with_senders_missing_or_their_state_lost() {
    let faults = [
        power_loss(5, "never = \"20%\""),
        power_loss(12, "senders = [0]\nfolder = \"lost\""),
        power_loss(16, "senders = [1]\nfolder = \"older\""),
    ];
    let operator_tables = format!("{RECOVERY_TABLES}list_for = \"1 s\"\n");
    let mut checked = 0;
    for seed in 1..=4 {
        let report = common::simulate(Plan::new(scenario(28, &operator_tables, &faults.concat()), seed));
        assert!(report.verdict.all_hold, "seed {seed}\n{}", report.text());
        let recoveries = report.history.recoveries();
        let trust_after = |sender: u32, from: u64| {
            recoveries
                .iter()
                .find(|recovery| recovery.sender == sender && recovery.started >= from * SECOND)
                .and_then(|recovery| recovery.trust.clone())
        };
        for (sender, from) in [(0, 12), (1, 16)] {
            let Some(trust) = trust_after(sender, from) else { continue };
            let is_outdated = trust
                .findings
                .iter()
                .any(|finding| matches!(finding, RecoveryFinding::OutdatedFolder { .. }));
            assert!(
                is_outdated && trust.journal == JournalTrust::Incomplete,
                "seed {seed}, sender {sender}: {trust:?}"
            );
            checked += 1;
        }
        assert_phases_in_order(&report, 4);
        let last = recoveries.last().unwrap();
        assert!(last.started < 20 * SECOND, "{last:?}");
    }
    assert!(checked >= 4, "{checked}");
}

/// Guards against a recovery that waits for peers whose links are cut or break, or that accepts a truncated
/// answer.
#[test]
fn a_building_recovers_without_links_to_the_others() {
    for (kind, rest) in [("cut", ""), ("break", "every = \"50 ms\"\n")] {
        let link = format!(
            "[[fault]]\nkind = \"{kind}\"\nat = \"6 s\"\nfor = \"6 s\"\nbuilding = \"building-a\"\n{rest}"
        );
        let faults = [link, power_loss(6, "building = \"building-a\"\nclock = \"3 h\"")].concat();
        for seed in 1..=4 {
            let report = common::simulate(Plan::new(scenario(22, RECOVERY_TABLES, &faults), seed));
            assert!(report.verdict.all_hold, "{kind}, seed {seed}\n{}", report.text());
            assert_phases_in_order(&report, 3);
            for recovery in recoveries_with_journal(&report.history) {
                let query_us = recovery.phases[0].1.took_us;
                assert!(query_us <= SECOND + SECOND / 10, "{kind}, seed {seed}: {query_us}");
                let has_offset = recovery.trust.unwrap().clock_offset_us.is_some();
                assert!(
                    kind != "cut" || !has_offset,
                    "{kind}, seed {seed}: no peer could have sent its time"
                );
            }
        }
    }
}

/// Guards against a recovering building that trusts its own clocks instead of asking the senders that kept
/// running.
#[test]
fn a_recovering_building_gets_the_time_from_the_other_building() {
    let errors = "[[fault]]\nkind = \"errors\"\nat = \"2 s\"\nfor = \"12 s\"\ncalls = \"30%\"\n".to_owned();
    let mut detected = 0;
    let faults =
        [errors, power_loss(6, "building = \"building-a\"\nclock = \"3 h\"\nwith_partners = true")].concat();
    for seed in 1..=8 {
        let report = common::simulate(Plan::new(scenario(20, RECOVERY_TABLES, &faults), seed));
        assert!(report.verdict.all_hold, "seed {seed}\n{}", report.text());
        let recoveries = recoveries_with_journal(&report.history);
        assert_eq!(recoveries.len(), 3);
        for recovery in recoveries {
            let trust = recovery.trust.unwrap();
            assert!(
                trust.clock_offset_us.is_some(),
                "seed {seed}: the other building did not send the time: {trust:?}"
            );
            let (ClockTrust::Skewed(skew_us) | ClockTrust::Behind(skew_us)) = trust.clock else { continue };
            let offset_us = trust.clock_offset_us.unwrap().unsigned_abs();
            assert!(offset_us > 5 * SECOND && skew_us > SECOND, "seed {seed}: {trust:?}");
            detected += 1;
        }
    }
    assert!(detected >= 8, "{detected} of 24 clocks that are off by up to 3 h were detected");
}

/// Guards against a recovery of real processes that fails when one sender never restarts, and others restart
/// with a lost or an older state folder.
#[test]
fn real_processes_recover_with_a_sender_missing_or_their_state_lost() {
    let faults = [
        power_loss(4, "back = \"2 s\"\nnever = \"20%\""),
        power_loss(12, "senders = [0, 1]\nfolder = \"lost\""),
        power_loss(18, "senders = [2, 3]\nfolder = \"older\""),
    ];
    let report =
        live::run(Plan::new(scenario(26, RECOVERY_TABLES, &faults.concat()), 3), Some(daemon())).unwrap();
    assert!(report.verdict.all_hold, "{}\n{}", report.text(), report.history.text());
    let (mut outdated, mut rebooted) = (0, 0);
    for recovery in report.history.recoveries() {
        let Some(trust) = recovery.trust else { continue };
        outdated += usize::from(
            trust.findings.iter().any(|finding| matches!(finding, RecoveryFinding::OutdatedFolder { .. })),
        );
        rebooted += usize::from(trust.machine == BootComparison::Rebooted);
    }
    // One of the four senders with the later faults may be the one that never restarts.
    assert!(outdated >= 3 && rebooted >= 4, "{outdated} {rebooted}\n{}", report.history.text());
}

/// Guards against treating a failed or hanging sync as complete when power is lost during or right after it.
/// A disk that reports success without syncing must cause violations.
#[test]
fn failed_or_hanging_syncs_lose_no_acknowledged_message() {
    let simulate_all = |kind: &str| {
        let sync = format!("[[fault]]\nkind = \"{kind}\"\nat = \"4 s\"\nfor = \"5 s\"\nshare = \"60%\"\n");
        let faults = [sync, power_loss(8, "back = \"1 s\""), power_loss(12, "share = \"60%\"")].concat();
        let reports =
            (1..=6).map(|seed| common::simulate(Plan::new(scenario(20, RECOVERY_TABLES, &faults), seed)));
        reports.map(|report| (report.verdict.all_hold, report.text())).collect::<Vec<_>>()
    };
    for kind in ["sync-fails", "sync-hangs"] {
        for (all_hold, text) in simulate_all(kind) {
            assert!(all_hold, "{kind}\n{text}");
        }
    }
    assert!(
        simulate_all("sync-lies").iter().any(|(all_hold, _)| !all_hold),
        "a disk that ignores syncs must lose acknowledged messages"
    );
}

/// Guards against a recovery that waits for discovery, or leaves messages without an end when the disk is
/// full.
#[test]
fn recovery_completes_without_discovery_or_with_a_full_disk() {
    let silent = "[[fault]]\nkind = \"list-silent\"\nat = \"6 s\"\nfor = \"20 s\"\n";
    let full = "[[fault]]\nkind = \"disk-full\"\nat = \"7500 ms\"\nfor = \"3 s\"\nshare = \"60%\"\n";
    for (name, fault) in [("silent", silent), ("full", full)] {
        let faults = [fault.to_owned(), power_loss(6, "back = \"1 s\"")].concat();
        for seed in 1..=4 {
            let report = common::simulate(Plan::new(scenario(27, RECOVERY_TABLES, &faults), seed));
            assert!(report.verdict.all_hold, "{name}, seed {seed}\n{}", report.text());
            assert_phases_in_order(&report, 5);
            let timed_out = recoveries_with_journal(&report.history)
                .iter()
                .all(|recovery| recovery.phases[1].1.end == PhaseEnd::TimedOut);
            assert!(name != "silent" || timed_out, "{}", report.history.text());
        }
    }
}

/// Guards against a sender with an unsynced journal that repeats an attempt that may have taken effect before
/// a power loss. The same scenario without `wait_out` must show duplicates, or the test would detect nothing.
#[test]
fn wait_out_prevents_duplicates_with_durability_process() {
    let violation_counts = |operator_tables: &str| {
        let errors =
            "[[fault]]\nkind = \"errors\"\nat = \"4 s\"\nfor = \"12 s\"\ncalls = \"20%\"\n".to_owned();
        let faults = [errors, power_loss(8, "back = \"2 s\""), power_loss(13, "share = \"60%\"")].concat();
        let mut counts = std::collections::BTreeMap::<Invariant, usize>::new();
        for seed in 1..=12 {
            let report = common::simulate(Plan::new(scenario(24, operator_tables, &faults), seed));
            for (invariant, count) in report.verdict.violation_counts {
                *counts.entry(invariant).or_default() += count;
            }
        }
        println!("{operator_tables:?}: {counts:?}");
        counts
    };
    let without = violation_counts("");
    assert!(without.contains_key(&Invariant::Duplicated), "{without:?}");
    let with = violation_counts("[operator.recovery]\nwait_out = \"13 s\"\n");
    assert!(
        !with.contains_key(&Invariant::Duplicated) && !with.contains_key(&Invariant::SentAfterEnd),
        "{with:?}"
    );
    // Messages that were acknowledged but not synced are lost with any setting of recovery.
    assert!(with.contains_key(&Invariant::Lost), "{with:?}");
}
