//! The control file of the fault injection library. It specifies which system calls of a process fail and
//! counts the injected failures.
//!
//! A test writes the file with [`ControlFile`]; `micadrum-fault-injection`, preloaded into the process under
//! test, maps the same file into memory and reads it on each call. A change takes effect at the next system
//! call. The counts remain in the file after the process has been killed.
//!
//! The file is an array of little-endian 64-bit words: the seed, then [`WORDS_PER_FAULT`] words for each
//! [`FaultKind`].
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that names the control file of a process.
pub const CONTROL_VARIABLE: &str = "MICADRUM_FAULT_CONTROL";
/// The environment variable that holds the path prefix of the files that the folder faults apply to, such as
/// [`FaultKind::FolderWrite`] and [`FaultKind::FolderRead`].
pub const PATH_PREFIX_VARIABLE: &str = "MICADRUM_FAULT_PATH_PREFIX";
/// The file name of the preloaded library.
pub const LIBRARY_NAME: &str = "libmicadrum_fault_injection.so";
/// The value of [`Fault::rate`] at which every system call fails; rates are in parts per million.
pub const RATE_UNIT: u64 = 1_000_000;
/// The value of [`Fault::limit`] that places no limit on the number of failures.
pub const UNLIMITED: u64 = u64::MAX;

const WORD_BYTES: u64 = 8;
/// The index of the word that holds the seed.
pub const SEED_WORD: usize = 0;
/// The number of words in the file for each kind of fault.
pub const WORDS_PER_FAULT: usize = 6;

/// A kind of fault: the system calls that are affected, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// `accept4` fails.
    Accept,
    /// `connect` fails immediately.
    Connect,
    /// `socket` fails.
    Socket,
    /// `bind` fails.
    Bind,
    /// Socket reads and writes transfer fewer bytes than requested, but at least one.
    ShortTransfer,
    /// Socket reads fail with a connection error.
    Receive,
    /// Blocking system calls, and transfers on sockets and files, fail with `EINTR`.
    Interrupt,
    /// Writes to sockets are delayed by a random time; the parameter is its upper bound, in microseconds.
    DelayedWrite,
    /// Writes, syncs, truncations, renames and creations of files under the path prefix fail.
    FolderWrite,
    /// A write that `FolderWrite` makes fail first writes part of its data. Has no effect without
    /// `FolderWrite`.
    TornWrite,
    /// Opening and reading files under the path prefix fails.
    FolderRead,
    /// The wall clock is shifted by the parameter, in signed microseconds.
    WallClock,
}

impl FaultKind {
    /// All kinds, in the order in which the file stores them.
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

    /// Returns the name of the kind, as reports print it.
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

    /// Returns the index in the file of one of the words of this kind.
    #[must_use]
    pub fn word(self, word: FaultWord) -> usize {
        SEED_WORD + 1 + self as usize * WORDS_PER_FAULT + word as usize
    }
}

/// The words that the file stores for each kind of fault, in order.
#[derive(Clone, Copy, Debug)]
pub enum FaultWord {
    /// The fraction of the system calls that fail, in units of 1 / [`RATE_UNIT`]; zero disables the fault.
    Rate,
    /// The number of system calls that still succeed before the rate applies.
    Skip,
    /// The number of system calls that may still fail.
    Remaining,
    /// The error number, or the parameter that the [`FaultKind`] documents.
    Parameter,
    /// The number of eligible system calls made while the fault was enabled.
    Seen,
    /// The number of system calls that the fault has affected.
    Injected,
}

/// Returns the length of a control file, in 64-bit words.
#[must_use]
pub const fn file_words() -> usize {
    SEED_WORD + 1 + FaultKind::ALL.len() * WORDS_PER_FAULT
}

