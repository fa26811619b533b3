//! A simulated folder that outlasts its process: it can be full, and end the process at a chosen write.
use super::net::Process;
use crate::plan::SeededRng;
use crate::scenario::Where;
use crate::world::senders::SyncBehavior;
use micadrum::daemon::ports::{AppendFile, LocalFuture, Storage};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

type File = Rc<RefCell<Content>>;

/// A simulated sync takes so long.
const SYNC: Duration = Duration::from_millis(2);
/// What is not synced is torn at multiples of so many bytes.
const SECTOR: usize = 512;

/// A file's bytes, and how many of them outlast the machine.
#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
    /// A sync of it has failed: what was not synced then never is, whatever later ones say.
    holed: bool,
}

impl Content {
    /// A sync of what it held when it was that long.
    fn sync(&mut self, length: usize, syncs: SyncBehavior) -> io::Result<()> {
        match syncs {
            SyncBehavior::Fail => {
                self.holed = true;
                return Err(io::ErrorKind::Other.into());
            }
            SyncBehavior::Lie => {}
            SyncBehavior::Work | SyncBehavior::Hang if self.holed => {}
            SyncBehavior::Work | SyncBehavior::Hang => {
                self.synced = self.synced.max(length.min(self.bytes.len()))
            }
        }
        Ok(())
    }
}

/// The folder of one sender, over all of its processes.
#[derive(Default)]
pub struct Disk {
    files: BTreeMap<String, File>,
    /// The names as they outlast the machine.
    synced_names: BTreeMap<String, File>,
    /// Takes no more bytes than this: others have filled the rest.
    full_at: Option<usize>,
    /// Ends the process at the write that makes this 0.
    pub kill_in: Option<(u64, Where)>,
    /// How it syncs.
    pub syncs: SyncBehavior,
    /// Bytes that it held at the most.
    pub most: usize,
    copy: BTreeMap<String, Vec<u8>>,
}

impl Disk {
    fn size(&self) -> usize {
        self.files.values().map(|file| file.borrow().bytes.len().next_multiple_of(512)).sum()
    }

    /// Fills up: only what the sender itself frees can be written again; or has room again.
    pub fn fill(&mut self, full: bool) {
        self.full_at = full.then(|| self.bytes());
    }

    fn bytes(&self) -> usize {
        self.files.values().map(|file| file.borrow().bytes.len()).sum()
    }

    /// Keeps a copy of all that it holds, or puts that copy in its place.
    pub fn copy(&mut self, back: bool) {
        if back {
            let file = |(name, bytes): (&String, &Vec<u8>)| {
                let content = Content { bytes: bytes.clone(), synced: bytes.len(), holed: false };
                (name.clone(), Rc::new(RefCell::new(content)))
            };
            self.files = self.copy.iter().map(file).collect();
            self.synced_names = self.files.clone();
        } else {
            let bytes = |(name, file): (&String, &File)| (name.clone(), file.borrow().bytes.clone());
            self.copy = self.files.iter().map(bytes).collect();
        }
    }

    /// The machine loses power: of each name what was synced or what came after, and of each file what was synced, and
    /// nothing, all or a part of the rest.
    pub fn lose_power(&mut self, dice: &mut SeededRng) {
        let names: BTreeSet<String> = self.files.keys().chain(self.synced_names.keys()).cloned().collect();
        let mut left = BTreeMap::new();
        for name in names {
            let from = if dice.chance(0.5) { &self.files } else { &self.synced_names };
            if let Some(file) = from.get(&name) {
                left.insert(name, file.clone());
            }
        }
        for file in left.values() {
            let mut content = file.borrow_mut();
            let rest = content.bytes.len() - content.synced;
            let kept = match dice.below(3) {
                0 => 0,
                1 => rest,
                _ => (dice.below(rest + 1) / SECTOR) * SECTOR,
            };
            let length = content.synced + kept;
            content.bytes.truncate(length);
            content.synced = length;
            content.holed = false;
        }
        self.synced_names = left.clone();
        self.files = left;
    }

    /// Loses all that it holds.
    pub fn wipe(&mut self) {
        self.files.clear();
        self.synced_names.clear();
    }
}

/// The folder as one process has it.
pub struct ProcessFolder {
    /// The folder.
    pub disk: Rc<RefCell<Disk>>,
    /// The process.
    pub process: Rc<Process>,
}

struct Handle {
    folder: ProcessFolder,
    file: File,
}

impl ProcessFolder {
    fn alive(&self) -> io::Result<()> {
        if self.process.is_dead() { Err(io::ErrorKind::BrokenPipe.into()) } else { Ok(()) }
    }

    fn handle(&self, file: File) -> Box<dyn AppendFile> {
        let folder = ProcessFolder { disk: self.disk.clone(), process: self.process.clone() };
        Box::new(Handle { folder, file })
    }
}

impl Storage for ProcessFolder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.alive()?;
        Ok(self.disk.borrow().files.get(name).map(|file| file.borrow().bytes.clone()))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        self.alive()?;
        let file = self.disk.borrow_mut().files.entry(name.to_owned()).or_default().clone();
        Ok(self.handle(file))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        self.alive()?;
        let file = File::default();
        self.disk.borrow_mut().files.insert(name.to_owned(), file.clone());
        Ok(self.handle(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.alive()?;
        let mut disk = self.disk.borrow_mut();
        let file = disk.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        self.alive()?;
        let mut disk = self.disk.borrow_mut();
        match disk.syncs {
            SyncBehavior::Fail => return Err(io::ErrorKind::Other.into()),
            SyncBehavior::Lie => {}
            SyncBehavior::Work | SyncBehavior::Hang => disk.synced_names = disk.files.clone(),
        }
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.alive()?;
        self.disk.borrow_mut().files.remove(name);
        Ok(())
    }
}

impl AppendFile for Handle {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.folder.alive()?;
        let mut disk = self.folder.disk.borrow_mut();
        if let Some(room) = disk.full_at.map(|most| most.saturating_sub(disk.bytes()))
            && room < bytes.len()
        {
            // As a real one: what still fits is written.
            self.file.borrow_mut().bytes.extend_from_slice(&bytes[..room]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut written = bytes.len();
        let mut killed = false;
        if let Some((left, place)) = &mut disk.kill_in {
            *left -= 1;
            if *left == 0 {
                killed = true;
                written = match place {
                    Where::Before => 0,
                    Where::Torn => bytes.len() / 2,
                    Where::After => bytes.len(),
                };
            }
        }
        self.file.borrow_mut().bytes.extend_from_slice(&bytes[..written]);
        disk.most = disk.most.max(disk.size());
        if killed {
            disk.kill_in = None;
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
            sleep(SYNC).await;
            while disk.borrow().syncs == SyncBehavior::Hang {
                sleep(SYNC).await;
            }
            if process.is_dead() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let syncs = disk.borrow().syncs;
            file.borrow_mut().sync(length, syncs)
        })
    }

    fn sync_now(&mut self) -> io::Result<()> {
        self.folder.alive()?;
        let syncs = self.folder.disk.borrow().syncs;
        let mut content = self.file.borrow_mut();
        let length = content.bytes.len();
        content.sync(length, syncs)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.folder.alive()?;
        let mut content = self.file.borrow_mut();
        content.bytes.truncate(length as usize);
        content.synced = content.synced.min(length as usize);
        Ok(())
    }
}
