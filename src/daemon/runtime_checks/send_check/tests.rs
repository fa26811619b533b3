//! Tests of the check of one attempt.
use super::*;
use crate::TimeDelta;

const WINDOW: TimeDelta = TimeDelta(5_000_000);

fn allowed() -> SendFacts {
    SendFacts {
        now: Timestamp(20_000_000),
        is_finished: false,
        is_in_flight: false,
        is_endpoint_serving: true,
        idempotency: Idempotency::NonIdempotent,
        uncertain: None,
    }
}

/// Guards against a check that lets one of the rules go, or stops what all of them allow.
#[test]
fn each_rule_is_checked() {
    assert_eq!(check_send(&allowed()), Ok(()));
    let cases = [
        (SendFacts { is_finished: true, ..allowed() }, SendViolation::Finished),
        (SendFacts { is_in_flight: true, ..allowed() }, SendViolation::InFlight),
        (SendFacts { is_endpoint_serving: false, ..allowed() }, SendViolation::EndpointOut),
    ];
    for (facts, violation) in cases {
        assert_eq!(check_send(&facts), Err(violation));
    }
}

/// Guards against a second effect: of a message that must not be repeated, after the window, and in another zone.
#[test]
fn a_message_is_repeated_only_as_its_class_permits() {
    let within = UncertainSend { started_at: Timestamp(16_000_000), is_same_zone: false };
    let after = UncertainSend { started_at: Timestamp(15_000_000), is_same_zone: true };
    let with_key = |scope| Idempotency::WithKey { scope, window: WINDOW };
    let check = |idempotency, uncertain| {
        check_send(&SendFacts { idempotency, uncertain: Some(uncertain), ..allowed() })
    };
    let repeated = Err(SendViolation::Repeated);
    assert_eq!(check(Idempotency::Idempotent, after), Ok(()));
    assert_eq!(check(Idempotency::NonIdempotent, within), repeated);
    assert_eq!(check(with_key(DeduplicationScope::Destination), within), Ok(()));
    assert_eq!(check(with_key(DeduplicationScope::Destination), after), repeated);
    assert_eq!(check(with_key(DeduplicationScope::Zone), within), repeated);
    assert_eq!(
        check(with_key(DeduplicationScope::Zone), UncertainSend { is_same_zone: true, ..within }),
        Ok(())
    );
}
