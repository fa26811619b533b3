use super::*;

/// Guards against updates that are sent forever, and against a new update that waits behind older ones.
#[test]
fn each_update_is_sent_a_fixed_number_of_times_and_the_newest_first() {
    let mut queue = GossipQueue::default();
    let update =
        |n: u8| GossipUpdate { about: MemberId([n; 8]), incarnation: 1, status: GossipStatus::Unresponsive };
    (0..10).for_each(|n| queue.insert(update(n), 3));
    assert_eq!(queue.next_batch(10).len(), 10);
    queue.insert(update(20), 3);
    assert_eq!(queue.next_batch(1), [update(20)]);
    let mut sent = 11;
    for _ in 0..10 {
        sent += queue.next_batch(10).len();
    }
    assert_eq!(sent, 33);
    assert!(queue.next_batch(10).is_empty());
}
