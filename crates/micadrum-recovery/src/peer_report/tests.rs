use super::*;

const S: u64 = 1_000_000;

fn word(steady: bool, of: &[(&str, EndpointReport)]) -> (PeerReport, Duration) {
    let endpoints = of.iter().map(|(id, of)| ((*id).to_owned(), *of)).collect();
    (PeerReport { steady_for: steady.then_some(100 * S), wall: 0, endpoints }, Duration::ZERO)
}

fn told(seconds: u64) -> EndpointReport {
    EndpointReport { told: seconds * S, ..EndpointReport::default() }
}

fn health(health: ReportedHealth) -> EndpointReport {
    EndpointReport { health, ..EndpointReport::default() }
}

/// Guards against a wait that nobody heeds any more because its sender lost power, and against one that a liar makes
/// last for ever.
#[test]
fn a_wait_or_a_drain_that_one_tells_of_is_heeded() {
    let drain = EndpointReport { out: true, ..EndpointReport::default() };
    let mut words =
        [word(true, &[("a", told(4)), ("b", drain)]), word(true, &[("a", told(9))]), word(true, &[])];
    words[1].1 = Duration::from_secs(3);
    let caution = add_up(&words);
    assert_eq!(caution.endpoints["a"], told(6), "less what has passed since");
    assert!(caution.endpoints["b"].out);
    let endless = add_up(&[word(true, &[("a", told(u64::MAX / S))])]);
    assert_eq!(endless.endpoints["a"].told, 60 * S);
}

/// Guards against one sender whose own links are cut, or that lies, taking endpoints out of service for others.
#[test]
fn one_of_several_makes_no_outage() {
    let down = || word(true, &[("a", health(ReportedHealth::Down))]);
    let up = || word(true, &[]);
    assert_eq!(add_up(&[down()]).endpoints["a"].health, ReportedHealth::Down, "the only one there is");
    assert!(add_up(&[down(), up()]).endpoints.is_empty());
    assert!(add_up(&[down(), up(), up()]).endpoints.is_empty());
    assert_eq!(add_up(&[down(), down(), up()]).endpoints["a"].health, ReportedHealth::Down);
    let back = |since| word(true, &[("a", health(ReportedHealth::Returning(since)))]);
    assert_eq!(add_up(&[back(5), back(3), up()]).endpoints["a"].health, ReportedHealth::Returning(3));
    assert_eq!(add_up(&[back(5), down(), up()]).endpoints["a"].health, ReportedHealth::Returning(0));
}

/// Guards against those that lost power themselves passing on what they do not know either.
#[test]
fn who_comes_back_too_says_nothing() {
    assert!(add_up(&[word(false, &[("a", told(4))])]).endpoints.is_empty());
    assert_eq!(add_up(&[]), EndpointRestrictions::default());
}

/// Guards against a word that takes up memory without end.
#[test]
fn a_word_is_bounded() {
    let endpoints = (0..MOST_ENDPOINTS + 9).map(|n| (format!("{n:06}"), told(1)));
    let long = ("x".repeat(MOST_ID + 1), told(1));
    let word = PeerReport { endpoints: endpoints.chain([long]).collect(), ..PeerReport::default() };
    assert_eq!(word.bounded().endpoints.len(), MOST_ENDPOINTS);
}

/// Guards against clocks that are compared the wrong way round.
#[test]
fn an_offset_is_ours_less_theirs() {
    assert_eq!(offsets(&[(10, 17), (17, 10)]), [7, -7]);
}
