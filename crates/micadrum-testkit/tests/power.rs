//! Senders that lose power: what was not synced may be gone, in part or whole, and names may be as they were before.
mod common;

use micadrum_membership::Event;
use micadrum_testkit::invariants::Invariant;
use micadrum_testkit::plan::Plan;
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::Scenario;

fn day(outlasts: &str, disk: &str) -> Scenario {
    let text = format!(
        "title = \"power\"\nlength = \"24 s\"\nsenders = 5\npartners = 6\ntraffic = \"60/s\"\n{disk}\
         [operator.durability]\noutlasts = \"{outlasts}\"\n\
         [[fault]]\nkind = \"errors\"\nat = \"4 s\"\nfor = \"12 s\"\ncalls = \"20%\"\n\
         [[fault]]\nkind = \"power-loss\"\nat = \"8 s\"\nfor = \"1 s\"\nback = \"2 s\"\n\
         [[fault]]\nkind = \"power-loss\"\nat = \"13 s\"\nfor = \"500 ms\"\nshare = \"60%\"\n"
    );
    Scenario::parse("power.toml", &text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

fn play(outlasts: &str, disk: &str, seed: u64) -> Report {
    common::play(Plan::new(day(outlasts, disk), seed))
}

/// Guards against an answer, a call or a notice that goes out before its record outlasts the machine: nothing that was
/// acknowledged is lost, nothing takes effect twice, also where the journal is written anew again and again.
#[test]
fn under_machine_a_power_loss_of_all_costs_nothing_that_was_acknowledged() {
    for disk in ["", "disk_mb = 0.2\n"] {
        for seed in 1..=12 {
            let report = play("machine", disk, seed);
            assert!(report.verdict.kept, "seed {seed} {disk}\n{}", report.text());
            assert_eq!(report.played.counts["ends of senders"], 8);
        }
    }
}

/// Guards against a life that a power loss takes back: with peers that all lost power too, nobody else would know it.
#[test]
fn lives_outlast_a_power_loss_of_the_whole_fleet() {
    let text = "title = \"lives\"\nlength = \"24 s\"\nsenders = 5\npartners = 3\ntraffic = \"5/s\"\n\
        [operator.durability]\noutlasts = \"machine\"\n[operator.peers]\n\
        [[fault]]\nkind = \"power-loss\"\nat = \"5 s\"\nfor = \"1 s\"\nback = \"2 s\"\n\
        [[fault]]\nkind = \"power-loss\"\nat = \"12 s\"\nfor = \"1 s\"\nback = \"2 s\"\n";
    for seed in 1..=6 {
        let report = common::play(Plan::new(Scenario::parse("lives.toml", text).unwrap(), seed));
        assert!(report.verdict.kept, "seed {seed}\n{}", report.text());
        for sender in 0..5 {
            let forgot =
                report.history.events(sender, 0).any(|(_, e)| matches!(e, Event::StateLossDetected { .. }));
            assert!(!forgot, "seed {seed}, sender {sender}\n{}", report.history.text());
        }
    }
}

/// Guards against a power loss that is none: the same seeds under `process` are convicted, of what they must be.
#[test]
fn under_process_the_same_is_convicted() {
    let mut broken = std::collections::BTreeMap::<Invariant, usize>::new();
    for seed in 1..=12 {
        for (rule, count) in play("process", "", seed).verdict.broken {
            *broken.entry(rule).or_default() += count;
        }
    }
    assert!(
        broken.contains_key(&Invariant::Lost) && broken.contains_key(&Invariant::Duplicated),
        "{broken:?}"
    );
}
