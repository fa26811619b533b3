use super::*;

/// Guards against ids that are kept for ever, or forgotten while a client may still come with them.
#[test]
fn ids_are_kept_for_their_time_and_in_their_room() {
    let mut over = CompletedIds::new(3, 1_000);
    over.add("long", 0, 100_000_000);
    over.add("short", 0, 1);
    over.add("short", 5, 1);
    assert!(over.holds("long") && over.holds("short"));
    over.add("other", 30_000_006, 0);
    assert!(over.holds("long") && !over.holds("short"), "its time was up");
    over.add("a", 30_000_007, 0);
    over.add("b", 30_000_008, 0);
    assert_eq!(over.iter().map(|(id, _)| &**id).collect::<Vec<_>>(), ["a", "b", "long"]);
    over.add(&"x".repeat(940), 30_000_009, 200_000_000);
    assert!(over.bytes() <= 1_000 && !over.holds("b") && over.holds("long"), "{over:?}");
}

/// Guards against ids that are forgotten at once, as the clock has moved on by hours over a loss of power.
#[test]
fn ids_of_before_a_jump_of_the_clock_are_kept() {
    let mut over = CompletedIds::new(9, 1_000);
    over.add("a", 0, 0);
    over.add("b", 0, 9_000_000_000_000);
    over.all_from(3_600_000_000);
    over.add("c", 3_600_000_001, 0);
    assert_eq!(over.iter().map(|(id, _)| &**id).collect::<Vec<_>>(), ["a", "c", "b"]);
}
