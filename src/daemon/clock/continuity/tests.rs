//! Tests of engine time across processes.
use super::*;

const BOOT: BootId = BootId([1; 16]);
const ANCHOR: ClockAnchor = ClockAnchor { boot: BOOT, monotonic_us: 5_000_000, engine_us: 1_000_000_000_000 };
const HOUR_US: u64 = 3_600_000_000;

fn previous() -> PreviousProcess {
    let latest_us = ANCHOR.engine_us + 2_000_000;
    PreviousProcess { anchor: Some(ANCHOR), latest_us, is_empty: false, hands_over: false }
}

/// Returns a reading three seconds after the anchor by the monotonic clock.
fn reading(wall_us: u64) -> ClockReading {
    ClockReading { boot: Some(BOOT), monotonic_us: ANCHOR.monotonic_us + 3_000_000, wall_us }
}

/// Guards against a step of the wall clock that changes the time elapsed between two processes.
#[test]
fn anchored_time_ignores_steps_of_the_wall_clock() {
    let expected =
        EngineTime { now_us: ANCHOR.engine_us + 3_000_000, continuity: ClockContinuity::Continued };
    for wall_us in [0, ANCHOR.engine_us - HOUR_US, ANCHOR.engine_us + 3_000_000, ANCHOR.engine_us + HOUR_US] {
        assert_eq!(continue_time(&previous(), reading(wall_us)), expected);
    }
}

/// Guards against continuing from an anchor of another boot, or from one that the monotonic clock or the
/// records contradict.
#[test]
fn invalid_anchor_makes_the_downtime_unknown() {
    let wall_us = ANCHOR.engine_us + 4_000_000;
    let other_boot = ClockReading { boot: Some(BootId([2; 16])), ..reading(wall_us) };
    let no_boot = ClockReading { boot: None, ..reading(wall_us) };
    let monotonic_reset = ClockReading { monotonic_us: 1, ..reading(wall_us) };
    let before_last_record =
        ClockReading { monotonic_us: ANCHOR.monotonic_us + 1_000_000, ..reading(wall_us) };
    for reading in [other_boot, no_boot, monotonic_reset, before_last_record] {
        let time = continue_time(&previous(), reading);
        assert_eq!(time, EngineTime { now_us: wall_us, continuity: ClockContinuity::Unknown });
    }
}

/// Guards against deadlines that a wrong wall clock moves by an hour.
#[test]
fn implausible_wall_clock_is_replaced_by_the_latest_recorded_time() {
    let unanchored = PreviousProcess { anchor: None, ..previous() };
    for wall_us in [unanchored.latest_us - 1, unanchored.latest_us + HOUR_US] {
        let time = continue_time(&unanchored, reading(wall_us));
        assert_eq!(time, EngineTime { now_us: unanchored.latest_us, continuity: ClockContinuity::Unknown });
    }
}

/// Guards against an unknown downtime on a first start, and on a handover from a version that writes no
/// anchors.
#[test]
fn first_start_and_handover_without_anchor_use_the_wall_time() {
    let first = PreviousProcess { anchor: None, latest_us: 0, is_empty: true, hands_over: false };
    let successor = PreviousProcess { anchor: None, hands_over: true, ..previous() };
    for previous in [first, successor] {
        let time = continue_time(&previous, reading(77));
        assert_eq!(time, EngineTime { now_us: 77, continuity: ClockContinuity::Continued });
    }
}
