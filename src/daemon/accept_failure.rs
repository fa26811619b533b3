//! What an error of `accept` says. No I/O and no clock.
use rustix::io::Errno;
use std::io;

/// What has to happen before the next connection can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection failed before it was accepted: the next one may be fine.
    Connection,
    /// There is no descriptor for the connection: another one has to be closed.
    Descriptors,
    /// The system lacks memory, or fails otherwise: it needs time.
    System,
}

impl AcceptFailure {
    /// Returns what an error says. Linux also reports errors of the new connection's network.
    pub fn of(error: &io::Error) -> Self {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE | Errno::NFILE) => Self::Descriptors,
            Some(
                Errno::CONNABORTED
                | Errno::INTR
                | Errno::AGAIN
                | Errno::NETDOWN
                | Errno::PROTO
                | Errno::NOPROTOOPT
                | Errno::HOSTDOWN
                | Errno::NONET
                | Errno::HOSTUNREACH
                | Errno::OPNOTSUPP
                | Errno::NETUNREACH
                | Errno::TIMEDOUT
                | Errno::CONNRESET
                | Errno::PERM,
            ) => Self::Connection,
            _ => Self::System,
        }
    }
}

#[cfg(test)]
mod tests;
