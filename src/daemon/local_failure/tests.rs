//! Tests of the recognition of local socket errors.
use super::*;

/// Guards against ejecting an endpoint for a failure of this machine, and against keeping one in service that
/// failed itself.
#[test]
fn only_errors_caused_by_this_machine_are_local() {
    for error in
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::NETUNREACH]
    {
        assert!(is_local(&error.into()), "{error}");
    }
    for error in [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNRESET] {
        assert!(!is_local(&error.into()), "{error}");
    }
    assert!(!is_local(&io::ErrorKind::TimedOut.into()));
}
