//! Tests of the classification of `accept` errors.
use super::*;

/// Guards against closing connections for errors other than a lack of file descriptors.
#[test]
fn only_a_lack_of_descriptors_is_classified_as_descriptors() {
    let failure = |error: Errno| AcceptFailure::of(&error.into());
    for error in [Errno::MFILE, Errno::NFILE] {
        assert_eq!(failure(error), AcceptFailure::Descriptors, "{error}");
    }
    for error in [Errno::CONNABORTED, Errno::INTR, Errno::PROTO, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert_eq!(failure(error), AcceptFailure::Connection, "{error}");
    }
    for error in [Errno::NOBUFS, Errno::NOMEM, Errno::INVAL] {
        assert_eq!(failure(error), AcceptFailure::System, "{error}");
    }
}
