//! A simulated disk that survives its process. It can be full, fail, and kill the process at a given write.
use super::process::Process;
use crate::plan::SeededRng;
use crate::scenario::WritePoint;
use crate::world::senders::SyncBehavior;
use micadrum::daemon::ports::{AppendFile, LocalFuture, Storage};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

type File = Rc<RefCell<Content>>;

/// Duration of a simulated sync.
const SYNC_DURATION: Duration = Duration::from_millis(2);
/// Unsynced data that partly survives a power loss is truncated to a multiple of this.
const SECTOR_BYTES: usize = 512;

/// The bytes of a file, and how many of them are durable.
#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
    /// Whether a sync has failed. After that no more bytes become durable, although later syncs report
    /// success.
    has_lost_sync: bool,
}

impl Content {
    /// Syncs the first `length` bytes.
    fn sync(&mut self, length: usize, behavior: SyncBehavior) -> io::Result<()> {
        match behavior {
            SyncBehavior::Fail => {
                self.has_lost_sync = true;
                return Err(io::ErrorKind::Other.into());
            }
            SyncBehavior::Ignore => {}
            SyncBehavior::Succeed | SyncBehavior::Hang if self.has_lost_sync => {}
            SyncBehavior::Succeed | SyncBehavior::Hang => {
                self.synced = self.synced.max(length.min(self.bytes.len()))
            }
        }
        Ok(())
    }
}

/// A request to kill the process at a later write.
pub struct KillAtWrite {
    /// Number of writes left, including the one at which the process is killed.
    pub remaining: u64,
    /// The point of that write at which the process is killed.
    pub write_point: WritePoint,
}

/// How changes of files fail during a fault of the state folder.
#[derive(Clone, Copy)]
pub struct WriteFailure {
    /// Whether a failing append writes the first half of its data.
    pub is_torn: bool,
}

/// The disk of one sender, which successive processes of the sender share.
#[derive(Default)]
pub struct Disk {
    files: BTreeMap<String, File>,
    /// The durable directory entries.
    synced_names: BTreeMap<String, File>,
    /// Limit on the total size of all files; `None` if the disk is not full.
    max_bytes: Option<usize>,
    /// The pending request to kill the process at a write.
    pub kill_at_write: Option<KillAtWrite>,
    /// How the disk performs syncs.
    pub sync_behavior: SyncBehavior,
    /// How changes of files fail; `None` if they succeed.
    pub write_failure: Option<WriteFailure>,
    /// The largest total size of the files so far, in bytes; each file is rounded up to whole sectors.
    pub peak_bytes: usize,
    /// The contents of the files at the last call of [`Disk::save`].
    saved: BTreeMap<String, Vec<u8>>,
}

impl Disk {
    fn size(&self) -> usize {
        self.files.values().map(|file| file.borrow().bytes.len().next_multiple_of(SECTOR_BYTES)).sum()
    }

    /// Makes the disk full, so that writes need space that the sender has freed since, or ends that state.
    pub fn fill(&mut self, full: bool) {
        self.max_bytes = full.then(|| self.bytes());
    }

    fn bytes(&self) -> usize {
        self.files.values().map(|file| file.borrow().bytes.len()).sum()
    }

    /// Saves a copy of all files for [`Disk::restore`].
    pub fn save(&mut self) {
        let bytes = |(name, file): (&String, &File)| (name.clone(), file.borrow().bytes.clone());
        self.saved = self.files.iter().map(bytes).collect();
    }

    /// Replaces all files by the saved copy, which is durable then.
    pub fn restore(&mut self) {
        let file = |(name, bytes): (&String, &Vec<u8>)| {
            let content = Content { bytes: bytes.clone(), synced: bytes.len(), has_lost_sync: false };
            (name.clone(), Rc::new(RefCell::new(content)))
        };
        self.files = self.saved.iter().map(file).collect();
        self.synced_names = self.files.clone();
    }

    /// Discards unsynced state as a power loss does. Each name keeps either its durable or its latest file,
    /// and each file keeps its synced bytes and none, all or a part of the others.
    pub fn discard_unsynced(&mut self, random: &mut SeededRng) {
        let names: BTreeSet<String> = self.files.keys().chain(self.synced_names.keys()).cloned().collect();
        let mut remaining = BTreeMap::new();
        for name in names {
            let from = if random.chance(0.5) { &self.files } else { &self.synced_names };
            if let Some(file) = from.get(&name) {
                remaining.insert(name, file.clone());
            }
        }
        for file in remaining.values() {
            let mut content = file.borrow_mut();
            let unsynced = content.bytes.len() - content.synced;
            let kept = match random.below(3) {
                0 => 0,
                1 => unsynced,
                _ => (random.below(unsynced + 1) / SECTOR_BYTES) * SECTOR_BYTES,
            };
            let length = content.synced + kept;
            content.bytes.truncate(length);
            content.synced = length;
            content.has_lost_sync = false;
        }
        self.synced_names = remaining.clone();
        self.files = remaining;
    }

