//! Why a configuration cannot be reloaded.

/// Why a changed configuration requires a restart.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ChangeError {
    /// A section takes effect at the start only, for example because sockets are opened then.
    #[error("[{0}] cannot be turned on, off or over while a sender runs: restart it")]
    Section(&'static str),
    /// The sender's own identity among its peers has changed.
    #[error("peers: own {0} cannot change while a sender runs: restart it")]
    OwnIdentity(&'static str),
}
