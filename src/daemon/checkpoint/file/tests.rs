use super::*;
use crate::Timestamp;
use crate::daemon::endpoint_list::{ListedEndpoint, Phase};
use crate::daemon::handover::InheritedState;
use crate::daemon::system::Folder;
use std::net::SocketAddr;
use std::path::Path;

fn open(folder: &Path, sender: &str) -> OpenedCheckpoint {
    CheckpointFile::open(Rc::new(Folder(folder.to_owned())), sender)
}

fn state(id: &str, phase: Phase) -> EndpointCheckpoint {
    let endpoint = ListedEndpoint {
        id: id.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".to_owned(),
        kind: "bank".to_owned(),
        destination: 1,
        phase,
        capacity_hint: 1.0,
        started_at_ms: 0,
    };
    EndpointCheckpoint {
        endpoint,
        observed_at: Timestamp(5),
        routes: [None, None],
        captured_at: Timestamp(6),
    }
}

fn version(revision: u64) -> DiscoveryVersion {
    DiscoveryVersion { agent: SocketAddr::from(([127, 0, 0, 1], 1)), revision }
}

/// Writes a file with two endpoints at version 1, and an update at version 2: one more endpoint, and one that drains.
fn written(folder: &Path) -> CheckpointFile {
    let OpenedCheckpoint { mut file, .. } = open(folder, "n1");
    file.start_new().unwrap();
    let two = ["a", "b"].map(|id| state(id, Phase::Serving));
    file.write(two.into_iter(), CheckpointWrite::Snapshot, |_| true).unwrap();
    file.finish_new(Some(version(1)), Coverage::Complete).unwrap();
    let update = [state("a", Phase::Draining), state("c", Phase::Serving)];
    file.write(update.into_iter(), CheckpointWrite::Update(Some(version(2))), |_| true).unwrap();
    file
}

fn phases(checkpoint: &Checkpoint) -> Vec<(&str, Phase)> {
    checkpoint.endpoints.iter().map(|(id, state)| (id.as_str(), state.endpoint.phase)).collect()
}

/// Guards against a file that prevents a start, wherever it ends, or has a version without what led to it.
#[test]
fn file_truncated_or_damaged_at_any_byte_restores_what_precedes() {
    let folder = tempfile::tempdir().unwrap();
    drop(written(folder.path()));
    let OpenedCheckpoint { checkpoint, error, .. } = open(folder.path(), "n1");
    let expected = [("a", Phase::Draining), ("b", Phase::Serving), ("c", Phase::Serving)];
    assert_eq!(
        (phases(&checkpoint), checkpoint.version, checkpoint.is_complete),
        (expected.into(), Some(version(2)), true)
    );
    assert_eq!(error, None);
    let path = folder.path().join(NAME);
    let intact = std::fs::read(&path).unwrap();
    let mut between = 0;
    for cut in 0..intact.len() {
        std::fs::write(&path, &intact[..cut]).unwrap();
        let OpenedCheckpoint { checkpoint, error, .. } = open(folder.path(), "n1");
        assert!(checkpoint.version != Some(version(2)), "{cut}: the version follows all that led to it");
        if checkpoint.version.is_some() {
            assert!(checkpoint.endpoints.len() >= 2, "{cut}");
        }
        between += usize::from(error.is_none());
        let mut damaged = intact.clone();
        damaged[cut] ^= 0x55;
        std::fs::write(&path, &damaged).unwrap();
        let OpenedCheckpoint { checkpoint, error, .. } = open(folder.path(), "n1");
        assert!(error.is_some() && checkpoint.version != Some(version(2)), "byte {cut}");
    }
    // After the header, a, b, version 1, the completeness, a, c; a cut anywhere else is reported.
    assert_eq!(between, 7);
}

/// Guards against restoring the file of another sender or another format.
#[test]
fn foreign_files_are_ignored() {
    let folder = tempfile::tempdir().unwrap();
    drop(written(folder.path()));
    let OpenedCheckpoint { checkpoint, error, .. } = open(folder.path(), "n2");
    assert_eq!(
        (checkpoint.endpoints.len(), error),
        (0, Some(CheckpointReadError::OtherSender("n1".to_owned())))
    );
    let header = Record::Header { format_version: FORMAT_VERSION + 1, sender: "n1".to_owned() };
    let other = append_frame(&Record::IsComplete(true), append_frame(&header, Vec::new()).unwrap()).unwrap();
    for bytes in [&other[..], b"", b"{\"json\": true}"] {
        std::fs::write(folder.path().join(NAME), bytes).unwrap();
        let OpenedCheckpoint { checkpoint, error, .. } = open(folder.path(), "n1");
        assert_eq!((checkpoint.endpoints.len(), error), (0, Some(CheckpointReadError::UnknownFormat)));
    }
}

