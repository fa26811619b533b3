//! Tests of the run-time check of an attempt.
use super::*;
use crate::TimeDelta;

const WINDOW: TimeDelta = TimeDelta(5_000_000);

fn allowed_send() -> SendContext {
    SendContext {
        now: Timestamp(20_000_000),
        is_finished: false,
        is_in_flight: false,
        is_endpoint_serving: true,
        idempotency: Idempotency::NonIdempotent,
        uncertain: None,
    }
}

/// Guards against a check that misses a broken rule, or blocks an attempt that all rules allow.
#[test]
fn reports_the_violated_rule() {
    assert_eq!(check_send(&allowed_send()), Ok(()));
    let cases = [
        (SendContext { is_finished: true, ..allowed_send() }, SendViolation::Finished),
        (SendContext { is_in_flight: true, ..allowed_send() }, SendViolation::InFlight),
        (SendContext { is_endpoint_serving: false, ..allowed_send() }, SendViolation::EndpointOutOfService),
    ];
    for (context, violation) in cases {
        assert_eq!(check_send(&context), Err(violation));
    }
}

/// Guards against a message that takes effect twice: without idempotency, after the deduplication window, or
/// in another zone.
#[test]
fn allows_only_retries_that_cannot_take_effect_twice() {
    let within = PriorAttempt { started_at: Timestamp(16_000_000), is_same_zone: false };
    let after = PriorAttempt { started_at: Timestamp(15_000_000), is_same_zone: true };
    let with_key = |scope| Idempotency::WithKey { scope, window: WINDOW };
    let check = |idempotency, uncertain| {
        check_send(&SendContext { idempotency, uncertain: Some(uncertain), ..allowed_send() })
    };
    let unsafe_retry = Err(SendViolation::UnsafeRetry);
    assert_eq!(check(Idempotency::Idempotent, after), Ok(()));
    assert_eq!(check(Idempotency::NonIdempotent, within), unsafe_retry);
    assert_eq!(check(with_key(DeduplicationScope::Destination), within), Ok(()));
    assert_eq!(check(with_key(DeduplicationScope::Destination), after), unsafe_retry);
    assert_eq!(check(with_key(DeduplicationScope::Zone), within), unsafe_retry);
    assert_eq!(
        check(with_key(DeduplicationScope::Zone), PriorAttempt { is_same_zone: true, ..within }),
        Ok(())
    );
}
