//! Tests of power losses, after which unsynced data may be lost in whole or in part and renames may be
//! undone.
mod common;

use micadrum_membership::Event;
use micadrum_testkit::invariants::Invariant;
use micadrum_testkit::plan::Plan;
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::Scenario;

fn scenario(outlasts: &str, disk: &str) -> Scenario {
    let text = format!(
        "title = \"power\"\nlength = \"24 s\"\nsenders = 5\npartners = 6\ntraffic = \"60/s\"\n{disk}\
         [operator.durability]\noutlasts = \"{outlasts}\"\n\
         [[fault]]\nkind = \"errors\"\nat = \"4 s\"\nfor = \"12 s\"\ncalls = \"20%\"\n\
         [[fault]]\nkind = \"power-loss\"\nat = \"8 s\"\nfor = \"1 s\"\nback = \"2 s\"\n\
         [[fault]]\nkind = \"power-loss\"\nat = \"13 s\"\nfor = \"500 ms\"\nshare = \"60%\"\n"
    );
    Scenario::parse("power.toml", &text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

fn simulate(outlasts: &str, disk: &str, seed: u64) -> Report {
    common::simulate(Plan::new(scenario(outlasts, disk), seed))
}

/// Guards against an answer, a call or a notification that is sent before its record is synced: acknowledged
/// messages would be lost or duplicated. A small disk forces frequent rewrites of the journal.
#[test]
fn power_losses_violate_no_invariant_with_durability_machine() {
    for disk in ["", "disk_mb = 0.2\n"] {
        for seed in 1..=12 {
            let report = simulate("machine", disk, seed);
            assert!(report.verdict.all_hold, "seed {seed} {disk}\n{}", report.text());
            assert_eq!(report.results.counts["ends of senders"], 8);
        }
    }
}

/// Guards against an incarnation number that a power loss of the whole fleet resets, as no peer would know
/// it.
#[test]
fn incarnations_survive_a_power_loss_of_the_whole_fleet() {
    let text = "title = \"lives\"\nlength = \"24 s\"\nsenders = 5\npartners = 3\ntraffic = \"5/s\"\n\
        [operator.durability]\noutlasts = \"machine\"\n[operator.peers]\n\
        [[fault]]\nkind = \"power-loss\"\nat = \"5 s\"\nfor = \"1 s\"\nback = \"2 s\"\n\
        [[fault]]\nkind = \"power-loss\"\nat = \"12 s\"\nfor = \"1 s\"\nback = \"2 s\"\n";
    for seed in 1..=6 {
        let report = common::simulate(Plan::new(Scenario::parse("lives.toml", text).unwrap(), seed));
        assert!(report.verdict.all_hold, "seed {seed}\n{}", report.text());
        for sender in 0..5 {
            let lost_state =
                report.history.events(sender, 0).any(|(_, e)| matches!(e, Event::StateLossDetected { .. }));
            assert!(!lost_state, "seed {seed}, sender {sender}\n{}", report.history.text());
        }
    }
}

/// Guards against simulated power losses that lose no data: without syncs the same seeds must show
/// violations.
#[test]
fn power_losses_lose_and_duplicate_messages_with_durability_process() {
    let mut violation_counts = std::collections::BTreeMap::<Invariant, usize>::new();
    for seed in 1..=12 {
        for (invariant, count) in simulate("process", "", seed).verdict.violation_counts {
            *violation_counts.entry(invariant).or_default() += count;
        }
    }
    assert!(
        violation_counts.contains_key(&Invariant::Lost)
            && violation_counts.contains_key(&Invariant::Duplicated),
        "{violation_counts:?}"
    );
}
