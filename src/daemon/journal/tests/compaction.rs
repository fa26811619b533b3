//! Tests of what a compaction preserves.
use super::{NOW, ids, message, open};
use crate::daemon::journal::{Attempt, CorruptionReport};
use micadrum_recovery::JournalStamp;

/// Guards against losing a stamp, a time or a deadline in a compaction, and against applying bounds of an
/// earlier clock to later messages.
#[test]
fn compaction_preserves_stamp_times_and_deadlines() {
    let folder = tempfile::tempdir().unwrap();
    let stamp =
        |wall| JournalStamp { sender: "n1".to_owned(), boot: None, wall, survives_machine_crash: true };
    let (mut journal, _) = open(folder.path());
    assert!(journal.is_empty() && journal.last_stamp().is_none());
    journal.stamp(stamp(NOW)).unwrap();
    assert!(!journal.is_empty());
    let first = journal.accept(message("a", 10)).unwrap();
    journal.record_acceptance_bound(NOW + 5).unwrap();
    let second = journal.accept(message("b", 10)).unwrap();
    journal.set_uncertain_attempt(second, Attempt { started_at: NOW + 6, zone: "z".to_owned() }).unwrap();
    journal.set_deadline(second, NOW + 77).unwrap();
    journal.rewrite().unwrap();
    drop(journal);
    let (mut journal, _) = open(folder.path());
    assert_eq!((journal.last_stamp(), journal.latest_time()), (Some(&stamp(NOW)), NOW + 5));
    assert_eq!(
        (journal.accepted_not_before(first), journal.accepted_not_before(second)),
        (None, Some(NOW + 5))
    );
    let pending = journal.get(second).unwrap();
    assert_eq!(
        (pending.deadline, pending.first_uncertain_attempt.as_ref().map(|first| first.started_at)),
        (NOW + 77, Some(NOW + 6))
    );
    // The clock is stepped back: only times after the new stamp count.
    journal.reset_clock(NOW - 9_000);
    journal.stamp(stamp(NOW - 9_000)).unwrap();
    assert_eq!((journal.accepted_not_before(second), journal.latest_time()), (None, NOW - 9_000));
    journal.record_acceptance_bound(NOW - 8_000).unwrap();
    let third = journal.accept(message("c", 10)).unwrap();
    assert_eq!(
        (journal.accepted_not_before(second), journal.accepted_not_before(third)),
        (None, Some(NOW - 8_000))
    );
}

/// Guards against delivering a message again after a restart or a compaction because its ID was lost.
#[test]
fn completed_ids_survive_reopening_and_compaction() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(folder.path());
    for id in ["a", "b"] {
        let number = journal.accept(message(id, 10)).unwrap();
        journal.complete(number, NOW).unwrap();
    }
    let still_pending = journal.accept(message("c", 10)).unwrap();
    drop(journal);
    let (mut journal, _) = open(folder.path());
    journal.compact();
    drop(journal);
    let (mut journal, report) = open(folder.path());
    assert_eq!((ids(&journal), report), (vec!["c"], CorruptionReport::default()));
    assert_eq!(["a", "b", "c", "d"].map(|id| journal.is_completed(id)), [true, true, false, false]);
    journal.complete(still_pending, NOW + 31_000_000).unwrap();
    assert_eq!(
        ["a", "b", "c"].map(|id| journal.is_completed(id)),
        [false, false, true],
        "a and b have expired"
    );
}
