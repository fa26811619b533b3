//! Which errors of sockets are this machine's own, and say nothing of the other side. No I/O and no clock.
use rustix::io::Errno;
use std::io;

/// Whether an error of `socket`, `connect` or `bind` comes from this machine: it lacks descriptors, memory, ports or a route.
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
