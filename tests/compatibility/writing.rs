//! Comparison of the state folder that the build under test writes with the committed one.
use crate::postcard::Shape;
use crate::records::{decoded, kind, payloads};
use crate::scenario::populate;
use crate::schema::{checkpoint_record, incarnations, journal_record};
use crate::snapshot::{assert_matches_fixture, copy_files, fixture, is_updating_fixtures};
use serde_json::Value;
use std::path::Path;

/// The files of a state folder that are committed.
const COMMITTED_FILES: [&str; 5] =
    ["messages.wal", "memory.log", "lives", "classes.json", "maintenance.json"];
/// The kinds of journal records in the committed folder; `reading.rs` tests the others.
const RECORD_KINDS: [&str; 9] =
    ["Begun", "Ended", "NotBefore", "Outcome", "OverIds", "OverSince", "Ran", "Stamped", "Taken"];
/// The first bytes of the file `lives`.
const LIVES_MAGIC: &[u8] = b"mdlives1";
/// The length of the checksum at the end of `lives`.
const LIVES_CHECKSUM_BYTES: usize = 32;
/// The length of `messages.reserve`, which is all zeros, with a disk limit of 3 MB.
const RESERVE_BYTES: usize = 59_989;

/// Guards against changed formats of the files, and against reordered records, fields or variants.
#[test]
fn a_written_state_folder_matches_the_committed_one() {
    let folder = tempfile::tempdir().unwrap();
    populate(folder.path());
    if is_updating_fixtures() {
        update_fixtures(folder.path());
    }
    let committed = fixture("state");
    for name in ["classes.json", "maintenance.json"] {
        assert_eq!(read_text(folder.path(), name), read_text(&committed, name), "{name}");
    }
    let journal = |folder: &Path| decoded(&folder.join("messages.wal"), &journal_record());
    // The build that wrote the fixtures had no clock anchors. The current build adds two: one of the previous
    // boot in the rewritten journal, and one of the current boot.
    let (anchors, written): (Vec<_>, Vec<_>) =
        journal(folder.path()).into_iter().partition(|record| kind(record) == "Anchored");
    assert_eq!(anchors.len(), 2, "{anchors:?}");
    assert_eq!(sorted_by_message(written), sorted_by_message(journal(&committed)));
    let checkpoints =
        |folder: &Path| distinct_sorted(decoded(&folder.join("memory.log"), &checkpoint_record()));
    assert_eq!(checkpoints(folder.path()), checkpoints(&committed));
    assert_eq!(decoded_incarnations(folder.path()), decoded_incarnations(&committed));
    let reserve = std::fs::read(folder.path().join("messages.reserve")).unwrap();
    assert!(
        reserve.len() == RESERVE_BYTES && reserve.iter().all(|byte| *byte == 0),
        "messages.reserve: expected {RESERVE_BYTES} zeros, got {} bytes",
        reserve.len()
    );
}

/// Guards against gaps in these tests: records of an unknown kind in the committed folder, or missing kinds.
#[test]
fn the_committed_folder_contains_every_kind_of_record() {
    let mut journal = decoded(&fixture("state/messages.wal"), &journal_record());
    assert_matches_fixture("state.journal.txt", &to_lines(&journal));
    assert_matches_fixture(
        "state.memory.txt",
        &to_lines(&decoded(&fixture("state/memory.log"), &checkpoint_record())),
    );
    journal.sort_by_key(|record| kind(record).to_owned());
    journal.dedup_by_key(|record| kind(record).to_owned());
    assert_eq!(journal.iter().map(kind).collect::<Vec<_>>(), RECORD_KINDS);
}

fn update_fixtures(folder: &Path) {
    let (state, torn) = (fixture("state"), fixture("state-torn"));
    std::fs::create_dir_all(&state).unwrap();
    for name in COMMITTED_FILES {
        std::fs::copy(folder.join(name), state.join(name)).unwrap();
    }
    copy_files(&state, &torn);
    let journal = std::fs::read(state.join("messages.wal")).unwrap();
    let last = payloads(&journal).0.last().map_or(0, |payload| payload.len());
    std::fs::write(torn.join("messages.wal"), &journal[..journal.len() - last / 2]).unwrap();
}

fn read_text(folder: &Path, name: &str) -> String {
    std::fs::read_to_string(folder.join(name)).unwrap()
}

fn to_lines(records: &[Value]) -> String {
    records.iter().map(|record| format!("{record}\n")).collect()
}

/// Sorts records by message, keeping their order within each. Omits `NotBefore` records, whose number depends
/// on the duration of the run.
fn sorted_by_message(mut records: Vec<Value>) -> Vec<Value> {
    records.retain(|record| kind(record) != "NotBefore");
    records.sort_by_key(|record| record[kind(record)]["number"].as_u64());
    records
}

/// Returns the distinct records as sorted text, because checkpoints are written at varying times.
fn distinct_sorted(records: Vec<Value>) -> Vec<String> {
    let mut lines: Vec<String> = records.iter().map(Value::to_string).collect();
    lines.sort();
    lines.dedup();
    lines
}

fn decoded_incarnations(folder: &Path) -> Value {
    let bytes = std::fs::read(folder.join("lives")).unwrap();
    let content = bytes.strip_prefix(LIVES_MAGIC).expect("a file that starts with the magic");
    let shape: Shape = incarnations();
    shape.read_all(&content[..content.len() - LIVES_CHECKSUM_BYTES]).unwrap()
}
