//! Tests of holding notifications whose outcomes are not recorded.
use super::*;
use crate::daemon::journal::FinalOutcome;

fn notification(number: u32) -> Notification {
    Notification { number, id: format!("m{number}"), outcome: FinalOutcome::Returned(None) }
}

fn numbers(notifications: Vec<Notification>) -> Vec<u32> {
    notifications.into_iter().map(|notification| notification.number).collect()
}

/// Guards against a notification that is sent although a restarted process would send its message again, and
/// against one that is never sent.
#[test]
fn holds_a_notification_until_it_is_recorded_or_its_deadline_passes() {
    let mut repair = JournalRepair::default();
    repair.hold_notification(Timestamp(30), notification(1));
    repair.hold_notification(Timestamp(10), notification(2));
    repair.hold_notification(Timestamp(20), notification(3));
    assert_eq!(numbers(repair.release_notifications(true, Timestamp(9))), [0; 0]);
    assert_eq!(
        numbers(repair.release_notifications(true, Timestamp(20))),
        [2, 3],
        "released at its deadline"
    );
    assert_eq!(repair.first_deadline(), Some(Timestamp(30)));
    assert_eq!(numbers(repair.release_notifications(false, Timestamp(22))), [1]);
    assert_eq!(repair.first_deadline(), None);
}
