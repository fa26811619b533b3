//! Tests of the rate limit for logging errors.
use super::*;

/// Guards against clients that can fill the log by causing errors.
#[test]
fn errors_are_logged_at_most_once_a_second() {
    let mut limit = ErrorLogLimit::default();
    let logged = (0..2500).filter_map(|millis| limit.admit(Duration::from_millis(millis)));
    assert_eq!(logged.collect::<Vec<_>>(), [0, 999, 999]);
}
