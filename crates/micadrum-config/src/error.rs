//! Errors of a reload.

/// A change of the configuration that requires a restart.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ChangeError {
    /// A section that takes effect only at the start of the process was added, removed or changed.
    #[error("this change to [{0}] requires a restart of the sender")]
    Section(&'static str),
    /// The name, address or key under which this sender's peers know it has changed.
    #[error("a change of this sender's {0} in [peers] requires a restart of the sender")]
    OwnIdentity(&'static str),
}
