use super::*;
use std::collections::BTreeSet;

/// Guards against a replay that is taken, or a late datagram that is not: beside a plain set of all that came.
#[test]
fn each_number_counts_once() {
    let (mut window, mut came, mut highest) = (Window::default(), BTreeSet::new(), 0u64);
    let mut chance = 12345u64;
    for _ in 0..200_000 {
        chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let draw = chance >> 33;
        let jump = if draw.is_multiple_of(97) { draw % 3000 } else { draw % 40 };
        let number = (highest + jump).saturating_sub(20);
        let new = number > 0 && number + BITS > highest && came.insert(number);
        assert_eq!(window.take(number), new, "{number} at {highest}");
        highest = highest.max(number);
    }
    assert!(window.take(u64::MAX) && !window.take(u64::MAX) && window.take(u64::MAX - 1));
}