    /// Removes all files.
    pub fn wipe(&mut self) {
        self.files.clear();
        self.synced_names.clear();
    }
}

/// The state folder as one process accesses it.
pub struct ProcessFolder {
    /// The disk that the folder is on.
    pub disk: Rc<RefCell<Disk>>,
    /// The process. Once it is dead, all operations fail.
    pub process: Rc<Process>,
}

/// An open file.
struct Handle {
    folder: ProcessFolder,
    file: File,
}

impl ProcessFolder {
    fn check_running(&self) -> io::Result<()> {
        if self.process.is_dead() { Err(io::ErrorKind::BrokenPipe.into()) } else { Ok(()) }
    }

    /// Returns an error if the process is dead, or if a fault makes changes of files fail.
    fn check_writable(&self) -> io::Result<()> {
        self.check_running()?;
        if self.disk.borrow().write_failure.is_some() {
            Err(io::Error::other("injected fault of the state folder"))
        } else {
            Ok(())
        }
    }

    fn handle(&self, file: File) -> Box<dyn AppendFile> {
        let folder = ProcessFolder { disk: self.disk.clone(), process: self.process.clone() };
        Box::new(Handle { folder, file })
    }
}

impl Storage for ProcessFolder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.check_running()?;
        Ok(self.disk.borrow().files.get(name).map(|file| file.borrow().bytes.clone()))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        self.check_writable()?;
        let file = self.disk.borrow_mut().files.entry(name.to_owned()).or_default().clone();
        Ok(self.handle(file))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        self.check_writable()?;
        let file = File::default();
        self.disk.borrow_mut().files.insert(name.to_owned(), file.clone());
        Ok(self.handle(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.check_writable()?;
        let mut disk = self.disk.borrow_mut();
        let file = disk.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.check_writable()?;
        let mut disk = self.disk.borrow_mut();
        match disk.sync_behavior {
            SyncBehavior::Fail => return Err(io::ErrorKind::Other.into()),
            SyncBehavior::Ignore => {}
            SyncBehavior::Succeed | SyncBehavior::Hang => disk.synced_names = disk.files.clone(),
        }
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.check_running()?;
        self.disk.borrow_mut().files.remove(name);
        Ok(())
    }
}

impl AppendFile for Handle {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.folder.check_running()?;
        let failure = self.folder.disk.borrow().write_failure;
        if let Some(WriteFailure { is_torn }) = failure {
            let written = if is_torn { bytes.len() / 2 } else { 0 };
            self.file.borrow_mut().bytes.extend_from_slice(&bytes[..written]);
            return Err(io::Error::other("injected fault of the state folder"));
        }
        let mut disk = self.folder.disk.borrow_mut();
        if let Some(free_bytes) = disk.max_bytes.map(|max| max.saturating_sub(disk.bytes()))
            && free_bytes < bytes.len()
        {
            // Like a real file system, write the part that fits.
            self.file.borrow_mut().bytes.extend_from_slice(&bytes[..free_bytes]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut written = bytes.len();
        let mut killed = false;
        if let Some(KillAtWrite { remaining, write_point }) = &mut disk.kill_at_write {
            *remaining -= 1;
            if *remaining == 0 {
                killed = true;
                written = match write_point {
                    WritePoint::Before => 0,
                    WritePoint::Torn => bytes.len() / 2,
                    WritePoint::After => bytes.len(),
                };
            }
        }
        self.file.borrow_mut().bytes.extend_from_slice(&bytes[..written]);
        disk.peak_bytes = disk.peak_bytes.max(disk.size());
        if killed {
            disk.kill_at_write = None;
            drop(disk);
            self.folder.process.kill();
        }
        Ok(())
    }

    fn sync(&self) -> LocalFuture<'static, io::Result<()>> {
        let (file, process) = (self.file.clone(), self.folder.process.clone());
        let disk = self.folder.disk.clone();
        let length = file.borrow().bytes.len();
        Box::pin(async move {
            sleep(SYNC_DURATION).await;
            while disk.borrow().sync_behavior == SyncBehavior::Hang {
                sleep(SYNC_DURATION).await;
            }
            if process.is_dead() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let behavior = disk.borrow().sync_behavior;
            file.borrow_mut().sync(length, behavior)
        })
    }

    fn sync_now(&mut self) -> io::Result<()> {
        self.folder.check_writable()?;
        let behavior = self.folder.disk.borrow().sync_behavior;
        let mut content = self.file.borrow_mut();
        let length = content.bytes.len();
        content.sync(length, behavior)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.folder.check_writable()?;
        let mut content = self.file.borrow_mut();
        content.bytes.truncate(length as usize);
        content.synced = content.synced.min(length as usize);
        Ok(())
    }
}
