use super::*;
use crate::daemon::journal::FinalOutcome;

fn notices(numbers: std::ops::Range<u32>) -> Vec<Notification> {
    let notice = |number: u32| Notification { number, id: format!("m{number}"), end: FinalOutcome::Failed };
    numbers.map(notice).collect()
}

/// Guards against notices that go again for ever behind one that the platform cannot read, one that is told as ended
/// without its word, and calls without a pause about it.
#[test]
fn what_is_turned_away_holds_up_no_others() {
    let now = Instant::now();
    for bad in [vec![], vec![0], vec![17], vec![3, 4, 99]] {
        let mut owed = NotificationQueue::default();
        owed.add(notices(0..100));
        let (mut told, mut named, mut calls) = (Vec::new(), Vec::new(), 0);
        while let Some(batch) = owed.next(now) {
            calls += 1;
            if batch.notices.iter().any(|notice| bad.contains(&notice.number)) {
                named.extend(owed.turned_away(batch, now));
            } else {
                told.extend(batch.notices.iter().map(|notice| notice.number));
            }
        }
        let good: Vec<u32> = (0..100).filter(|n| !bad.contains(n)).collect();
        assert_eq!(told, good, "in the order in which they came");
        assert_eq!(named, bad.iter().map(|n| format!("m{n}")).collect::<Vec<_>>());
        assert!(calls <= 1 + 16 * bad.len(), "{calls} calls for {bad:?}");
        assert_eq!(owed.room(), MOST_LINES, "what is new goes on");
        // What is owed still goes by itself, after ever longer pauses, and is named no more.
        let (mut at, mut pauses) = (now, Vec::new());
        while !bad.is_empty() && at < now + Duration::from_secs(60) {
            let due = owed.due().expect("it is still owed");
            pauses.push(due - at);
            at = due;
            let batch = owed.next(at).expect("it is due");
            assert_eq!(batch.notices.len(), 1);
            assert_eq!(owed.turned_away(batch, at), None);
        }
        assert!(pauses.len() <= 14 * bad.len(), "{pauses:?}");
    }
}

/// Guards against a notice that is forgotten, or overtaken, where a call got no answer.
#[test]
fn what_got_no_answer_goes_again_as_it_was() {
    let mut owed = NotificationQueue::default();
    owed.add(notices(0..3));
    let batch = owed.next(Instant::now()).unwrap();
    owed.again(batch);
    assert_eq!(owed.room(), 0, "nothing comes between");
    let again = owed.next(Instant::now()).unwrap();
    assert_eq!(again.notices.iter().map(|notice| notice.number).collect::<Vec<_>>(), [0, 1, 2]);
    assert!(owed.next(Instant::now()).is_none() && owed.due().is_none());
}
