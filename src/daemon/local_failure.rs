//! Recognizes socket errors that are caused by this machine and not by the remote side. No I/O and no clock.
use rustix::io::Errno;
use std::io;

/// Returns whether an error of `socket`, `connect` or `bind` is caused by this machine: a lack of
/// descriptors, memory, ports or a route.
pub fn is_local(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::ADDRNOTAVAIL
                | Errno::NETUNREACH
                | Errno::NETDOWN
                | Errno::AGAIN
                | Errno::INTR
        )
    )
}

#[cfg(test)]
mod tests;
