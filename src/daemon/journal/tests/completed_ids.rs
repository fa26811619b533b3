//! Tests of the retention of completed IDs.
use crate::daemon::journal::completed_ids::{CompletedIdLimits, CompletedIds};

fn completed_ids(max_ids: usize) -> CompletedIds {
    CompletedIds::new(CompletedIdLimits { max_ids, max_bytes: 1_000 })
}

fn ids(completed: &CompletedIds) -> Vec<String> {
    completed.iter().map(|completed| completed.id.to_string()).collect()
}

/// Guards against IDs that are retained forever, or dropped while a client may still submit them.
#[test]
fn ids_are_dropped_when_they_expire_or_exceed_the_limits() {
    let mut completed = completed_ids(3);
    completed.complete("long", 0, 100_000_000);
    completed.complete("short", 0, 1);
    completed.complete("short", 5, 1);
    assert!(completed.contains("long") && completed.contains("short"));
    completed.complete("other", 30_000_006, 0);
    assert!(completed.contains("long") && !completed.contains("short"), "the ID has expired");
    completed.complete("a", 30_000_007, 0);
    completed.complete("b", 30_000_008, 0);
    assert_eq!(ids(&completed), ["a", "b", "long"]);
    completed.complete(&"x".repeat(940), 30_000_009, 200_000_000);
    assert!(
        completed.bytes() <= 1_000 && !completed.contains("b") && completed.contains("long"),
        "{completed:?}"
    );
}

/// Guards against IDs that expire at once because the clock advanced by hours during a power loss.
#[test]
fn extended_ids_are_retained_after_a_clock_jump() {
    let mut completed = completed_ids(9);
    completed.complete("a", 0, 0);
    completed.complete("b", 0, 9_000_000_000_000);
    completed.extend_all(3_600_000_000);
    completed.complete("c", 3_600_000_001, 0);
    assert_eq!(ids(&completed), ["a", "c", "b"]);
}
