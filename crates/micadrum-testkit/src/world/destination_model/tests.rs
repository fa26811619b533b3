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

/// Guards against a limit that admits more calls than configured, or does not count the calls that it
/// rejects.
#[test]
fn admits_calls_up_to_the_window_and_rate_limits() {
    let mut model = destination(Limit::Window(3), 100.0);
    let ends: Vec<_> = (0..5).map(|n| call(&mut model, 2 * S + n, &n.to_string()).ends[0]).collect();
    assert_eq!(ends[..3], [AttemptResult::Delivered; 3]);
    assert_eq!(ends[3..], [AttemptResult::Overloaded; 2]);
    let rejected = call(&mut model, 3 * S, "x");
    assert_eq!(rejected.retry_after, Some(S), "the Retry-After lasts to the end of the window");
    assert_eq!(call(&mut model, 4 * S, "y").ends, [AttemptResult::Delivered]);
    let mut model = destination(Limit::Rate(10.0), 100.0);
    let admitted =
        (0..100).filter(|n| call(&mut model, n * 50_000, "k").ends[0] == AttemptResult::Delivered).count();
    assert!((25..=60).contains(&admitted), "admitted {admitted} of 100 calls in 5 s at 10 calls per second");
}

/// Guards against a reduced limit that is reported but not enforced, or that is not restored.
#[test]
fn reports_and_enforces_a_reduced_limit_until_it_is_restored() {
    let mut model = destination(Limit::Rate(20.0), 100.0);
    let count_admitted = |model: &mut DestinationModel, from: Micros| {
        let calls = (0..100).map(|n| call(model, from + n * S / 50, &format!("{from} {n}")));
        calls.filter(|outcome| outcome.ends == [AttemptResult::Delivered]).count()
    };
    let before = count_admitted(&mut model, 0);
    model.set_limit_share(0, 0.5);
    assert_eq!(model.load_report(3, 10 * S).limit_per_second, 10.0);
    let during = count_admitted(&mut model, 10 * S);
    model.set_limit_share(0, 1.0);
    let after = count_admitted(&mut model, 20 * S);
    // The reduced limit admits 20 calls in 2 s, and up to 10 more from the tokens that had accumulated.
    assert!(during <= 30 && after >= before, "admitted {before} before, {during} during, {after} after");
}

/// Guards against a key that expires before its deduplication window, measured from the send time, has
/// closed, or that is retained after it.
#[test]
fn drops_a_duplicate_only_within_the_deduplication_window() {
    let mut model = destination(Limit::None, 100.0);
    assert_eq!(call(&mut model, 0, "k").effects, [true]);
    assert_eq!(call(&mut model, 4 * S + 999_000, "k").effects, [false]);
    assert_eq!(call(&mut model, 5 * S, "k").effects, [true]);
    assert_eq!(call(&mut model, 5 * S, "other").effects, [true]);
}

/// Guards against a route in slow start that tolerates any load, or that collapses under random bursts alone.
#[test]
fn a_route_in_slow_start_collapses_only_under_sustained_overload() {
    let collapses = |rate: u64, outage: Micros| {
        let mut model = destination(Limit::None, 100.0);
        assert!(model.set_outage(0, true, 10 * S) && !model.set_outage(0, true, 10 * S));
        assert!(model.set_outage(0, false, 10 * S + outage));
        (0..rate * 2).any(|n| call(&mut model, 10 * S + outage + n * S / rate, "k").collapse.is_some())
    };
    // A route at the start of its slow start sustains about 45 calls per second, plus the tolerance for
    // bursts.
    assert!(!collapses(30, 8 * S));
    assert!(collapses(100, 8 * S));
    assert!(!collapses(100, S), "a short outage must not cause a slow start");
    let mut model = destination(Limit::None, 100.0);
    let collapsed = (0..400).any(|n| call(&mut model, n * S / 200, "k").collapse.is_some());
    assert!(!collapsed, "a route outside slow start must not collapse");
}

/// Guards against an unbounded queue.
#[test]
fn rejects_calls_when_the_queue_is_full() {
    let mut model = destination(Limit::None, 100.0);
    let rejected =
        (0..200).filter(|n| call(&mut model, 0, &n.to_string()).ends[0] == AttemptResult::Overloaded).count();
    assert!((150..199).contains(&rejected), "rejected {rejected} of 200 calls");
}
