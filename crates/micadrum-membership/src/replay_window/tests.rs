use super::*;
use std::collections::BTreeSet;

/// Guards against accepting a replay and against rejecting a late datagram, by comparison with a set of all
/// accepted numbers.
#[test]
fn each_sequence_number_is_accepted_once() {
    let (mut window, mut accepted, mut highest) = (ReplayWindow::default(), BTreeSet::new(), 0u64);
    let mut random = 12345u64;
    for _ in 0..200_000 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let draw = random >> 33;
        let jump = if draw.is_multiple_of(97) { draw % 3000 } else { draw % 40 };
        let number = (highest + jump).saturating_sub(20);
        let is_new = number > 0 && number + WINDOW_BITS > highest && accepted.insert(number);
        assert_eq!(window.accept(number), is_new, "{number} at {highest}");
        highest = highest.max(number);
    }
    assert!(window.accept(u64::MAX) && !window.accept(u64::MAX) && window.accept(u64::MAX - 1));
}
