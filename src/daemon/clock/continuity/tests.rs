//! Tests of how the engine's time goes on.
use super::*;

const BOOT: BootId = BootId([1; 16]);
const ANCHOR: ClockAnchor = ClockAnchor { boot: BOOT, monotonic_us: 5_000_000, engine_us: 1_000_000_000_000 };
const HOUR_US: u64 = 3_600_000_000;

fn previous() -> Previous {
    let latest_us = ANCHOR.engine_us + 2_000_000;
    Previous { anchor: Some(ANCHOR), latest_us, is_empty: false, hands_over: false }
}

/// Three seconds after the anchor, by the monotonic clock.
fn reading(wall_us: u64) -> ClockReading {
    ClockReading { boot: Some(BOOT), monotonic_us: ANCHOR.monotonic_us + 3_000_000, wall_us }
}

/// Guards against a span between two processes that a step of the wall clock stretches, shortens or turns round.
#[test]
fn the_wall_clock_does_not_move_a_time_that_is_anchored() {
    let expected =
        EngineTime { now_us: ANCHOR.engine_us + 3_000_000, continuity: ClockContinuity::Continued };
    for wall_us in [0, ANCHOR.engine_us - HOUR_US, ANCHOR.engine_us + 3_000_000, ANCHOR.engine_us + HOUR_US] {
        assert_eq!(continue_time(&previous(), reading(wall_us)), expected);
    }
}

/// Guards against times of another boot, or of a monotonic clock that began again, that are taken for this boot's.
#[test]
fn an_anchor_that_does_not_fit_is_not_continued() {
    let wall_us = ANCHOR.engine_us + 4_000_000;
    let other_boot = ClockReading { boot: Some(BootId([2; 16])), ..reading(wall_us) };
    let no_boot = ClockReading { boot: None, ..reading(wall_us) };
    let began_again = ClockReading { monotonic_us: 1, ..reading(wall_us) };
    let too_early = ClockReading { monotonic_us: ANCHOR.monotonic_us + 1_000_000, ..reading(wall_us) };
    for reading in [other_boot, no_boot, began_again, too_early] {
        let time = continue_time(&previous(), reading);
        assert_eq!(time, EngineTime { now_us: wall_us, continuity: ClockContinuity::Unknown });
    }
}

/// Guards against a message that is an hour late, or has an hour left, by a clock that nobody vouches for.
#[test]
fn a_wall_clock_that_cannot_be_true_is_not_believed() {
    let unanchored = Previous { anchor: None, ..previous() };
    for wall_us in [unanchored.latest_us - 1, unanchored.latest_us + HOUR_US] {
        let time = continue_time(&unanchored, reading(wall_us));
        assert_eq!(time, EngineTime { now_us: unanchored.latest_us, continuity: ClockContinuity::Unknown });
    }
}

/// Guards against doubts where there is nothing to doubt: a first start, and a handover from a version without anchors.
#[test]
fn a_first_process_and_a_successor_start_at_the_wall_time() {
    let first = Previous { anchor: None, latest_us: 0, is_empty: true, hands_over: false };
    let successor = Previous { anchor: None, hands_over: true, ..previous() };
    for previous in [first, successor] {
        let time = continue_time(&previous, reading(77));
        assert_eq!(time, EngineTime { now_us: 77, continuity: ClockContinuity::Continued });
    }
}
