//! Tests of reopening a journal: progress of messages, damaged files, and attempts that were not recorded or
//! were deferred.
use super::{NOW, attempt, ids, message, open};
use crate::daemon::frame::append_frame;
use crate::daemon::journal::record::Record;
use crate::daemon::journal::{AttemptEffect, CorruptionReport, NAME};
use std::fs::File;

/// Guards against losing the first attempt that may have been processed, on a restart.
#[test]
fn reopening_restores_the_progress_of_each_message() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(folder.path());
    let numbers: Vec<u32> = ["a", "b", "c"].map(|id| journal.accept(message(id, 10)).unwrap()).into();
    for at in [5, 6, 7] {
        let effect = if at > 5 { AttemptEffect::Uncertain } else { AttemptEffect::None };
        journal.start_attempt(numbers[0], attempt(at)).unwrap();
        journal.end_attempt(numbers[0], effect).unwrap();
    }
    journal.start_attempt(numbers[1], attempt(8)).unwrap();
    journal.complete(numbers[2], NOW).unwrap();
    drop(journal);
    let (mut journal, report) = open(folder.path());
    assert_eq!((ids(&journal), report), (vec!["a", "b"], CorruptionReport::default()));
    let a = journal.get(numbers[0]).unwrap();
    assert_eq!(
        (a.attempts_started, &a.first_uncertain_attempt, &a.active_attempt),
        (3, &Some(attempt(6)), &None)
    );
    assert_eq!(journal.get(numbers[1]).unwrap().active_attempt, Some(attempt(8)));
    assert!(journal.accept(message("d", 1)).unwrap() > numbers[1]);
}

/// Guards against a start that fails, or loses intact records, because of a truncated or a damaged record.
#[test]
fn damage_loses_only_the_damaged_record() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(folder.path());
    let mut ends = vec![];
    for id in ["a", "b", "c"] {
        journal.accept(message(id, 100)).unwrap();
        ends.push(journal.length as usize);
    }
    let path = folder.path().join(NAME);
    drop(journal);
    let intact = std::fs::read(&path).unwrap();
    for cut in ends[1] + 1..intact.len() {
        std::fs::write(&path, &intact[..cut]).unwrap();
        let (mut journal, report) = open(folder.path());
        assert_eq!((ids(&journal), report.truncated_bytes), (vec!["a", "b"], cut - ends[1]));
        journal.accept(message("d", 1)).unwrap();
        drop(journal);
        let (journal, report) = open(folder.path());
        assert_eq!((ids(&journal), report), (vec!["a", "b", "d"], CorruptionReport::default()));
    }
    for at in ends[0]..ends[1] {
        let mut bytes = intact.clone();
        bytes[at] ^= 0x55;
        std::fs::write(&path, &bytes).unwrap();
        let (journal, report) = open(folder.path());
        assert_eq!((ids(&journal), report.skipped_bytes), (vec!["a", "c"], ends[1] - ends[0]), "byte {at}");
    }
}

/// Guards against counting or sending an attempt whose record could not be written.
#[test]
fn attempt_whose_record_cannot_be_written_is_not_started() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(folder.path());
    let number = journal.accept(message("a", 10)).unwrap();
    journal.file = Some(Box::new(File::open(folder.path().join(NAME)).unwrap()));
    folder.close().unwrap();
    assert!(journal.start_attempt(number, attempt(5)).is_err());
    let pending = journal.get(number).unwrap();
    assert_eq!(
        (pending.attempts_started, &pending.first_uncertain_attempt, &pending.active_attempt),
        (0, &None, &None)
    );
    assert!(journal.accept(message("b", 10)).is_err());
    assert_eq!(ids(&journal), ["a"]);
}

/// Guards against counting a deferred attempt after a restart, and against removing an earlier attempt
/// because the record of the deferred one's start is missing.
#[test]
fn deferred_attempt_does_not_count() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(folder.path());
    let number = journal.accept(message("a", 10)).unwrap();
    journal.start_attempt(number, attempt(5)).unwrap();
    journal.end_attempt(number, AttemptEffect::None).unwrap();
    journal.start_attempt(number, attempt(6)).unwrap();
    journal.defer_attempt(number).unwrap();
    // Another deferral, of an attempt whose start was not recorded.
    journal.defer_attempt(number).unwrap();
    drop(journal);
    let (journal, _) = open(folder.path());
    let pending = journal.get(number).unwrap();
    assert_eq!(
        (pending.attempts_started, &pending.first_uncertain_attempt, &pending.active_attempt),
        (1, &None, &None)
    );
}

/// Guards against replaying a record that a client embedded in a message body, if the frame around it is
/// damaged and the reader searches for the next frame.
#[test]
fn record_embedded_in_the_body_of_a_damaged_record_is_not_read() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(folder.path());
    let forged = Record::Accepted { number: 77, pending: Box::new(message("forged", 10)) };
    let mut carrier = message("carrier", 0);
    carrier.message.body = append_frame(&forged, vec![b'.'; 50]).unwrap().into();
    journal.accept(carrier).unwrap();
    let end = journal.length as usize;
    journal.accept(message("next", 10)).unwrap();
    let path = folder.path().join(NAME);
    drop(journal);
    let intact = std::fs::read(&path).unwrap();
    // The checksum, the number, the ID, the bytes before the forged record, and those after it.
    for at in [4, 8, 12, 40, end - 1] {
        let mut bytes = intact.clone();
        bytes[at] ^= 0x55;
        std::fs::write(&path, &bytes).unwrap();
        let (journal, report) = open(folder.path());
        assert_eq!((ids(&journal), report.skipped_bytes), (vec!["next"], end), "byte {at}");
    }
}