/// The settings of a fault of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The fraction of the system calls that fail, in units of 1 / [`RATE_UNIT`].
    pub rate: u64,
    /// The number of system calls that succeed before the rate applies.
    pub skip: u64,
    /// The maximum number of system calls that fail; [`UNLIMITED`] for no limit.
    pub limit: u64,
    /// The error number, or the parameter that the [`FaultKind`] documents. An error number of 0 chooses at
    /// random among the errors that Linux documents for the call.
    pub parameter: i64,
}

impl Fault {
    /// Creates a fault that affects every system call of its kind.
    #[must_use]
    pub fn always(kind: FaultKind) -> Self {
        Self { kind, rate: RATE_UNIT, skip: 0, limit: UNLIMITED, parameter: 0 }
    }

    /// Creates a fault that affects system calls at random, one in `calls` on average.
    #[must_use]
    pub fn one_in(kind: FaultKind, calls: u64) -> Self {
        Self { rate: RATE_UNIT / calls.max(1), ..Self::always(kind) }
    }

    /// Sets the error number, or the parameter that the [`FaultKind`] documents.
    #[must_use]
    pub fn with_parameter(self, parameter: i64) -> Self {
        Self { parameter, ..self }
    }

    /// Sets the number of system calls that succeed before the rate applies.
    #[must_use]
    pub fn after(self, skip: u64) -> Self {
        Self { skip, ..self }
    }

    /// Sets the maximum number of system calls that fail.
    #[must_use]
    pub fn at_most(self, limit: u64) -> Self {
        Self { limit, ..self }
    }
}

/// The counts of system calls for one kind of fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCount {
    /// The number of eligible system calls made while the fault was enabled.
    pub seen: u64,
    /// The number of system calls that the fault has affected.
    pub injected: u64,
}

/// The control file of a process under test.
pub struct ControlFile {
    file: File,
    path: PathBuf,
}

impl ControlFile {
    /// Creates a control file without faults. An existing file is overwritten.
    ///
    /// # Errors
    /// Returns an error if the file cannot be created or written.
    pub fn create(path: &Path, seed: u64) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(file_words() as u64 * WORD_BYTES)?;
        let control = Self { file, path: path.to_owned() };
        control.write(SEED_WORD, seed)?;
        Ok(control)
    }

    /// Returns the path of the file, to be passed in [`CONTROL_VARIABLE`].
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Enables a fault. It replaces the previous fault of the same kind.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn begin(&self, fault: Fault) -> io::Result<()> {
        let Fault { kind, rate, skip, limit, parameter } = fault;
        self.end(kind)?;
        self.write(kind.word(FaultWord::Skip), skip)?;
        self.write(kind.word(FaultWord::Remaining), limit)?;
        self.write(kind.word(FaultWord::Parameter), parameter.cast_unsigned())?;
        // The rate is written last, as a non-zero rate enables the fault.
        self.write(kind.word(FaultWord::Rate), rate)
    }

    /// Disables the fault of a kind.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn end(&self, kind: FaultKind) -> io::Result<()> {
        self.write(kind.word(FaultWord::Rate), 0)
    }

    /// Returns the counts for a kind of fault since the file was created.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read.
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

/// The error of [`library_path`] when the built library is missing. It holds the folder that was searched.
#[derive(Debug, thiserror::Error)]
#[error("{LIBRARY_NAME} not found in {0}; build it with `cargo build --workspace`")]
pub struct LibraryMissing(PathBuf);

/// Returns the path of the built library, to be passed in `LD_PRELOAD`. Searches the folder of the running
/// program, that folder's parent, and the `deps` folders in both.
///
/// # Errors
/// Returns an error if the library is in none of these folders.
pub fn library_path() -> Result<PathBuf, LibraryMissing> {
    let program = std::env::current_exe().unwrap_or_default();
    let folders = program.ancestors().skip(1).take(2);
    let candidates = folders.flat_map(|folder| [folder.to_owned(), folder.join("deps")]);
    let found = candidates.map(|folder| folder.join(LIBRARY_NAME)).find(|path| path.exists());
    found.ok_or_else(|| LibraryMissing(program.parent().unwrap_or(Path::new("")).to_owned()))
}
