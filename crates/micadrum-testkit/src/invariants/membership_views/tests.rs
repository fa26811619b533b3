use super::*;
use crate::history::HistoryEvent;
use crate::plan::Plan;
use crate::scenario::Scenario;
use micadrum_membership::{Event, Status};

const S: Micros = 1_000_000;
const TEXT: &str = "title = \"t\"\nlength = \"60 s\"\nsenders = 2\ntraffic = \"20/s\"\n";

fn violated_invariants(changes: &[(Micros, u32, u32, Status)], end: Micros) -> Vec<Invariant> {
    let mut history = History::new(&Plan::new(Scenario::parse("t", TEXT).unwrap(), 1));
    (0..2).for_each(|sender| history.add(0, sender, HistoryEvent::Started));
    for (at, observer, subject, status) in changes {
        let event = Event::StatusChanged {
            name: format!("n{subject}"),
            previous: Status::Unknown,
            current: *status,
            incarnation: 1,
        };
        history.add(*at, *observer, HistoryEvent::Peers(event));
    }
    let mut verdict = Verdict::default();
    check_membership_views(&history, end, &mut verdict);
    verdict.counts.into_keys().collect()
}

/// Guards against a check that misses wrong views and false deaths, or reports correct views.
#[test]
fn reports_wrong_views_and_false_deaths_only() {
    use Status::{Dead, Live};
    let correct = [(S, 0, 1, Live), (2 * S, 1, 0, Live)];
    assert_eq!(violated_invariants(&correct, 20 * S), []);
    assert_eq!(
        violated_invariants(&correct[..1], 20 * S),
        [Invariant::WrongView],
        "sender 1 never sees sender 0"
    );
    assert_eq!(violated_invariants(&correct[..1], 4 * S), [], "the views may still converge");
    assert_eq!(
        violated_invariants(&[correct[0], (9 * S, 1, 0, Live)], 20 * S),
        [Invariant::WrongView],
        "sender 1 sees sender 0 too late"
    );
    let false_death = [correct[0], correct[1], (10 * S, 1, 0, Dead), (11 * S, 1, 0, Live)];
    assert_eq!(violated_invariants(&false_death, 20 * S), [Invariant::WrongView, Invariant::FalseDeath]);
    // Declaring an exited sender dead is correct, however late it happens.
    let mut history = History::new(&Plan::new(Scenario::parse("t", TEXT).unwrap(), 1));
    (0..2).for_each(|sender| history.add(0, sender, HistoryEvent::Started));
    history.add(S, 0, HistoryEvent::Ended);
    let dead = Event::StatusChanged { name: "n0".to_owned(), previous: Live, current: Dead, incarnation: 1 };
    history.add(9 * S, 1, HistoryEvent::Peers(dead));
    assert_eq!(history.false_deaths(4 * S), []);
}
