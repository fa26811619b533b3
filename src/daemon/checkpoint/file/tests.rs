use super::*;
use crate::Timestamp;
use crate::daemon::endpoint_list::{ListedEndpoint, Phase};
use crate::daemon::system::Folder;
use std::net::SocketAddr;
use std::path::Path;

fn open(folder: &Path, sender: &str) -> (CheckpointFile, Checkpoint, Option<Unread>) {
    CheckpointFile::open(Rc::new(Folder(folder.to_owned())), sender)
}

fn known(id: &str, phase: Phase) -> EndpointCheckpoint {
    let member = ListedEndpoint {
        id: id.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".to_owned(),
        kind: "bank".to_owned(),
        destination: 1,
        phase,
        capacity_hint: 1.0,
        started_at_ms: 0,
    };
    EndpointCheckpoint { member, heard: Timestamp(5), learned: [None, None], written: Timestamp(6) }
}

fn version(revision: u64) -> DiscoveryVersion {
    DiscoveryVersion { agent: SocketAddr::from(([127, 0, 0, 1], 1)), revision }
}

/// A file with two endpoints at version 1, and the news of one more and a drain at version 2.
fn written(folder: &Path) -> CheckpointFile {
    let (mut notebook, ..) = open(folder, "n1");
    notebook.begin().unwrap();
    let two = ["a", "b"].map(|id| known(id, Phase::Serving));
    notebook.write(two.into_iter(), false, None, |_| true).unwrap();
    notebook.finish(Some(version(1)), true).unwrap();
    let news = [known("a", Phase::Draining), known("c", Phase::Serving)];
    notebook.write(news.into_iter(), true, Some(version(2)), |_| true).unwrap();
    notebook
}

fn phases(memory: &Checkpoint) -> Vec<(&str, Phase)> {
    memory.endpoints.iter().map(|(id, known)| (id.as_str(), known.member.phase)).collect()
}

/// Guards against a file that stops a start, wherever it ends, or tells of a version without what led to it.
#[test]
fn a_file_cut_at_any_byte_tells_what_stands_before() {
    let folder = tempfile::tempdir().unwrap();
    drop(written(folder.path()));
    let (_, memory, wrong) = open(folder.path(), "n1");
    let last = [("a", Phase::Draining), ("b", Phase::Serving), ("c", Phase::Serving)];
    assert_eq!((phases(&memory), memory.version, memory.whole), (last.into(), Some(version(2)), true));
    assert_eq!(wrong, None);
    let path = folder.path().join(NAME);
    let whole = std::fs::read(&path).unwrap();
    let mut between = 0;
    for cut in 0..whole.len() {
        std::fs::write(&path, &whole[..cut]).unwrap();
        let (_, memory, wrong) = open(folder.path(), "n1");
        assert!(memory.version != Some(version(2)), "{cut}: all of it stands before the version");
        if memory.version.is_some() {
            assert!(memory.endpoints.len() >= 2, "{cut}");
        }
        between += usize::from(wrong.is_none());
        let mut damaged = whole.clone();
        damaged[cut] ^= 0x55;
        std::fs::write(&path, &damaged).unwrap();
        let (_, memory, wrong) = open(folder.path(), "n1");
        assert!(wrong.is_some() && memory.version != Some(version(2)), "byte {cut}");
    }
    // After the head, a, b, version 1, that this is all, a, c; everywhere else it is told that something is cut off.
    assert_eq!(between, 7);
}

/// Guards against taking up what is of another sender or another form.
#[test]
fn foreign_files_tell_nothing() {
    let folder = tempfile::tempdir().unwrap();
    drop(written(folder.path()));
    let (_, memory, wrong) = open(folder.path(), "n2");
    assert_eq!((memory.endpoints.len(), wrong), (0, Some(Unread::Foreign("n1".to_owned()))));
    let head = Record::Head { form: FORM + 1, sender: "n1".to_owned() };
    let other = frame(&Record::Whole(true), frame(&head, Vec::new()).unwrap()).unwrap();
    for bytes in [&other[..], b"", b"{\"json\": true}"] {
        std::fs::write(folder.path().join(NAME), bytes).unwrap();
        let (_, memory, wrong) = open(folder.path(), "n1");
        assert_eq!((memory.endpoints.len(), wrong), (0, Some(Unread::Form)));
    }
}

/// Guards against a file that is half of one time and half of another: what is written anew counts only when it is
/// whole, and news goes to both until then.
#[test]
fn the_old_file_counts_until_the_new_one_is_whole() {
    let folder = tempfile::tempdir().unwrap();
    let mut notebook = written(folder.path());
    notebook.begin().unwrap();
    notebook.write([known("a", Phase::Serving)].into_iter(), false, None, |_| true).unwrap();
    notebook.write([known("b", Phase::Draining)].into_iter(), true, Some(version(3)), |_| true).unwrap();
    let (_, memory, _) = open(folder.path(), "n1");
    let old = [("a", Phase::Draining), ("b", Phase::Draining), ("c", Phase::Serving)];
    assert_eq!((phases(&memory), memory.version), (old.into(), Some(version(3))));
    // That look has removed the new file, as a start does: begun again.
    notebook.begin().unwrap();
    let all = ["a", "b"].map(|id| known(id, Phase::Serving));
    notebook.write(all.into_iter(), false, None, |_| true).unwrap();
    notebook.finish(Some(version(4)), false).unwrap();
    let (_, memory, _) = open(folder.path(), "n1");
    let new = [("a", Phase::Serving), ("b", Phase::Serving)];
    assert_eq!((phases(&memory), memory.version, memory.whole), (new.into(), Some(version(4)), false));
}

/// Guards against a version whose news had no room: the next process would never ask for it.
#[test]
fn a_version_is_told_of_only_with_all_that_led_to_it() {
    let folder = tempfile::tempdir().unwrap();
    let mut notebook = written(folder.path());
    let mut room = [true, false].into_iter();
    let news = [known("b", Phase::Draining), known("d", Phase::Serving)];
    notebook.write(news.into_iter(), true, Some(version(3)), |_| room.next().unwrap()).unwrap();
    let (_, memory, _) = open(folder.path(), "n1");
    assert_eq!(memory.version, Some(version(2)));
    assert_eq!(memory.endpoints["b"].member.phase, Phase::Draining);
    notebook.give_up();
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0, "its room is the journal's");
    notebook.write([known("b", Phase::Serving)].into_iter(), true, Some(version(4)), |_| true).unwrap();
}
