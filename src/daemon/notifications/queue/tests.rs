use super::*;
use crate::daemon::journal::FinalOutcome;

fn notifications(numbers: std::ops::Range<u32>) -> Vec<Notification> {
    let notification =
        |number: u32| Notification { number, id: format!("m{number}"), outcome: FinalOutcome::Failed };
    numbers.map(notification).collect()
}

/// Guards against notifications that are sent again for ever behind one that the platform cannot read, against one that
/// counts as acknowledged although it was not, and against calls without a pause for it.
#[test]
fn rejected_notification_delays_no_others() {
    let now = Instant::now();
    for bad in [vec![], vec![0], vec![17], vec![3, 4, 99]] {
        let mut queue = NotificationQueue::default();
        queue.push(notifications(0..100));
        let (mut sent, mut isolated, mut calls) = (Vec::new(), Vec::new(), 0);
        while let Some(batch) = queue.pop_ready(now) {
            calls += 1;
            if batch.notifications.iter().any(|notification| bad.contains(&notification.number)) {
                isolated.extend(queue.reject(batch, now));
            } else {
                sent.extend(batch.notifications.iter().map(|notification| notification.number));
            }
        }
        let good: Vec<u32> = (0..100).filter(|n| !bad.contains(n)).collect();
        assert_eq!(sent, good, "in the order in which they came");
        assert_eq!(isolated, bad.iter().map(|n| format!("m{n}")).collect::<Vec<_>>());
        assert!(calls <= 1 + 16 * bad.len(), "{calls} calls for {bad:?}");
        assert_eq!(queue.capacity(), MAX_BATCH_NOTIFICATIONS, "new notifications can be added");
        // A rejected notification is sent by itself, after growing pauses, and is reported no more.
        let (mut at, mut pauses) = (now, Vec::new());
        while !bad.is_empty() && at < now + Duration::from_secs(60) {
            let due = queue.next_retry().expect("it is still pending");
            pauses.push(due - at);
            at = due;
            let batch = queue.pop_ready(at).expect("it is due");
            assert_eq!(batch.notifications.len(), 1);
            assert_eq!(queue.reject(batch, at), None);
        }
        assert!(pauses.len() <= 14 * bad.len(), "{pauses:?}");
    }
}

/// Guards against a notification that is lost, or overtaken, when a call is not answered.
#[test]
fn unanswered_batch_is_sent_again_unchanged() {
    let mut queue = NotificationQueue::default();
    queue.push(notifications(0..3));
    let batch = queue.pop_ready(Instant::now()).unwrap();
    queue.requeue(batch);
    assert_eq!(queue.capacity(), 0, "nothing overtakes the batch");
    let again = queue.pop_ready(Instant::now()).unwrap();
    assert_eq!(
        again.notifications.iter().map(|notification| notification.number).collect::<Vec<_>>(),
        [0, 1, 2]
    );
    assert!(queue.pop_ready(Instant::now()).is_none() && queue.next_retry().is_none());
}
