use super::*;
use crate::decision::reference;
use crate::pacing::Route;
use crate::{DestinationId, EndpointId, Rules};

const SECOND: u64 = 1_000_000;
const NOW: Timestamp = Timestamp(100_000 * SECOND);

fn settings() -> Settings {
    let base = reference::settings(&mut reference::TestRng::new(1));
    let rules = Rules {
        slow_start_duration: TimeDelta(11 * SECOND),
        overload_window: TimeDelta(1_500_000),
        ..base.rules
    };
    Settings { fleet_size: 300, rules, ..base }
}

fn route() -> Route {
    let mut route = Route::default();
    (route.destination, route.endpoint) = (DestinationId(1), Some(EndpointId(1)));
    (route.latency, route.limit, route.remaining_share) = (80_000.0, 120.0, 1.0);
    (route.pacer.updated_at, route.pacer.rate, route.pacer.pace, route.pacer.tokens) = (NOW, 3.0, 2.0, 1.0);
    route
}

fn aged(route: Route, age: u64) -> Route {
    RouteSnapshot(route).aged(NOW, Timestamp(NOW.0 + age), 0.25, &settings()).0
}

/// Guards against a restarted process that ignores a Retry-After, an outage or the progress of a slow start
/// from before the restart.
#[test]
fn aging_keeps_retry_after_outage_and_slow_start() {
    let wait = Timestamp(NOW.0 + 90 * SECOND);
    for age in [0, SECOND / 2, 5 * SECOND, 60 * SECOND] {
        let mut restricted = route();
        (restricted.retry_after_until, restricted.pacer.health) =
            (wait, Health::Ejected(Timestamp(NOW.0 + 2 * SECOND)));
        let restricted = aged(restricted, age);
        assert_eq!(restricted.retry_after_until, wait);
        let Health::Ejected(trial) = restricted.pacer.health else {
            panic!("age {age}: the route is no longer ejected")
        };
        assert!(trial.0 >= NOW.0 + age, "age {age}: a trial is due before the process started");
        assert!(restricted.is_restricted(Timestamp(NOW.0 + age), &settings()));
    }
    let slow_start = settings().rules.slow_start_duration.0;
    for (age, completed) in [(0, false), (slow_start / 2, false), (slow_start, true)] {
        let mut recovering = route();
        recovering.pacer.health = Health::SlowStart(NOW);
        let health = aged(recovering, age).pacer.health;
        assert_eq!(health, if completed { Health::Healthy } else { Health::SlowStart(NOW) }, "age {age}");
    }
}

/// Guards against the use of outdated estimates after a restart.
#[test]
fn aging_reduces_and_finally_drops_estimates() {
    let rules = settings().rules;
    let fresh = aged(route(), 0);
    assert_eq!((fresh.limit, fresh.remaining_share, fresh.pacer.tokens), (120.0, 1.0, 0.25));
    let later = aged(route(), rules.overload_window.0 / 2);
    assert!((later.remaining_share - 0.5).abs() < 1e-9 && later.limit == 120.0);
    assert_eq!(aged(route(), rules.overload_window.0).remaining_share, 0.0);
    let old = aged(route(), rules.slow_start_duration.0);
    assert_eq!((old.limit, old.latency, old.pacer.rate), (0.0, 0.0, 0.0));
    assert!(
        old.pacer.pace.is_infinite()
            && !old.is_restricted(Timestamp(NOW.0 + rules.slow_start_duration.0), &settings())
    );
}

/// Guards against simultaneous trials by all senders of a restarted fleet, when the trials came due during
/// the downtime.
#[test]
fn aging_keeps_overdue_trials_spread_out() {
    let downtime = 3 * SECOND;
    let trials: Vec<u64> = (0..30)
        .map(|n| {
            let mut ejected = route();
            ejected.pacer.health = Health::Ejected(Timestamp(NOW.0 + n * SECOND / 10));
            let Health::Ejected(at) = aged(ejected, downtime).pacer.health else {
                panic!("the route is no longer ejected")
            };
            at.0 - NOW.0 - downtime
        })
        .collect();
    let mut sorted = trials.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(sorted.len(), trials.len(), "{trials:?}");
    assert!(sorted[29] - sorted[0] >= 2 * SECOND, "{sorted:?}");
}

/// Guards against a Retry-After or a trial delay that is extended by hours because the clock was set back.
#[test]
fn aging_after_a_clock_set_back_extends_no_delay() {
    let mut restricted = route();
    (restricted.retry_after_until, restricted.pacer.health) =
        (Timestamp(NOW.0 + 2 * SECOND), Health::Ejected(Timestamp(NOW.0 + SECOND)));
    let now = Timestamp(NOW.0 - 3_600 * SECOND);
    let restricted = RouteSnapshot(restricted).aged(NOW, now, 0.25, &settings()).0;
    assert_eq!(restricted.retry_after_until, Timestamp(now.0 + 2 * SECOND));
    assert!(
        matches!(restricted.pacer.health, Health::Ejected(at) if at.0 <= now.0 + SECOND),
        "{:?}",
        restricted.pacer.health
    );
    assert_eq!(restricted.pacer.updated_at, now);
}

/// Guards against a Retry-After that ends early, or a trial that is due early, because the clock jumped
/// forward during a power loss; and against a Retry-After that had ended and applies again.
#[test]
fn aging_without_a_clock_restarts_only_active_delays() {
    let (wait, age) = (Timestamp(NOW.0 + 2 * SECOND), 3_600 * SECOND);
    let now = Timestamp(NOW.0 + age);
    let mut restricted = route();
    (restricted.retry_after_until, restricted.pacer.health) =
        (wait, Health::Ejected(Timestamp(NOW.0 + SECOND)));
    let restricted = RouteSnapshot(restricted).aged_without_clock(NOW, now, 0.25, &settings());
    assert_eq!(restricted.0.retry_after_until, Timestamp(now.0 + 2 * SECOND));
    assert!(
        matches!(restricted.0.pacer.health, Health::Ejected(at) if at >= now),
        "{:?}",
        restricted.0.pacer.health
    );
    assert_eq!((restricted.0.limit, restricted.0.latency, restricted.0.remaining_share), (0.0, 0.0, 0.0));
    assert_eq!(restricted.report(now), (TimeDelta(2 * SECOND), ReportedHealth::Ejected));
    let mut expired = route();
    (expired.retry_after_until, expired.pacer.health) = (Timestamp(NOW.0 - SECOND), Health::SlowStart(NOW));
    let expired = RouteSnapshot(expired).aged_without_clock(NOW, now, 0.25, &settings());
    assert!(expired.0.retry_after_until <= now);
    assert_eq!(expired.report(Timestamp(now.0 + SECOND)), (TimeDelta(0), ReportedHealth::SlowStart(SECOND)));
    // If the clock was set back, the remaining delay stays the same.
    let mut set_back = route();
    set_back.retry_after_until = wait;
    let now = Timestamp(NOW.0 - age);
    assert_eq!(
        RouteSnapshot(set_back).aged_without_clock(NOW, now, 0.25, &settings()).0.retry_after_until,
        Timestamp(now.0 + 2 * SECOND)
    );
}
