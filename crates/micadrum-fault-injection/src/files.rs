//! Overrides of the libc functions that operate on files.
use crate::control::{Control, control, injected, injected_error};
use crate::{fail, result};
use libc::{c_char, c_int, c_void, off_t, size_t, ssize_t};
use micadrum_fault_control::FaultKind;
use std::ffi::CStr;

const FOLDER_ERRORS: [c_int; 2] = [libc::EIO, libc::ENOSPC];
const READ_ERRORS: [c_int; 1] = [libc::EIO];
const INTERRUPTED: [c_int; 1] = [libc::EINTR];

/// Returns the control file if a fault of this kind is enabled and applies to the descriptor.
fn folder_control(kind: FaultKind, descriptor: c_int) -> Option<&'static Control> {
    let control = control().filter(|control| control.is_active(kind))?;
    control.is_file_in_folder(descriptor).then_some(control)
}

/// Returns the error to inject into a modification of the file that `descriptor` refers to.
fn write_error(descriptor: c_int) -> Option<c_int> {
    folder_control(FaultKind::FolderWrite, descriptor)?;
    injected_error(FaultKind::FolderWrite, &FOLDER_ERRORS)
}

/// Returns the error to inject into a call on `path`.
fn path_error(kind: FaultKind, path: *const c_char, documented: &[c_int]) -> Option<c_int> {
    let control = control().filter(|control| control.is_active(kind))?;
    // SAFETY: the caller passes a NUL-terminated path.
    let path = unsafe { CStr::from_ptr(path) };
    if !control.is_in_folder(path.to_bytes()) {
        return None;
    }
    injected_error(kind, documented)
}

/// Overrides `write`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    // Only files under the path prefix are interrupted: a write to an event descriptor never blocks, so it
    // never fails with `EINTR`.
    if folder_control(FaultKind::Interrupt, descriptor).is_some()
        && let Some(error) = injected_error(FaultKind::Interrupt, &INTERRUPTED)
    {
        return fail(error) as ssize_t;
    }
    if let Some(error) = write_error(descriptor) {
        if length > 1 && injected(FaultKind::TornWrite).is_some() {
            // SAFETY: the caller's buffer holds at least `length` bytes.
            unsafe { libc::syscall(libc::SYS_write, descriptor, buffer, length / 2) };
        }
        return fail(error) as ssize_t;
    }
    // SAFETY: the arguments are passed through unchanged.
    unsafe { libc::syscall(libc::SYS_write, descriptor, buffer, length) as ssize_t }
}

/// Overrides `read`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if folder_control(FaultKind::FolderRead, descriptor).is_some()
        && let Some(error) = injected_error(FaultKind::FolderRead, &READ_ERRORS)
    {
        return fail(error) as ssize_t;
    }
    // SAFETY: the arguments are passed through unchanged.
    unsafe { libc::syscall(libc::SYS_read, descriptor, buffer, length) as ssize_t }
}

/// Overrides `fdatasync`.
#[unsafe(no_mangle)]
pub extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if let Some(error) = write_error(descriptor) {
        return fail(error);
    }
    // SAFETY: the system call takes no pointers.
    result(unsafe { libc::syscall(libc::SYS_fdatasync, descriptor) })
}

/// Overrides `fsync`.
#[unsafe(no_mangle)]
pub extern "C" fn fsync(descriptor: c_int) -> c_int {
    if let Some(error) = write_error(descriptor) {
        return fail(error);
    }
    // SAFETY: the system call takes no pointers.
    result(unsafe { libc::syscall(libc::SYS_fsync, descriptor) })
}

/// Overrides `ftruncate64`.
#[unsafe(no_mangle)]
pub extern "C" fn ftruncate64(descriptor: c_int, length: off_t) -> c_int {
    if let Some(error) = write_error(descriptor) {
        return fail(error);
    }
    // SAFETY: the system call takes no pointers.
    result(unsafe { libc::syscall(libc::SYS_ftruncate, descriptor, length) })
}

/// Overrides `rename`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if let Some(error) = path_error(FaultKind::FolderWrite, to, &FOLDER_ERRORS) {
        return fail(error);
    }
    // SAFETY: the paths are passed through unchanged.
    result(unsafe { libc::syscall(libc::SYS_renameat2, libc::AT_FDCWD, from, libc::AT_FDCWD, to, 0) })
}

/// Overrides `open64`. In C its mode is a variadic argument, which the calling convention passes like a fixed
/// one.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int {
    if let Some(error) = injected_error(FaultKind::Interrupt, &INTERRUPTED) {
        return fail(error);
    }
    let error = if flags & libc::O_CREAT != 0 {
        path_error(FaultKind::FolderWrite, path, &FOLDER_ERRORS)
    } else {
        path_error(FaultKind::FolderRead, path, &READ_ERRORS)
    };
    if let Some(error) = error {
        return fail(error);
    }
    // SAFETY: the arguments are passed through unchanged.
    result(unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) })
}
