//! Tests of which errors are this machine's own.
use super::*;

/// Guards against an endpoint that is ejected for what this machine lacks, and one that is not for what it does.
#[test]
fn only_what_this_machine_lacks_is_local() {
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
