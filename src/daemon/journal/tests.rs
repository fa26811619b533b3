use super::*;
use crate::daemon::system::Folder;
use std::fs::File;
use std::path::Path;

const DISK: u64 = 3_000_000;
const NOW: u64 = 1_700_000_000_000_000;

fn message(id: &str, body: usize) -> PendingMessage {
    let message = SubmittedMessage {
        id: id.to_owned(),
        class: "charge".to_owned(),
        tenant: None,
        key: None,
        idempotency_key: None,
        destination: 7,
        body: vec![b'x'; body].into(),
    };
    PendingMessage::new(message, 1)
}

fn open(folder: &Path) -> (Journal, CorruptionReport) {
    Journal::open(Rc::new(Folder(folder.to_owned())), DISK).unwrap()
}

fn attempt(at: u64) -> Attempt {
    Attempt { at, zone: "a".to_owned() }
}

fn ids(store: &Journal) -> Vec<&str> {
    store.pending().map(|(_, owed)| owed.message.id.as_str()).collect()
}

/// Guards against a stamp, a moment or a deadline that is lost when the file is written anew, and against numbers that begin
/// anew under old moments.
#[test]
fn stamps_and_moments_outlast_a_new_file() {
    let folder = tempfile::tempdir().unwrap();
    let stamp =
        |wall| JournalStamp { sender: "n1".to_owned(), boot: None, wall, survives_machine_crash: true };
    let (mut store, _) = open(folder.path());
    assert!(store.is_empty() && store.stamped().is_none());
    store.stamp(stamp(NOW)).unwrap();
    assert!(!store.is_empty());
    let first = store.accept(message("a", 10)).unwrap();
    store.mark_time(NOW + 5).unwrap();
    let second = store.accept(message("b", 10)).unwrap();
    store.ran(second, Attempt { at: NOW + 6, zone: "z".to_owned() }).unwrap();
    store.deadline(second, NOW + 77).unwrap();
    store.rewrite().unwrap();
    drop(store);
    let (mut store, _) = open(folder.path());
    assert_eq!((store.stamped(), store.latest()), (Some(&stamp(NOW)), NOW + 5));
    assert_eq!((store.not_before(first), store.not_before(second)), (None, Some(NOW + 5)));
    let owed = store.get(second).unwrap();
    assert_eq!((owed.deadline, owed.ran.as_ref().map(|ran| ran.at)), (NOW + 77, Some(NOW + 6)));
    // The clock goes back: what is said by it counts from its stamp on.
    store.new_clock(NOW - 9_000);
    store.stamp(stamp(NOW - 9_000)).unwrap();
    assert_eq!((store.not_before(second), store.latest()), (None, NOW - 9_000));
    store.mark_time(NOW - 8_000).unwrap();
    let third = store.accept(message("c", 10)).unwrap();
    assert_eq!((store.not_before(second), store.not_before(third)), (None, Some(NOW - 8_000)));
}

/// Guards against forgetting, over a restart, which attempt may have run first.
#[test]
fn a_reopened_journal_tells_how_far_each_message_got() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    let numbers: Vec<u32> = ["a", "b", "c"].map(|id| store.accept(message(id, 10)).unwrap()).into();
    for at in [5, 6, 7] {
        store.begin(numbers[0], attempt(at)).unwrap();
        store.outcome(numbers[0], at > 5).unwrap();
    }
    store.begin(numbers[1], attempt(8)).unwrap();
    store.over(numbers[2], NOW).unwrap();
    drop(store);
    let (mut store, damage) = open(folder.path());
    assert_eq!((ids(&store), damage), (vec!["a", "b"], CorruptionReport::default()));
    let a = store.get(numbers[0]).unwrap();
    assert_eq!((a.attempts, &a.ran, &a.out), (3, &Some(attempt(6)), &None));
    assert_eq!(store.get(numbers[1]).unwrap().out, Some(attempt(8)));
    assert!(store.accept(message("d", 1)).unwrap() > numbers[1]);
}

