//! Tests of how often errors are logged.
use super::*;

/// Guards against a log that grows with what strangers do.
#[test]
fn errors_are_logged_once_a_second() {
    let mut limit = ErrorLogLimit::default();
    let logged = (0..2500).filter_map(|millis| limit.admit(Duration::from_millis(millis)));
    assert_eq!(logged.collect::<Vec<_>>(), [0, 999, 999]);
}
