//! Overrides libc functions in a process under test and makes some of the calls fail with errors that Linux
//! documents.
//!
//! The library is loaded with `LD_PRELOAD`. The control file (see `micadrum-fault-control`) specifies which
//! calls fail; without one, no call fails. All other calls go to the kernel directly, as raw system calls.
mod control;
mod files;
mod sockets;
mod time;

use libc::c_int;

/// Sets `errno` and returns -1, as a failing libc function does.
fn fail(error: c_int) -> c_int {
    // SAFETY: `__errno_location` always returns a valid pointer to the calling thread's `errno`.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Converts the result of `libc::syscall` to the return type of the libc function.
fn result(returned: libc::c_long) -> c_int {
    returned as c_int
}