/// Guards against a start that fails, or loses sound records, over a torn tail or a damaged middle.
#[test]
fn damage_costs_no_more_than_the_damaged_record() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    let mut ends = vec![];
    for id in ["a", "b", "c"] {
        store.accept(message(id, 100)).unwrap();
        ends.push(store.length as usize);
    }
    let path = folder.path().join(NAME);
    drop(store);
    let whole = std::fs::read(&path).unwrap();
    for cut in ends[1] + 1..whole.len() {
        std::fs::write(&path, &whole[..cut]).unwrap();
        let (mut store, damage) = open(folder.path());
        assert_eq!((ids(&store), damage.torn), (vec!["a", "b"], cut - ends[1]));
        store.accept(message("d", 1)).unwrap();
        drop(store);
        let (store, damage) = open(folder.path());
        assert_eq!((ids(&store), damage), (vec!["a", "b", "d"], CorruptionReport::default()));
    }
    for at in ends[0]..ends[1] {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x55;
        std::fs::write(&path, &bytes).unwrap();
        let (store, damage) = open(folder.path());
        assert_eq!((ids(&store), damage.skipped), (vec!["a", "c"], ends[1] - ends[0]), "byte {at}");
    }
}

/// Guards against delivering once more what was over before a restart: its id is known after one, and after
/// the file was written anew.
#[test]
fn ids_that_are_over_outlast_the_process() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    for id in ["a", "b"] {
        let number = store.accept(message(id, 10)).unwrap();
        store.over(number, NOW).unwrap();
    }
    let open_one = store.accept(message("c", 10)).unwrap();
    drop(store);
    let (mut store, _) = open(folder.path());
    store.compact();
    drop(store);
    let (mut store, damage) = open(folder.path());
    assert_eq!((ids(&store), damage), (vec!["c"], CorruptionReport::default()));
    assert_eq!(["a", "b", "c", "d"].map(|id| store.was_over(id)), [true, true, false, false]);
    store.over(open_one, NOW + 31_000_000).unwrap();
    assert_eq!(["a", "b", "c"].map(|id| store.was_over(id)), [false, false, true], "their time was up");
}

/// Guards against an attempt that counts, or goes out, though the disk took no record of it.
#[test]
fn an_unwritten_attempt_is_an_error_and_has_not_begun() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    let number = store.accept(message("a", 10)).unwrap();
    store.file = Box::new(File::open(folder.path().join(NAME)).unwrap());
    folder.close().unwrap();
    assert!(store.begin(number, attempt(5)).is_err());
    let owed = store.get(number).unwrap();
    assert_eq!((owed.attempts, &owed.ran, &owed.out), (0, &None, &None));
    assert!(store.accept(message("b", 10)).is_err());
    assert_eq!(ids(&store), ["a"]);
}

/// Guards against an attempt that was held back and counts in the next process, or that takes an earlier one with it as
/// the record of its begin is missing.
#[test]
fn an_attempt_that_was_held_back_never_was() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    let number = store.accept(message("a", 10)).unwrap();
    store.begin(number, attempt(5)).unwrap();
    store.outcome(number, false).unwrap();
    store.begin(number, attempt(6)).unwrap();
    store.attempt_deferred(number).unwrap();
    // Once more, of one whose begin was never written.
    store.attempt_deferred(number).unwrap();
    drop(store);
    let (store, _) = open(folder.path());
    let owed = store.get(number).unwrap();
    assert_eq!((owed.attempts, &owed.ran, &owed.out), (1, &None, &None));
}

/// A folder on a disk that others fill: it holds no more than so many bytes, if that is set.
struct Shared {
    folder: Folder,
    path: std::path::PathBuf,
    most: Rc<std::cell::Cell<Option<u64>>>,
}

struct Part(Box<dyn AppendFile>, std::path::PathBuf, Rc<std::cell::Cell<Option<u64>>>);

fn bytes_in(path: &Path) -> u64 {
    std::fs::read_dir(path).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum()
}

