use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn candidates(count: usize) -> Vec<Candidate> {
    let of = |n: usize| Candidate { name: format!("n{n}"), building: ["a", "b"][n % 2].to_owned() };
    (0..count).map(of).collect()
}

fn steady() -> PeerReport {
    PeerReport { steady_for: Some(1), ..PeerReport::default() }
}

/// Guards against asking the whole fleet, or first those whom the same power loss took.
#[test]
fn a_few_are_asked_in_both_buildings() {
    let mut asking = PeerQuery::new(candidates(300), "a", ms(1000));
    let first: Vec<String> = std::iter::from_fn(|| asking.next_to_ask(ms(0))).collect();
    assert_eq!(first, ["n1", "n0", "n3", "n2"]);
    let mut asked = first.len();
    let mut out: VecDeque<String> = first.into();
    while let Some(name) = out.pop_front() {
        asking.answered(&name, Some(PeerReport::default()), ms(1));
        while let Some(next) = asking.next_to_ask(ms(1)) {
            asked += 1;
            out.push_back(next);
        }
    }
    assert_eq!((asked, asking.ended(ms(1))), (MOST_ASKED, Some(Ended::Nobody)));
    assert_eq!(asking.counts(), (MOST_ASKED, 0, 0));
}

/// Guards against waiting on when enough is known, and for ever when nobody answers.
#[test]
fn it_ends_with_enough_or_with_its_time() {
    let mut asking = PeerQuery::new(candidates(9), "a", ms(1000));
    let names: Vec<String> = std::iter::from_fn(|| asking.next_to_ask(ms(0))).collect();
    for name in &names[..ENOUGH] {
        assert_eq!(asking.ended(ms(5)), None);
        asking.answered(name, Some(steady()), ms(5));
    }
    assert_eq!(asking.ended(ms(5)), Some(Ended::Heard));
    assert_eq!(asking.next_to_ask(ms(5)), None);
    assert_eq!(asking.words(ms(9))[0].1, ms(4));
    let mut silent = PeerQuery::new(candidates(9), "a", ms(1000));
    while silent.next_to_ask(ms(0)).is_some() {}
    assert_eq!((silent.ended(ms(999)), silent.ended(ms(1000))), (None, Some(Ended::Late)));
    assert_eq!(silent.counts(), (0, 0, 4));
    assert_eq!(PeerQuery::new([], "a", ms(1000)).ended(ms(0)), Some(Ended::Nobody), "alone in the dark");
}

/// Guards against an answer that nobody asked for, or that comes twice.
#[test]
fn only_answers_to_questions_count() {
    let mut asking = PeerQuery::new(candidates(9), "a", ms(1000));
    asking.answered("n1", Some(steady()), ms(0));
    let name = asking.next_to_ask(ms(0)).unwrap();
    asking.answered(&name, None, ms(1));
    asking.answered(&name, Some(steady()), ms(2));
    assert_eq!(asking.counts(), (0, 0, 1));
}