/// Guards against a file that mixes two states: a new file counts only once it is complete, and updates go to both until
/// then.
#[test]
fn current_file_counts_until_the_new_one_is_complete() {
    let folder = tempfile::tempdir().unwrap();
    let mut file = written(folder.path());
    file.start_new().unwrap();
    file.write([state("a", Phase::Serving)].into_iter(), CheckpointWrite::Snapshot, |_| true).unwrap();
    file.write([state("b", Phase::Draining)].into_iter(), CheckpointWrite::Update(Some(version(3))), |_| {
        true
    })
    .unwrap();
    let OpenedCheckpoint { checkpoint, .. } = open(folder.path(), "n1");
    let old = [("a", Phase::Draining), ("b", Phase::Draining), ("c", Phase::Serving)];
    assert_eq!((phases(&checkpoint), checkpoint.version), (old.into(), Some(version(3))));
    // Opening the file removed the new one, as a start does: it is started again.
    file.start_new().unwrap();
    let all = ["a", "b"].map(|id| state(id, Phase::Serving));
    file.write(all.into_iter(), CheckpointWrite::Snapshot, |_| true).unwrap();
    file.finish_new(Some(version(4)), Coverage::Partial).unwrap();
    let OpenedCheckpoint { checkpoint, .. } = open(folder.path(), "n1");
    let new = [("a", Phase::Serving), ("b", Phase::Serving)];
    assert_eq!(
        (phases(&checkpoint), checkpoint.version, checkpoint.is_complete),
        (new.into(), Some(version(4)), false)
    );
}

/// Guards against a version whose update did not fit: the next process would never ask for that update.
#[test]
fn version_is_written_only_with_all_that_led_to_it() {
    let folder = tempfile::tempdir().unwrap();
    let mut file = written(folder.path());
    let mut fits = [true, false].into_iter();
    let update = [state("b", Phase::Draining), state("d", Phase::Serving)];
    file.write(update.into_iter(), CheckpointWrite::Update(Some(version(3))), |_| fits.next().unwrap())
        .unwrap();
    let OpenedCheckpoint { checkpoint, .. } = open(folder.path(), "n1");
    assert_eq!(checkpoint.version, Some(version(2)));
    assert_eq!(checkpoint.endpoints["b"].endpoint.phase, Phase::Draining);
    file.remove();
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0, "the space is free for the journal");
    file.write([state("b", Phase::Serving)].into_iter(), CheckpointWrite::Update(Some(version(4))), |_| true)
        .unwrap();
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards against a record whose bytes change with its names: the file of an earlier version could not be read.
#[test]
fn records_keep_their_bytes() {
    let cases = [
        (Record::Header { format_version: 1, sender: "n1".to_owned() }, "05000000f9a406bd0001026e31"),
        (
            Record::Endpoint(Box::new(state("a", Phase::Draining))),
            "1f000000584a8ebc010161007f0000010901610462616e6b0101000000000000f03f0005000006",
        ),
        (Record::Version(version(300)), "09000000b55bf5e902007f00000101ac02"),
        (Record::IsComplete(true), "02000000fd6320a00301"),
    ];
    for (record, expected) in cases {
        assert_eq!(hex(&append_frame(&record, Vec::new()).unwrap()), expected);
    }
}

/// Guards against a handover between two versions that fails because a name has changed.
#[test]
fn handed_over_checkpoint_keeps_its_bytes() {
    let endpoints = [("a".to_owned(), state("a", Phase::Draining))].into();
    let checkpoint = Checkpoint { version: Some(version(300)), is_complete: true, endpoints };
    let inherited = InheritedState { checkpoint, classes: Vec::new() };
    let expected = "01007f00000101ac02010101610161007f0000010901610462616e6b0101000000000000f03f000500000600";
    assert_eq!(hex(&postcard::to_allocvec(&inherited).unwrap()), expected);
}