impl AppendFile for Part {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.2.get().is_some_and(|most| bytes_in(&self.1) + bytes.len() as u64 > most) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.0.append(bytes)
    }

    fn sync(&self) -> LocalFuture<'static, io::Result<()>> {
        Box::pin(async { Ok(()) })
    }

    fn sync_now(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.truncate(length)
    }
}

impl Storage for Shared {
    fn sync_names(&self) -> io::Result<()> {
        Ok(())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.folder.read(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        Ok(Box::new(Part(self.folder.open(name)?, self.path.clone(), self.most.clone())))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        Ok(Box::new(Part(self.folder.create(name)?, self.path.clone(), self.most.clone())))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.folder.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.folder.remove(name)
    }
}

/// Guards against room that was set aside for ends and goes to newcomers: on a disk that is full for long every end of
/// what is held has to be in the journal, or it is sent again after a kill (full-disk-restart 15186626001).
#[test]
fn on_a_full_disk_the_reserve_holds_every_end() {
    let place = tempfile::tempdir().unwrap();
    let path = place.path().to_owned();
    let most = Rc::new(std::cell::Cell::new(None));
    let shared = || Shared { folder: Folder(path.clone()), path: path.clone(), most: most.clone() };
    let (mut store, _) = Journal::open(Rc::new(shared()), DISK).unwrap();
    let numbers: Vec<u32> = (0..500).map(|n| store.accept(message(&n.to_string(), 300)).unwrap()).collect();
    for number in &numbers {
        store.begin(*number, attempt(1)).unwrap();
    }
    most.set(Some(bytes_in(&path)));
    for (n, number) in numbers.iter().enumerate() {
        assert!(store.outcome(*number, true).is_ok(), "{n}");
        // Until bodies that ended are left out of a file written anew, and there is room for a reserve.
        if n < 300 {
            assert!(store.accept(message("late", 300)).is_err(), "{n}: room taken from what is owed its end");
            assert!(store.begin(*number, attempt(2)).is_err(), "{n}: an attempt without room for its end");
        }
        assert!(store.end(*number, FinalOutcome::Failed).is_ok(), "{n}");
    }
    drop(store);
    let (mut store, _) = Journal::open(Rc::new(shared()), DISK).unwrap();
    assert_eq!(store.pending().filter(|(_, owed)| owed.end == Some(FinalOutcome::Failed)).count(), 500);
    most.set(None);
    assert!(store.accept(message("later", 300)).is_ok() && store.reserved, "there is room again");
}

/// Guards against a folder over its limit, also while old and new file stand side by side, and against
/// refusing long before: the journal is written anew in time, and refuses when that can no longer help.
#[test]
fn the_folder_stays_under_its_limit() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path());
    let size = || {
        let files = std::fs::read_dir(folder.path()).unwrap();
        files.map(|f| f.unwrap().metadata().unwrap().len()).sum::<u64>()
    };
    for n in 0..500 {
        let number = store.accept(message(&n.to_string(), 50_000)).unwrap();
        store.over(number, NOW).unwrap();
        assert!(size() < DISK / 2, "{}", size());
    }
    let most = |store: &Journal| store.length + store.owed_bytes;
    let mut taken = 0;
    while store.accept(message(&format!("m{taken}"), 50_000)).is_ok() {
        taken += 1;
        assert!(most(&store) < DISK * 95 / 100 && size() < DISK, "{taken} taken, {} bytes", most(&store));
    }
    assert_eq!(taken, (DISK * 2 / 5 / 50_300) as usize);
    // Attempts of all that is held make the file grow, and it is written anew under the same limit.
    for n in 0..20_000 {
        let (number, _) = store.pending().nth(n % taken).unwrap();
        store.begin(number, attempt(1)).unwrap();
        assert!(most(&store) < DISK * 95 / 100, "{} bytes", most(&store));
    }
    drop(store);
    let (store, _) = open(folder.path());
    assert_eq!(store.pending().count(), taken);
}
