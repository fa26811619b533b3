use super::*;
use crate::scenario::Scenario;
use micadrum_membership::Status;

fn history() -> History {
    let text = "title = \"t\"\nlength = \"60 s\"\nsenders = 2\ntraffic = \"20/s\"\n";
    let mut history = History::new(&Plan::new(Scenario::parse("t", text).unwrap(), 1));
    (0..2).for_each(|sender| history.add(0, sender, HistoryEvent::Started));
    history
}

fn changed(history: &mut History, at: Micros, by: u32, of: u32, is: Status) {
    let event = Event::StatusChanged {
        name: format!("n{of}"),
        previous: Status::Unknown,
        current: is,
        incarnation: 1,
    };
    let line = format!("trace peers at=7 {}", serde_json::to_string(&event).unwrap());
    assert!(history.add_line(at, by, &line));
}

/// Guards against a check that takes wrong views for right, or measures from the wrong moment.
#[test]
fn views_are_right_from_the_last_change_that_made_them_so() {
    let mut history = history();
    assert!(!history.add_line(1, 0, "membership: status changed member=n1 status=Live"));
    changed(&mut history, 10, 0, 1, Status::Live);
    assert_eq!(
        history.right_after(0, 100),
        Err(vec![WrongView { observer: 1, subject: 0, status: Status::Unknown }])
    );
    changed(&mut history, 30, 1, 0, Status::Live);
    assert_eq!(history.right_after(0, 100), Ok(30));
    history.add(50, 1, HistoryEvent::Ended);
    assert_eq!(
        history.right_after(50, 60),
        Err(vec![WrongView { observer: 0, subject: 1, status: Status::Live }])
    );
    changed(&mut history, 80, 0, 1, Status::Dead);
    assert_eq!(history.right_after(50, 100), Ok(30));
    assert_eq!(history.settled(), [(0, Some(30)), (50, Some(30))]);
}

/// Guards against a live sender that is held for dead with nothing wrong, and is not told of.
#[test]
fn a_death_without_a_cause_is_found() {
    let mut history = history();
    history.add(1000, 1, HistoryEvent::Struck(true));
    changed(&mut history, 1500, 0, 1, Status::Dead);
    history.add(2000, 1, HistoryEvent::Struck(false));
    changed(&mut history, 2100, 0, 1, Status::Dead);
    assert_eq!(history.false_deaths(500), []);
    changed(&mut history, 2600, 0, 1, Status::Dead);
    assert_eq!(history.false_deaths(500), [FalseDeath { at: 2600, observer: 0, subject: 1 }]);
}
