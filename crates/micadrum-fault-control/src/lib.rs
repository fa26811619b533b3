//! The control file of the fault injection library: which system calls of a process fail, and how many did.
//!
//! A test writes the file with [`ControlFile`]; `micadrum-fault-injection`, preloaded into the process under test, maps the
//! same file into memory and obeys it. A change takes effect at the next system call. The file outlives the process, so that
//! the counts of a process that was killed are not lost.
//!
//! The file is an array of little-endian 64-bit words: the seed, then [`WORDS_PER_FAULT`] words for each [`FaultKind`].
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that names the control file of a process.
pub const CONTROL_VARIABLE: &str = "MICADRUM_FAULT_CONTROL";
/// The environment variable with the start of the paths that [`FaultKind::FolderWrite`] and [`FaultKind::FolderRead`] are
/// about.
pub const PATH_PREFIX_VARIABLE: &str = "MICADRUM_FAULT_PATH_PREFIX";
/// The file name of the preloaded library.
pub const LIBRARY_NAME: &str = "libmicadrum_fault_injection.so";
/// Unit of [`Fault::rate`].
pub const RATE_UNIT: u64 = 1_000_000;
/// No bound on the number of injections.
pub const UNLIMITED: u64 = u64::MAX;

const WORD_BYTES: u64 = 8;
/// The word that holds the seed.
pub const SEED_WORD: usize = 0;
/// Words of one kind of fault.
pub const WORDS_PER_FAULT: usize = 6;

/// What is made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// `accept4` fails.
    Accept,
    /// `connect` fails at once.
    Connect,
    /// `socket` fails.
    Socket,
    /// `bind` fails.
    Bind,
    /// Socket reads and writes transfer a part of what they could, at least one byte.
    ShortTransfer,
    /// Socket reads fail: the connection has an error.
    Receive,
    /// System calls that wait, or transfer on sockets and files, fail with `EINTR`.
    Interrupt,
    /// Writes to sockets are delayed by up to the parameter, in microseconds.
    DelayedWrite,
    /// Writes, syncs, truncations, renames and creations of files in the folder fail.
    FolderWrite,
    /// A failing write to a file in the folder writes a part first; takes effect together with `FolderWrite`.
    TornWrite,
    /// Openings and reads of files in the folder fail.
    FolderRead,
    /// The wall clock is off by the parameter, in microseconds as a signed number.
    WallClock,
}

impl FaultKind {
    /// All kinds, in the order of the file.
    pub const ALL: [Self; 12] = [
        Self::Accept,
        Self::Connect,
        Self::Socket,
        Self::Bind,
        Self::ShortTransfer,
        Self::Receive,
        Self::Interrupt,
        Self::DelayedWrite,
        Self::FolderWrite,
        Self::TornWrite,
        Self::FolderRead,
        Self::WallClock,
    ];

    /// Returns the name that reports use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::Connect => "connect",
            Self::Socket => "socket",
            Self::Bind => "bind",
            Self::ShortTransfer => "short-transfer",
            Self::Receive => "receive",
            Self::Interrupt => "interrupt",
            Self::DelayedWrite => "delayed-write",
            Self::FolderWrite => "folder-write",
            Self::TornWrite => "torn-write",
            Self::FolderRead => "folder-read",
            Self::WallClock => "wall-clock",
        }
    }

    /// Returns the index of a word of this kind.
    #[must_use]
    pub fn word(self, word: FaultWord) -> usize {
        SEED_WORD + 1 + self as usize * WORDS_PER_FAULT + word as usize
    }
}

/// The words of a kind of fault.
#[derive(Clone, Copy, Debug)]
pub enum FaultWord {
    /// The share of the system calls that fail, in [`RATE_UNIT`]ths.
    Rate,
    /// How many more system calls pass before the rate applies.
    Skip,
    /// How many more system calls may fail.
    Remaining,
    /// The error number, or what the kind says.
    Parameter,
    /// How many system calls the fault could have hit while its rate was not zero.
    Seen,
    /// How many system calls were made to fail.
    Injected,
}

/// Returns the number of words of a control file.
#[must_use]
pub const fn file_words() -> usize {
    SEED_WORD + 1 + FaultKind::ALL.len() * WORDS_PER_FAULT
}

