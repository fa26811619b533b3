use super::*;
use crate::daemon::journal::FinalOutcome;

fn notifications(numbers: std::ops::Range<u32>) -> Vec<Notification> {
    let notification =
        |number: u32| Notification { number, id: format!("m{number}"), outcome: FinalOutcome::Failed };
    numbers.map(notification).collect()
}

/// Guards against notifications that are retried forever because of a malformed one in their batch, against
/// treating a rejected notification as acknowledged, and against retrying it without a delay.
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
        assert_eq!(sent, good, "accepted notifications keep their order");
        assert_eq!(isolated, bad.iter().map(|n| format!("m{n}")).collect::<Vec<_>>());
        assert!(calls <= 1 + 16 * bad.len(), "{calls} calls for {bad:?}");
        assert_eq!(queue.capacity(), MAX_BATCH_NOTIFICATIONS, "new notifications can be added");
        // A rejected notification is retried individually with growing delays, and is reported only once.
        let (mut at, mut delays) = (now, Vec::new());
        while !bad.is_empty() && at < now + Duration::from_secs(60) {
            let due = queue.next_retry().expect("the rejected notification is pending");
            delays.push(due - at);
            at = due;
            let batch = queue.pop_ready(at).expect("the retry is due");
            assert_eq!(batch.notifications.len(), 1);
            assert_eq!(queue.reject(batch, at), None);
        }
        assert!(delays.len() <= 14 * bad.len(), "{delays:?}");
    }
}

/// Guards against losing or reordering notifications when a call is not answered.
#[test]
fn unanswered_batch_is_sent_again_unchanged() {
    let mut queue = NotificationQueue::default();
    queue.push(notifications(0..3));
    let batch = queue.pop_ready(Instant::now()).unwrap();
    queue.requeue(batch);
    assert_eq!(queue.capacity(), 0, "no notification is added before the batch is resent");
    let again = queue.pop_ready(Instant::now()).unwrap();
    assert_eq!(
        again.notifications.iter().map(|notification| notification.number).collect::<Vec<_>>(),
        [0, 1, 2]
    );
    assert!(queue.pop_ready(Instant::now()).is_none() && queue.next_retry().is_none());
}
