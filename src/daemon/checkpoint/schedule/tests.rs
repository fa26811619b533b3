use super::*;

const RECORD_BYTES: u64 = 300;

fn write(schedule: &mut CheckpointSchedule, ids: &[EndpointId], written: &mut BTreeSet<EndpointId>) {
    for id in ids {
        if schedule.check_fit(RECORD_BYTES) {
            schedule.bytes_written(RECORD_BYTES);
            written.insert(*id);
        }
    }
}

struct RunResult {
    longest_slice: usize,
    written: BTreeSet<EndpointId>,
    coverage: Coverage,
}

/// Runs steps until none is due, and returns the longest slice and the contents of the last file.
fn run_until_idle(schedule: &mut CheckpointSchedule, all: u32, now: &mut u64) -> RunResult {
    let mut result = RunResult { longest_slice: 0, written: BTreeSet::new(), coverage: Coverage::Partial };
    while let Some(due) = schedule.due() {
        *now = (*now).max(due.0);
        match schedule.next_step(Timestamp(*now)).expect("a step is due") {
            CheckpointStep::StartFile => {
                result.written.clear();
                schedule.file_started(20, (0..all).map(EndpointId).collect());
            }
            CheckpointStep::Write(ids) => {
                result.longest_slice = result.longest_slice.max(ids.len());
                write(schedule, &ids, &mut result.written);
            }
            CheckpointStep::FinishFile => result.coverage = schedule.file_finished(),
        }
    }
    result
}

/// Guards against writing a whole checkpoint in one step, which blocks the event loop, and against omitting
/// endpoints.
#[test]
fn all_endpoints_are_written_in_slices() {
    for all in [0, 1, 63, 64, 65, 10_000] {
        let mut schedule = CheckpointSchedule::new(1 << 30);
        let mut now = 0;
        let RunResult { longest_slice, written, coverage } = run_until_idle(&mut schedule, all, &mut now);
        assert!(
            longest_slice <= MAX_SLICE_ENDPOINTS
                && written.len() == all as usize
                && coverage == Coverage::Complete,
            "{all}: {longest_slice}"
        );
        assert_eq!(schedule.due(), None, "no endpoint has changed");
        let before = now;
        schedule.mark_changed(EndpointId(3));
        assert!(schedule.next_step(Timestamp(before)).is_none(), "the slice interval has not passed");
        let RunResult { longest_slice, written, .. } = run_until_idle(&mut schedule, all, &mut now);
        assert_eq!((longest_slice, written.len(), now), (1, 1, before + SLICE_INTERVAL_US));
    }
}

/// Guards against a file that grows without bound, or is rewritten after every change.
#[test]
fn file_is_rewritten_when_it_has_doubled() {
    let max_file_bytes = 60_000;
    let mut now = 0;
    let mut schedule = CheckpointSchedule::new(max_file_bytes);
    run_until_idle(&mut schedule, 30, &mut now);
    let (mut rewritten, mut longest) = (0, 0);
    for n in 0..2_000 {
        schedule.mark_changed(EndpointId(n % 30));
        let before = schedule.new_file_bytes;
        run_until_idle(&mut schedule, 30, &mut now);
        rewritten += usize::from(schedule.file_bytes < longest && before > 0);
        longest = schedule.file_bytes;
        assert!(schedule.file_bytes <= max_file_bytes, "{}", schedule.file_bytes);
    }
    assert!((5..100).contains(&rewritten), "rewritten {rewritten} times for 600 KB of changes");
}

/// Guards against a file that exceeds its limit, and against a partial file that is marked as complete.
#[test]
fn endpoints_that_do_not_fit_are_left_out() {
    let mut schedule = CheckpointSchedule::new(10 * RECORD_BYTES);
    let RunResult { written, coverage, .. } = run_until_idle(&mut schedule, 100, &mut 0);
    assert_eq!((written.len(), coverage), (9, Coverage::Partial));
    assert!(written.contains(&EndpointId(0)), "the first endpoints are kept");
    schedule.abandoned(Timestamp(7));
    assert_eq!(schedule.due(), Some(Timestamp(7 + RETRY_DELAY_US)));
    assert_eq!(schedule.next_step(Timestamp(7 + RETRY_DELAY_US)), Some(CheckpointStep::StartFile));
}
