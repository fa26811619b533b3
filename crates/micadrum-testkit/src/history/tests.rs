use super::*;
use crate::scenario::Scenario;
use micadrum_membership::Status;

fn history() -> History {
    let text = "title = \"t\"\nlength = \"60 s\"\nsenders = 2\ntraffic = \"20/s\"\n";
    let mut history = History::new(&Plan::new(Scenario::parse("t", text).unwrap(), 1));
    (0..2).for_each(|sender| history.add(0, sender, HistoryEvent::Started));
    history
}

fn change_status(history: &mut History, at: Micros, observer: u32, subject: u32, current: Status) {
    let event = Event::StatusChanged {
        name: format!("n{subject}"),
        previous: Status::Unknown,
        current,
        incarnation: 1,
    };
    let line = format!("trace peers at=7 {}", serde_json::to_string(&event).unwrap());
    assert!(history.add_line(at, observer, &line));
}

/// Guards against a check that accepts wrong views, or measures the convergence time from the wrong event.
#[test]
fn measures_convergence_until_the_last_view_is_corrected() {
    let mut history = history();
    assert!(!history.add_line(1, 0, "membership: status changed member=n1 status=Live"));
    change_status(&mut history, 10, 0, 1, Status::Live);
    assert_eq!(
        history.convergence_time(0, 100),
        Err(vec![WrongView { observer: 1, subject: 0, status: Status::Unknown }])
    );
    change_status(&mut history, 30, 1, 0, Status::Live);
    assert_eq!(history.convergence_time(0, 100), Ok(30));
    history.add(50, 1, HistoryEvent::Ended);
    assert_eq!(
        history.convergence_time(50, 60),
        Err(vec![WrongView { observer: 0, subject: 1, status: Status::Live }])
    );
    change_status(&mut history, 80, 0, 1, Status::Dead);
    assert_eq!(history.convergence_time(50, 100), Ok(30));
    assert_eq!(history.convergence_times(), [(0, Some(30)), (50, Some(30))]);
}

/// Guards against a check that misses the false death of a live sender, or reports one that a fault explains.
#[test]
fn reports_a_death_only_without_a_recent_fault() {
    let mut history = history();
    history.add(1000, 1, HistoryEvent::Struck(true));
    change_status(&mut history, 1500, 0, 1, Status::Dead);
    history.add(2000, 1, HistoryEvent::Struck(false));
    change_status(&mut history, 2100, 0, 1, Status::Dead);
    assert_eq!(history.false_deaths(500), []);
    change_status(&mut history, 2600, 0, 1, Status::Dead);
    assert_eq!(history.false_deaths(500), [FalseDeath { at: 2600, observer: 0, subject: 1 }]);
}
