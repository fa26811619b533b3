use super::*;

const RECORD: u64 = 300;

fn write(slices: &mut CheckpointSchedule, ids: &[EndpointId], written: &mut BTreeSet<EndpointId>) {
    for id in ids {
        if slices.fits(RECORD) {
            slices.wrote(RECORD);
            written.insert(*id);
        }
    }
}

/// Works until nothing is left to do; the longest slice, and what the last file that was begun holds.
fn work(slices: &mut CheckpointSchedule, all: u32, now: &mut u64) -> (usize, BTreeSet<EndpointId>, bool) {
    let (mut longest, mut written, mut whole) = (0, BTreeSet::new(), false);
    while let Some(due) = slices.due() {
        *now = (*now).max(due.0);
        match slices.next(Timestamp(*now)).expect("it was due") {
            Next::Begin => {
                written.clear();
                slices.begun(20, (0..all).map(EndpointId).collect());
            }
            Next::Write(ids) => {
                longest = longest.max(ids.len());
                write(slices, &ids, &mut written);
            }
            Next::Finish => whole = slices.finished(),
        }
    }
    (longest, written, whole)
}

/// Guards against a loop that is held up by all that is remembered, and against an endpoint that no slice has.
#[test]
fn all_is_written_in_slices() {
    for all in [0, 1, 63, 64, 65, 10_000] {
        let mut slices = CheckpointSchedule::new(1 << 30);
        let mut now = 0;
        let (longest, written, whole) = work(&mut slices, all, &mut now);
        assert!(longest <= SLICE && written.len() == all as usize && whole, "{all}: {longest}");
        assert_eq!(slices.due(), None, "nothing has changed");
        let before = now;
        slices.changed(EndpointId(3));
        assert!(slices.next(Timestamp(before)).is_none(), "a pause after the last slice");
        let (longest, written, _) = work(&mut slices, all, &mut now);
        assert_eq!((longest, written.len(), now), (1, 1, before + PAUSE));
    }
}

/// Guards against a file that grows by what changes, or is written anew all the time.
#[test]
fn a_file_is_written_anew_when_it_has_doubled() {
    let (most, mut now) = (60_000, 0);
    let mut slices = CheckpointSchedule::new(most);
    work(&mut slices, 30, &mut now);
    let (mut begun, mut longest) = (0, 0);
    for n in 0..2_000 {
        slices.changed(EndpointId(n % 30));
        let before = slices.new_length;
        work(&mut slices, 30, &mut now);
        begun += usize::from(slices.length < longest && before > 0);
        longest = slices.length;
        assert!(slices.length <= most, "{}", slices.length);
    }
    assert!((5..100).contains(&begun), "{begun} times anew for 600 KB of changes");
}

/// Guards against a file past its bound, and against taking one for whole that is not.
#[test]
fn what_does_not_fit_is_left_out() {
    let mut slices = CheckpointSchedule::new(10 * RECORD);
    let (_, written, whole) = work(&mut slices, 100, &mut 0);
    assert_eq!((written.len(), whole), (9, false));
    assert!(written.contains(&EndpointId(0)), "the first ones are kept");
    slices.given_up(Timestamp(7));
    assert_eq!(slices.due(), Some(Timestamp(7 + RETRY)));
    assert_eq!(slices.next(Timestamp(7 + RETRY)), Some(Next::Begin));
}
