use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |n: usize| Candidate { name: format!("n{n}"), zone: ["a", "b"][n % 2].to_owned() };
    (0..count).map(candidate).collect()
}

fn counts(answered: usize, at_full_service: usize, unanswered: usize) -> QueryCounts {
    QueryCounts { answered, at_full_service, unanswered }
}

fn report_at_full_service() -> PeerReport {
    PeerReport { at_full_service_us: Some(1), ..PeerReport::default() }
}

/// Guards against querying the whole fleet, and against querying only the own zone, which may have lost power
/// too.
#[test]
fn queries_a_limited_number_of_peers_in_alternating_zones() {
    let mut query = PeerQuery::new(candidates(300), "a", ms(1000));
    let first: Vec<String> = std::iter::from_fn(|| query.next_to_query(ms(0))).collect();
    assert_eq!(first, ["n1", "n0", "n3", "n2"]);
    let mut queried = first.len();
    let mut in_flight: VecDeque<String> = first.into();
    while let Some(name) = in_flight.pop_front() {
        query.handle_answer(&name, Some(PeerReport::default()), ms(1));
        while let Some(next) = query.next_to_query(ms(1)) {
            queried += 1;
            in_flight.push_back(next);
        }
    }
    assert_eq!((queried, query.end(ms(1))), (MAX_QUERIES, Some(QueryEnd::Exhausted)));
    assert_eq!(query.counts(), counts(MAX_QUERIES, 0, 0));
}

/// Guards against a query that continues after enough reports, or never ends when no peer answers.
#[test]
fn ends_with_sufficient_reports_or_at_the_deadline() {
    let mut query = PeerQuery::new(candidates(9), "a", ms(1000));
    let names: Vec<String> = std::iter::from_fn(|| query.next_to_query(ms(0))).collect();
    for name in &names[..SUFFICIENT_REPORTS] {
        assert_eq!(query.end(ms(5)), None);
        query.handle_answer(name, Some(report_at_full_service()), ms(5));
    }
    assert_eq!(query.end(ms(5)), Some(QueryEnd::Sufficient));
    assert_eq!(query.next_to_query(ms(5)), None);
    assert_eq!(query.reports(ms(9))[0].age, ms(4));
    let mut silent = PeerQuery::new(candidates(9), "a", ms(1000));
    while silent.next_to_query(ms(0)).is_some() {}
    assert_eq!((silent.end(ms(999)), silent.end(ms(1000))), (None, Some(QueryEnd::TimedOut)));
    assert_eq!(silent.counts(), counts(0, 0, 4));
    assert_eq!(PeerQuery::new([], "a", ms(1000)).end(ms(0)), Some(QueryEnd::Exhausted), "without candidates");
}

/// Guards against counting unsolicited or duplicate answers.
#[test]
fn ignores_unsolicited_and_duplicate_answers() {
    let mut query = PeerQuery::new(candidates(9), "a", ms(1000));
    query.handle_answer("n1", Some(report_at_full_service()), ms(0));
    let name = query.next_to_query(ms(0)).unwrap();
    query.handle_answer(&name, None, ms(1));
    query.handle_answer(&name, Some(report_at_full_service()), ms(2));
    assert_eq!(query.counts(), counts(0, 0, 1));
}
