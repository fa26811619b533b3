use super::*;
use crate::plan::EndpointPlan;

const S: Micros = 1_000_000;

fn destination(limit: Limit, capacity: f64) -> DestinationModel {
    let endpoint = EndpointPlan { number: 3, id: "s-3".to_owned(), building: 0, slots: 4 };
    let destination = Destination {
        number: 0,
        kind: Kind::Fleet,
        share: 1.0,
        capacity,
        limit,
        retry_after_share: 1.0,
        mean_service_us: 100_000.0,
        endpoints: vec![endpoint],
    };
    DestinationModel::new(&destination, 7)
}

fn call(model: &mut DestinationModel, at: Micros, key: &str) -> CallOutcome {
    let messages = [CallMessage { class: Class::TripRecord, key }];
    model.call(&IncomingCall {
        received_at: at,
        sent_at: at,
        sender: 0,
        endpoint: 3,
        condition: &Condition::default(),
        messages: &messages,
    })
}

/// Guards against a limit that lets more through than it says, or does not count what it refuses.
#[test]
fn limits_hold_for_all_calls_together() {
    let mut model = destination(Limit::Window(3), 100.0);
    let ends: Vec<_> = (0..5).map(|n| call(&mut model, 2 * S + n, &n.to_string()).ends[0]).collect();
    assert_eq!(ends[..3], [AttemptResult::Delivered; 3]);
    assert_eq!(ends[3..], [AttemptResult::Overloaded; 2]);
    let refused = call(&mut model, 3 * S, "x");
    assert_eq!(refused.retry_after, Some(S), "to the end of the span");
    assert_eq!(call(&mut model, 4 * S, "y").ends, [AttemptResult::Delivered]);
    let mut model = destination(Limit::Rate(10.0), 100.0);
    let through =
        (0..100).filter(|n| call(&mut model, n * 50_000, "k").ends[0] == AttemptResult::Delivered).count();
    assert!((25..=60).contains(&through), "{through} of 100 calls in 5 s at 10 a second");
}

/// Guards against a limit that falls only in what is reported, or does not come back.
#[test]
fn a_limit_that_falls_is_told_and_kept_to() {
    let mut model = destination(Limit::Rate(20.0), 100.0);
    let taken = |model: &mut DestinationModel, from: Micros| {
        let calls = (0..100).map(|n| call(model, from + n * S / 50, &format!("{from} {n}")));
        calls.filter(|outcome| outcome.ends == [AttemptResult::Delivered]).count()
    };
    let before = taken(&mut model, 0);
    model.set_limit_share(0, 0.5);
    assert_eq!(model.load_report(3, 10 * S).limit_per_second, 10.0);
    let during = taken(&mut model, 10 * S);
    model.set_limit_share(0, 1.0);
    let after = taken(&mut model, 20 * S);
    // 2 s of it, and what of it was left over.
    assert!(during <= 30 && after >= before, "{before} {during} {after}");
}

/// Guards against a key that is forgotten before its window, counted from its sending, is over, or kept on.
#[test]
fn a_repeat_is_dropped_in_its_window() {
    let mut model = destination(Limit::None, 100.0);
    assert_eq!(call(&mut model, 0, "k").effects, [true]);
    assert_eq!(call(&mut model, 4 * S + 999_000, "k").effects, [false]);
    assert_eq!(call(&mut model, 5 * S, "k").effects, [true]);
    assert_eq!(call(&mut model, 5 * S, "other").effects, [true]);
}

/// Guards against a cold partner that bears anything, or that chance alone pushes over.
#[test]
fn a_cold_partner_falls_when_pushed() {
    let pushed = |rate: u64, outage: Micros| {
        let mut model = destination(Limit::None, 100.0);
        assert!(model.set_outage(0, true, 10 * S) && !model.set_outage(0, true, 10 * S));
        assert!(model.set_outage(0, false, 10 * S + outage));
        (0..rate * 2).any(|n| call(&mut model, 10 * S + outage + n * S / rate, "k").collapse.is_some())
    };
    // At 19% and rising it bears some 45 calls a second, and chance's part.
    assert!(!pushed(30, 8 * S));
    assert!(pushed(100, 8 * S));
    assert!(!pushed(100, S), "so short an outage cools nothing");
    let mut model = destination(Limit::None, 100.0);
    let fell = (0..400).any(|n| call(&mut model, n * S / 200, "k").collapse.is_some());
    assert!(!fell, "a warm one does not fall");
}

/// Guards against a queue without end.
#[test]
fn a_full_queue_turns_away() {
    let mut model = destination(Limit::None, 100.0);
    let full =
        (0..200).filter(|n| call(&mut model, 0, &n.to_string()).ends[0] == AttemptResult::Overloaded).count();
    assert!((150..199).contains(&full), "{full} of 200");
}
