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

/// Writes a file with two endpoints at version 1, and an update to version 2 with a third endpoint and a
/// draining one.
fn write_two_versions(folder: &Path) -> CheckpointFile {
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

/// Guards against damage that prevents a start, or that restores a version without every change up to it.
#[test]
fn file_truncated_or_damaged_at_any_byte_restores_the_records_before_it() {
    let folder = tempfile::tempdir().unwrap();
    drop(write_two_versions(folder.path()));
    let OpenedCheckpoint { checkpoint, error, .. } = open(folder.path(), "n1");
    let expected = [("a", Phase::Draining), ("b", Phase::Serving), ("c", Phase::Serving)];
    assert_eq!(
        (phases(&checkpoint), checkpoint.version, checkpoint.is_complete),
        (expected.into(), Some(version(2)), true)
    );
    assert_eq!(error, None);
    let path = folder.path().join(NAME);
    let intact = std::fs::read(&path).unwrap();
    let mut intact_cuts = 0;
    for cut in 0..intact.len() {
        std::fs::write(&path, &intact[..cut]).unwrap();
        let OpenedCheckpoint { checkpoint, error, .. } = open(folder.path(), "n1");
        assert!(
            checkpoint.version != Some(version(2)),
            "cut at byte {cut}: version restored without its update"
        );
        if checkpoint.version.is_some() {
            assert!(checkpoint.endpoints.len() >= 2, "cut at byte {cut}");
        }
        intact_cuts += usize::from(error.is_none());
        let mut damaged = intact.clone();
        damaged[cut] ^= 0x55;
        std::fs::write(&path, &damaged).unwrap();
        let OpenedCheckpoint { checkpoint, error, .. } = open(folder.path(), "n1");
        assert!(error.is_some() && checkpoint.version != Some(version(2)), "damaged byte {cut}");
    }
    // A cut after the header, a, b, version 1, the completeness, a or c is valid; every other cut is an
    // error.
    assert_eq!(intact_cuts, 7);
}

/// Guards against restoring a file of another sender or in another format.
#[test]
fn files_of_other_senders_or_formats_are_ignored() {
    let folder = tempfile::tempdir().unwrap();
    drop(write_two_versions(folder.path()));
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

/// Guards against restoring an unfinished new file, and against losing updates while it is written.
#[test]
fn current_file_is_restored_until_the_new_one_is_complete() {
    let folder = tempfile::tempdir().unwrap();
    let mut file = write_two_versions(folder.path());
    file.start_new().unwrap();
    file.write([state("a", Phase::Serving)].into_iter(), CheckpointWrite::Snapshot, |_| true).unwrap();
    file.write([state("b", Phase::Draining)].into_iter(), CheckpointWrite::Update(Some(version(3))), |_| {
        true
    })
    .unwrap();
    let OpenedCheckpoint { checkpoint, .. } = open(folder.path(), "n1");
    let old = [("a", Phase::Draining), ("b", Phase::Draining), ("c", Phase::Serving)];
    assert_eq!((phases(&checkpoint), checkpoint.version), (old.into(), Some(version(3))));
    // `open` removed the unfinished new file, so another one is started.
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

/// Guards against writing a version whose update did not fit: the next process would never request that
/// update.
#[test]
fn version_is_written_only_if_its_whole_update_fits() {
    let folder = tempfile::tempdir().unwrap();
    let mut file = write_two_versions(folder.path());
    let mut fits = [true, false].into_iter();
    let update = [state("b", Phase::Draining), state("d", Phase::Serving)];
    file.write(update.into_iter(), CheckpointWrite::Update(Some(version(3))), |_| fits.next().unwrap())
        .unwrap();
    let OpenedCheckpoint { checkpoint, .. } = open(folder.path(), "n1");
    assert_eq!(checkpoint.version, Some(version(2)));
    assert_eq!(checkpoint.endpoints["b"].endpoint.phase, Phase::Draining);
    file.remove();
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0, "no file is left");
    file.write([state("b", Phase::Serving)].into_iter(), CheckpointWrite::Update(Some(version(4))), |_| true)
        .unwrap();
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards against a change of the encoding, which would make files of earlier versions unreadable.
#[test]
fn records_encode_to_the_same_bytes_as_in_earlier_versions() {
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

/// Guards against a change of the encoding, which would break a handover between two versions.
#[test]
fn handed_over_checkpoint_encodes_to_the_same_bytes_as_in_earlier_versions() {
    let endpoints = [("a".to_owned(), state("a", Phase::Draining))].into();
    let checkpoint = Checkpoint { version: Some(version(300)), is_complete: true, endpoints };
    let inherited = InheritedState { checkpoint, classes: Vec::new() };
    let expected = "01007f00000101ac02010101610161007f0000010901610462616e6b0101000000000000f03f000500000600";
    assert_eq!(hex(&postcard::to_allocvec(&inherited).unwrap()), expected);
}
