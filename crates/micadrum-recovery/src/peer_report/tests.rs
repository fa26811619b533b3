use super::*;

const SECOND: u64 = 1_000_000;

fn report(is_at_full_service: bool, of: &[(&str, EndpointReport)]) -> AgedReport {
    let endpoints = of.iter().map(|(id, of)| ((*id).to_owned(), *of)).collect();
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

/// Guards against a wait that is ignored because its sender lost power, and one that a dishonest peer extends forever.
#[test]
fn a_wait_or_a_withdrawal_takes_effect_if_one_sender_reports_it() {
    let drain = EndpointReport { is_withdrawn: true, ..EndpointReport::default() };
    let mut reports = [
        report(true, &[("a", retry_after(4)), ("b", drain)]),
        report(true, &[("a", retry_after(9))]),
        report(true, &[]),
    ];
    reports[1].age = Duration::from_secs(3);
    let restrictions = combine(&reports);
    assert_eq!(restrictions.endpoints["a"], retry_after(6), "less what has passed since");
    assert!(restrictions.endpoints["b"].is_withdrawn);
    let endless = combine(&[report(true, &[("a", retry_after(u64::MAX / SECOND))])]);
    assert_eq!(endless.endpoints["a"].retry_after_us, 60 * SECOND);
}

/// Guards against a sender that is cut off or dishonest and takes endpoints out of service for others.
#[test]
fn an_outage_needs_several_reports() {
    let down = || report(true, &[("a", health(ReportedHealth::Ejected))]);
    let up = || report(true, &[]);
    assert_eq!(combine(&[down()]).endpoints["a"].health, ReportedHealth::Ejected, "the only one there is");
    assert!(combine(&[down(), up()]).endpoints.is_empty());
    assert!(combine(&[down(), up(), up()]).endpoints.is_empty());
    assert_eq!(combine(&[down(), down(), up()]).endpoints["a"].health, ReportedHealth::Ejected);
    let back = |since| report(true, &[("a", health(ReportedHealth::SlowStart(since)))]);
    assert_eq!(combine(&[back(5), back(3), up()]).endpoints["a"].health, ReportedHealth::SlowStart(3));
    assert_eq!(combine(&[back(5), down(), up()]).endpoints["a"].health, ReportedHealth::SlowStart(0));
}

/// Guards against reports of senders that lost power themselves.
#[test]
fn senders_that_recover_themselves_are_ignored() {
    assert!(combine(&[report(false, &[("a", retry_after(4))])]).endpoints.is_empty());
    assert_eq!(combine(&[]), EndpointRestrictions::default());
}

/// Guards against a report that takes unbounded memory.
#[test]
fn a_report_is_bounded() {
    let endpoints = (0..MAX_ENDPOINTS + 9).map(|n| (format!("{n:06}"), retry_after(1)));
    let long = ("x".repeat(MAX_ENDPOINT_ID_BYTES + 1), retry_after(1));
    let report = PeerReport { endpoints: endpoints.chain([long]).collect(), ..PeerReport::default() };
    assert_eq!(report.bounded().endpoints.len(), MAX_ENDPOINTS);
}

/// Guards against clocks that are compared the wrong way round.
#[test]
fn an_offset_is_the_own_clock_minus_the_peers() {
    let offset = |peer_us, own_us| ClockPair { peer_us, own_us }.offset_us();
    assert_eq!([offset(10, 17), offset(17, 10)], [7, -7]);
}
