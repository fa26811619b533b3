use super::*;
use crate::decision::reference;
use crate::pacing::Route;
use crate::{DestinationId, EndpointId, Rules};

const SECOND: u64 = 1_000_000;
const NOW: Timestamp = Timestamp(100_000 * SECOND);

fn settings() -> Settings {
    let drawn = reference::settings(&mut reference::Draw::new(1));
    let rules = Rules {
        slow_start_duration: TimeDelta(11 * SECOND),
        overload_window: TimeDelta(1_500_000),
        ..drawn.rules
    };
    Settings { fleet_size: 300, rules, ..drawn }
}

fn line() -> Route {
    let mut line = Route::default();
    (line.destination, line.endpoint) = (DestinationId(1), Some(EndpointId(1)));
    (line.latency, line.limit, line.remaining_share) = (80_000.0, 120.0, 1.0);
    (line.pacer.updated_at, line.pacer.rate, line.pacer.pace, line.pacer.tokens) = (NOW, 3.0, 2.0, 1.0);
    line
}

fn recalled(line: Route, age: u64) -> Route {
    RouteSnapshot(line).aged(NOW, Timestamp(NOW.0 + age), 0.25, &settings()).0
}

/// Guards against a process that sends during a wait that its predecessor was told, or forgets an outage or where a
/// ramp stands, however long it was away.
#[test]
fn what_binds_does_not_fade() {
    let wait = Timestamp(NOW.0 + 90 * SECOND);
    for age in [0, SECOND / 2, 5 * SECOND, 60 * SECOND] {
        let mut told = line();
        (told.retry_after_until, told.pacer.health) = (wait, Health::Ejected(Timestamp(NOW.0 + 2 * SECOND)));
        let told = recalled(told, age);
        assert_eq!(told.retry_after_until, wait);
        let Health::Ejected(trial) = told.pacer.health else { panic!("{age}: the outage is forgotten") };
        assert!(trial.0 >= NOW.0 + age, "no trial was due before there was a process");
        assert!(told.is_restricted(Timestamp(NOW.0 + age)));
    }
    let ramp = settings().rules.slow_start_duration.0;
    for (age, back) in [(0, false), (ramp / 2, false), (ramp, true)] {
        let mut returning = line();
        returning.pacer.health = Health::SlowStart(NOW);
        let health = recalled(returning, age).pacer.health;
        assert_eq!(health, if back { Health::Healthy } else { Health::SlowStart(NOW) }, "{age}");
    }
}

/// Guards against acting on what was true of a moment long past.
#[test]
fn estimates_fade_with_age() {
    let rules = settings().rules;
    let fresh = recalled(line(), 0);
    assert_eq!((fresh.limit, fresh.remaining_share, fresh.pacer.tokens), (120.0, 1.0, 0.25));
    let later = recalled(line(), rules.overload_window.0 / 2);
    assert!((later.remaining_share - 0.5).abs() < 1e-9 && later.limit == 120.0);
    assert_eq!(recalled(line(), rules.overload_window.0).remaining_share, 0.0);
    let old = recalled(line(), rules.slow_start_duration.0);
    assert_eq!((old.limit, old.latency, old.pacer.rate), (0.0, 0.0, 0.0));
    assert!(
        old.pacer.pace.is_infinite() && !old.is_restricted(Timestamp(NOW.0 + rules.slow_start_duration.0))
    );
}

/// Guards against a fleet whose trials of what is down, due while it was away, all come in the moment it is back.
#[test]
fn trials_that_came_due_meanwhile_stay_apart() {
    let away = 3 * SECOND;
    let trials: Vec<u64> = (0..30)
        .map(|n| {
            let mut down = line();
            down.pacer.health = Health::Ejected(Timestamp(NOW.0 + n * SECOND / 10));
            let Health::Ejected(at) = recalled(down, away).pacer.health else { panic!("forgotten") };
            at.0 - NOW.0 - away
        })
        .collect();
    let mut sorted = trials.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(sorted.len(), trials.len(), "{trials:?}");
    assert!(sorted[29] - sorted[0] >= 2 * SECOND, "{sorted:?}");
}

/// Guards against a wait or a trial that binds for hours, because the clock was set back between two processes.
#[test]
fn a_clock_that_was_set_back_lengthens_nothing() {
    let mut told = line();
    (told.retry_after_until, told.pacer.health) =
        (Timestamp(NOW.0 + 2 * SECOND), Health::Ejected(Timestamp(NOW.0 + SECOND)));
    let now = Timestamp(NOW.0 - 3_600 * SECOND);
    let told = RouteSnapshot(told).aged(NOW, now, 0.25, &settings()).0;
    assert_eq!(told.retry_after_until, Timestamp(now.0 + 2 * SECOND));
    assert!(
        matches!(told.pacer.health, Health::Ejected(at) if at.0 <= now.0 + SECOND),
        "{:?}",
        told.pacer.health
    );
    assert_eq!(told.pacer.updated_at, now);
}

/// Guards against a wait that counts as over, or a trial as due, as the clock has jumped on over a loss of power; and
/// against one that is over already binding once more.
#[test]
fn without_a_clock_what_binds_does_so_for_all_of_its_time() {
    let (wait, age) = (Timestamp(NOW.0 + 2 * SECOND), 3_600 * SECOND);
    let now = Timestamp(NOW.0 + age);
    let mut told = line();
    (told.retry_after_until, told.pacer.health) = (wait, Health::Ejected(Timestamp(NOW.0 + SECOND)));
    let told = RouteSnapshot(told).aged_without_clock(NOW, now, 0.25, &settings());
    assert_eq!(told.0.retry_after_until, Timestamp(now.0 + 2 * SECOND));
    assert!(matches!(told.0.pacer.health, Health::Ejected(at) if at >= now), "{:?}", told.0.pacer.health);
    assert_eq!((told.0.limit, told.0.latency, told.0.remaining_share), (0.0, 0.0, 0.0));
    assert_eq!(told.report(now), (TimeDelta(2 * SECOND), ReportedHealth::Ejected));
    let mut over = line();
    (over.retry_after_until, over.pacer.health) = (Timestamp(NOW.0 - SECOND), Health::SlowStart(NOW));
    let over = RouteSnapshot(over).aged_without_clock(NOW, now, 0.25, &settings());
    assert!(over.0.retry_after_until <= now);
    assert_eq!(over.report(Timestamp(now.0 + SECOND)), (TimeDelta(0), ReportedHealth::SlowStart(SECOND)));
    // Set back instead: the same as ever.
    let mut back = line();
    back.retry_after_until = wait;
    let now = Timestamp(NOW.0 - age);
    assert_eq!(
        RouteSnapshot(back).aged_without_clock(NOW, now, 0.25, &settings()).0.retry_after_until,
        Timestamp(now.0 + 2 * SECOND)
    );
}
