//! Classifies errors of `accept` by what has to happen before the next call. No I/O and no clock.
use rustix::io::Errno;
use std::io;

/// The kind of an `accept` error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// One connection failed before it was accepted. The next call may succeed at once.
    Connection,
    /// No file descriptor is free. Another connection has to be closed first.
    Descriptors,
    /// The system is out of memory or failed in another way. The next call has to be delayed.
    System,
}

impl AcceptFailure {
    /// Classifies an error of `accept`. On Linux, `accept` also returns pending network errors of the new
    /// connection.
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
