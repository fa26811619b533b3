//! Stands in for functions of the C library in a process under test, and makes some of the calls fail in the ways that Linux
//! documents.
//!
//! The library is loaded with `LD_PRELOAD`. Which calls fail stands in the control file (see `micadrum-fault-control`). Without
//! one, all calls pass. Calls that pass go to the kernel directly.
mod control;
mod files;
mod sockets;
mod time;

use libc::c_int;

/// Sets `errno` and returns what a failing system call returns.
fn fail(error: c_int) -> c_int {
    // SAFETY: the pointer to the calling thread's `errno` is always valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns the result of a raw system call in the type that the C library's function has.
fn result(returned: libc::c_long) -> c_int {
    returned as c_int
}
