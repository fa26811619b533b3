//! Tests of holding notifications whose outcomes are not recorded.
use super::*;
use crate::daemon::journal::FinalOutcome;

fn end(number: u32) -> Notification {
    Notification { number, id: format!("m{number}"), outcome: FinalOutcome::Returned(None) }
}

fn numbers(ends: Vec<Notification>) -> Vec<u32> {
    ends.into_iter().map(|end| end.number).collect()
}

/// Guards against a notification that is sent although a restarted process would send its message again, and
/// against one that is never sent.
#[test]
fn an_end_waits_for_its_record_or_its_deadline() {
    let mut repair = JournalRepair::default();
    repair.hold_end(Timestamp(30), end(1));
    repair.hold_end(Timestamp(10), end(2));
    repair.hold_end(Timestamp(20), end(3));
    assert_eq!(numbers(repair.release_ends(true, Timestamp(9))), [0; 0]);
    assert_eq!(numbers(repair.release_ends(true, Timestamp(20))), [2, 3], "released at its deadline");
    assert_eq!(repair.first_deadline(), Some(Timestamp(30)));
    assert_eq!(numbers(repair.release_ends(false, Timestamp(22))), [1]);
    assert_eq!(repair.first_deadline(), None);
}
