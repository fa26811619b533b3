use super::*;

const SECOND: u64 = 1_000_000;

fn report(is_at_full_service: bool, entries: &[(&str, EndpointReport)]) -> AgedReport {
    let endpoints = entries.iter().map(|(id, entry)| ((*id).to_owned(), *entry)).collect();
    let at_full_service_us = is_at_full_service.then_some(100 * SECOND);
    let report = PeerReport { at_full_service_us, wall_us: 0, endpoints };
    AgedReport { report, age: Duration::ZERO }
}

fn retry_after(seconds: u64) -> EndpointReport {
    EndpointReport { retry_after_us: seconds * SECOND, ..EndpointReport::default() }
}

fn health(health: ReportedHealth) -> EndpointReport {
    EndpointReport { health, ..EndpointReport::default() }
}

/// Guards against losing a Retry-After wait or a withdrawal in a restart, and against an unbounded wait from
/// a false report.
#[test]
fn applies_a_wait_or_a_withdrawal_from_a_single_report() {
    let withdrawn = EndpointReport { is_withdrawn: true, ..EndpointReport::default() };
    let mut reports = [
        report(true, &[("a", retry_after(4)), ("b", withdrawn)]),
        report(true, &[("a", retry_after(9))]),
        report(true, &[]),
    ];
    reports[1].age = Duration::from_secs(3);
    let restrictions = combine(&reports);
    assert_eq!(restrictions.endpoints["a"], retry_after(6), "the age of the report is subtracted");
    assert!(restrictions.endpoints["b"].is_withdrawn);
    let unbounded = combine(&[report(true, &[("a", retry_after(u64::MAX / SECOND))])]);
    assert_eq!(unbounded.endpoints["a"].retry_after_us, 60 * SECOND);
}

/// Guards against endpoints that are ejected because of one sender with a network failure or a false report.
#[test]
fn ejects_an_endpoint_only_if_several_senders_report_an_outage() {
    let ejected = || report(true, &[("a", health(ReportedHealth::Ejected))]);
    let healthy = || report(true, &[]);
    assert_eq!(
        combine(&[ejected()]).endpoints["a"].health,
        ReportedHealth::Ejected,
        "a single report is sufficient if it is the only one"
    );
    assert!(combine(&[ejected(), healthy()]).endpoints.is_empty());
    assert!(combine(&[ejected(), healthy(), healthy()]).endpoints.is_empty());
    assert_eq!(combine(&[ejected(), ejected(), healthy()]).endpoints["a"].health, ReportedHealth::Ejected);
    let slow_start = |since_us| report(true, &[("a", health(ReportedHealth::SlowStart(since_us)))]);
    assert_eq!(
        combine(&[slow_start(5), slow_start(3), healthy()]).endpoints["a"].health,
        ReportedHealth::SlowStart(3)
    );
    assert_eq!(
        combine(&[slow_start(5), ejected(), healthy()]).endpoints["a"].health,
        ReportedHealth::SlowStart(0)
    );
}

/// Guards against relying on senders that have restarted too.
#[test]
fn ignores_reports_of_recovering_senders() {
    assert!(combine(&[report(false, &[("a", retry_after(4))])]).endpoints.is_empty());
    assert_eq!(combine(&[]), EndpointRestrictions::default());
}

/// Guards against unbounded memory use by a report.
#[test]
fn limits_the_number_and_id_length_of_endpoints() {
    let endpoints = (0..MAX_ENDPOINTS + 9).map(|n| (format!("{n:06}"), retry_after(1)));
    let long = ("x".repeat(MAX_ENDPOINT_ID_BYTES + 1), retry_after(1));
    let report = PeerReport { endpoints: endpoints.chain([long]).collect(), ..PeerReport::default() };
    assert_eq!(report.bounded().endpoints.len(), MAX_ENDPOINTS);
}

/// Guards against a clock offset with the wrong sign.
#[test]
fn computes_the_offset_as_own_time_minus_peer_time() {
    let offset = |peer_us, own_us| ClockPair { peer_us, own_us }.offset_us();
    assert_eq!([offset(10, 17), offset(17, 10)], [7, -7]);
}
