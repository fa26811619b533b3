use super::*;
use crate::history::HistoryEvent;
use crate::plan::Plan;
use crate::scenario::Scenario;
use micadrum_membership::{Event, Status};

const S: Micros = 1_000_000;
const TEXT: &str = "title = \"t\"\nlength = \"60 s\"\nsenders = 2\ntraffic = \"20/s\"\n";

fn broken(changes: &[(Micros, u32, u32, Status)], end: Micros) -> Vec<Invariant> {
    let mut history = History::new(&Plan::new(Scenario::parse("t", TEXT).unwrap(), 1));
    (0..2).for_each(|sender| history.add(0, sender, HistoryEvent::Started));
    for (at, by, of, is) in changes {
        let event = Event::StatusChanged {
            name: format!("n{of}"),
            previous: Status::Unknown,
            current: *is,
            incarnation: 1,
        };
        history.add(*at, *by, HistoryEvent::Peers(event));
    }
    let mut verdict = Verdict::default();
    look_at_views(&history, end, &mut verdict);
    verdict.counts.into_keys().collect()
}

/// Guards against a judge that lets wrong views and causeless deaths pass, or convicts right ones.
#[test]
fn wrong_views_and_causeless_deaths_are_convicted() {
    use Status::{Dead, Live};
    let good = [(S, 0, 1, Live), (2 * S, 1, 0, Live)];
    assert_eq!(broken(&good, 20 * S), []);
    assert_eq!(broken(&good[..1], 20 * S), [Invariant::WrongView], "one is never seen");
    assert_eq!(broken(&good[..1], 4 * S), [], "it is not over yet");
    assert_eq!(broken(&[good[0], (9 * S, 1, 0, Live)], 20 * S), [Invariant::WrongView], "one is seen late");
    let accused = [good[0], good[1], (10 * S, 1, 0, Dead), (11 * S, 1, 0, Live)];
    assert_eq!(broken(&accused, 20 * S), [Invariant::WrongView, Invariant::FalseDeath]);
    // One that has ended is rightly held for dead, however late that is found.
    let mut history = History::new(&Plan::new(Scenario::parse("t", TEXT).unwrap(), 1));
    (0..2).for_each(|sender| history.add(0, sender, HistoryEvent::Started));
    history.add(S, 0, HistoryEvent::Ended);
    let dead = Event::StatusChanged { name: "n0".to_owned(), previous: Live, current: Dead, incarnation: 1 };
    history.add(9 * S, 1, HistoryEvent::Peers(dead));
    assert_eq!(history.false_deaths(4 * S), []);
}
