//! Injects faults into the system calls of a live run's processes, by means of a preloaded library.
use crate::plan::{PlannedFault, SystemFault};
use crate::scenario::{FaultKind, FolderError, SystemCall};
use micadrum_fault_control::{
    CONTROL_VARIABLE, ControlFile, Fault, FaultCount, FaultKind as SystemFaultKind, PATH_PREFIX_VARIABLE,
    RATE_UNIT, library_path,
};
use std::cell::Cell;
use std::io;
use std::path::{Path, PathBuf};
use tokio::process::Command;

/// The number of `EIO` on Linux.
const ERROR_INPUT_OUTPUT: i64 = 5;
/// The number of `ENOSPC` on Linux.
const ERROR_NO_SPACE: i64 = 28;
/// Maximum delay that is injected before a write, in microseconds.
const MAX_WRITE_DELAY_US: i64 = 150_000;

/// Controls the faults of one sender's system calls.
pub(super) struct SystemFaults {
    control: ControlFile,
    library: PathBuf,
    /// Sum of the steps of the wall clock so far, in microseconds.
    wall_step_us: Cell<i64>,
}

impl SystemFaults {
    /// Creates the control file in `folder`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written, or the library is not built.
    pub(super) fn create(folder: &Path, seed: u64) -> io::Result<Self> {
        let library = library_path().map_err(io::Error::other)?;
        let control = ControlFile::create(&folder.join("faults"), seed)?;
        Ok(Self { control, library, wall_step_us: Cell::default() })
    }

    /// Makes a process preload the library and read the control file; faults of folders apply to the one at
    /// `state`.
    pub(super) fn preload(&self, command: &mut Command, state: &Path) {
        command
            .env("LD_PRELOAD", &self.library)
            .env(CONTROL_VARIABLE, self.control.path())
            .env(PATH_PREFIX_VARIABLE, state);
    }

    /// Begins a fault of the plan if `fails` is set, and ends it otherwise.
    ///
    /// # Errors
    /// Returns an error if the control file cannot be written.
    pub(super) fn set(&self, fault: &PlannedFault, fails: bool) -> io::Result<()> {
        let kind = system_fault_kind(fault);
        if !fails {
            return self.control.end(kind);
        }
        let rate = (fault.call_share * RATE_UNIT as f64) as u64;
        let injected = Fault { rate, ..Fault::always(kind) };
        match kind {
            SystemFaultKind::WallClock => {
                self.wall_step_us.set(self.wall_step_us.get() + fault.system.step_us);
                self.control.begin(Fault::always(kind).with_parameter(self.wall_step_us.get()))
            }
            SystemFaultKind::FolderWrite => self.begin_folder_fault(injected, fault.system),
            SystemFaultKind::DelayedWrite => self.control.begin(injected.with_parameter(MAX_WRITE_DELAY_US)),
            _ => self.control.begin(injected),
        }
    }

    fn begin_folder_fault(&self, injected: Fault, system: SystemFault) -> io::Result<()> {
        if system.is_torn {
            self.control.begin(Fault { rate: RATE_UNIT / 2, ..Fault::always(SystemFaultKind::TornWrite) })?;
        }
        let error = match system.error {
            Some(FolderError::InputOutput) => ERROR_INPUT_OUTPUT,
            Some(FolderError::NoSpace) => ERROR_NO_SPACE,
            None => 0,
        };
        self.control.begin(injected.with_parameter(error))
    }

    /// Returns how often each kind of fault was injected.
    ///
    /// # Errors
    /// Returns an error if the control file cannot be read.
    pub(super) fn counts(&self) -> io::Result<Vec<(SystemFaultKind, FaultCount)>> {
        SystemFaultKind::ALL.iter().map(|kind| Ok((*kind, self.control.count(*kind)?))).collect()
    }
}

fn system_fault_kind(fault: &PlannedFault) -> SystemFaultKind {
    match (fault.kind, fault.system.call) {
        (FaultKind::WallClock, _) => SystemFaultKind::WallClock,
        (FaultKind::Folder, _) => SystemFaultKind::FolderWrite,
        (_, SystemCall::Accept) => SystemFaultKind::Accept,
        (_, SystemCall::Connect) => SystemFaultKind::Connect,
        (_, SystemCall::Socket) => SystemFaultKind::Socket,
        (_, SystemCall::Bind) => SystemFaultKind::Bind,
        (_, SystemCall::ShortTransfer) => SystemFaultKind::ShortTransfer,
        (_, SystemCall::Interrupt) => SystemFaultKind::Interrupt,
        (_, SystemCall::DelayedWrite) => SystemFaultKind::DelayedWrite,
    }
}