/// How a kind of system call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// The share of the system calls that fail, in [`RATE_UNIT`]ths.
    pub rate: u64,
    /// How many system calls pass first.
    pub skip: u64,
    /// How many system calls fail at most.
    pub limit: u64,
    /// The error number, or what the kind says; 0 chooses among the errors that the system documents for the call.
    pub parameter: i64,
}

impl Fault {
    /// Creates a fault that hits every system call of its kind.
    #[must_use]
    pub fn always(kind: FaultKind) -> Self {
        Self { kind, rate: RATE_UNIT, skip: 0, limit: UNLIMITED, parameter: 0 }
    }

    /// Creates a fault that hits one of so many system calls, at random.
    #[must_use]
    pub fn one_in(kind: FaultKind, calls: u64) -> Self {
        Self { rate: RATE_UNIT / calls.max(1), ..Self::always(kind) }
    }

    /// Sets the error number, or what the kind says.
    #[must_use]
    pub fn with_parameter(self, parameter: i64) -> Self {
        Self { parameter, ..self }
    }

    /// Sets how many system calls pass first.
    #[must_use]
    pub fn after(self, skip: u64) -> Self {
        Self { skip, ..self }
    }

    /// Sets how many system calls fail at most.
    #[must_use]
    pub fn at_most(self, limit: u64) -> Self {
        Self { limit, ..self }
    }
}

/// How often a fault was injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCount {
    /// How many system calls the fault could have hit.
    pub seen: u64,
    /// How many system calls were made to fail.
    pub injected: u64,
}

/// The control file of a process under test.
pub struct ControlFile {
    file: File,
    path: PathBuf,
}

impl ControlFile {
    /// Creates a control file under which nothing fails.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn create(path: &Path, seed: u64) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(file_words() as u64 * WORD_BYTES)?;
        let control = Self { file, path: path.to_owned() };
        control.write(SEED_WORD, seed)?;
        Ok(control)
    }

    /// Returns the path of the file, for [`CONTROL_VARIABLE`].
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Begins a fault, in place of another one of its kind.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn begin(&self, fault: Fault) -> io::Result<()> {
        let Fault { kind, rate, skip, limit, parameter } = fault;
        self.end(kind)?;
        self.write(kind.word(FaultWord::Skip), skip)?;
        self.write(kind.word(FaultWord::Remaining), limit)?;
        self.write(kind.word(FaultWord::Parameter), parameter.cast_unsigned())?;
        // Last: the fault is complete once the rate says that there is one.
        self.write(kind.word(FaultWord::Rate), rate)
    }

    /// Ends the fault of a kind.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn end(&self, kind: FaultKind) -> io::Result<()> {
        self.write(kind.word(FaultWord::Rate), 0)
    }

    /// Returns how often a kind of fault was injected so far.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn count(&self, kind: FaultKind) -> io::Result<FaultCount> {
        Ok(FaultCount {
            seen: self.read(kind.word(FaultWord::Seen))?,
            injected: self.read(kind.word(FaultWord::Injected))?,
        })
    }

    fn write(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_le_bytes(), word as u64 * WORD_BYTES)
    }

    fn read(&self, word: usize) -> io::Result<u64> {
        let mut bytes = [0; WORD_BYTES as usize];
        self.file.read_exact_at(&mut bytes, word as u64 * WORD_BYTES)?;
        Ok(u64::from_le_bytes(bytes))
    }
}

/// The library cannot be found.
#[derive(Debug, thiserror::Error)]
#[error("{LIBRARY_NAME} is not in {0}: build the whole workspace")]
pub struct LibraryMissing(PathBuf);

/// Returns the path of the built library, for `LD_PRELOAD`: beside the running program, or in a neighbouring folder.
///
/// # Errors
/// There is no such file.
pub fn library_path() -> Result<PathBuf, LibraryMissing> {
    let program = std::env::current_exe().unwrap_or_default();
    let folders = program.ancestors().skip(1).take(2);
    let candidates = folders.flat_map(|folder| [folder.to_owned(), folder.join("deps")]);
    let found = candidates.map(|folder| folder.join(LIBRARY_NAME)).find(|path| path.exists());
    found.ok_or_else(|| LibraryMissing(program.parent().unwrap_or(Path::new("")).to_owned()))
}
