use super::*;

/// Guards against rumours that are told for ever, or of which the newest waits behind old ones.
#[test]
fn each_is_told_so_often_and_the_newest_first() {
    let mut rumours = GossipQueue::default();
    let rumour = |n: u8| GossipUpdate { about: MemberId([n; 8]), life: 1, word: GossipStatus::Silent };
    (0..10).for_each(|n| rumours.add(rumour(n), 3));
    assert_eq!(rumours.next(10).len(), 10);
    rumours.add(rumour(20), 3);
    assert_eq!(rumours.next(1), [rumour(20)]);
    let mut told = 11;
    for _ in 0..10 {
        told += rumours.next(10).len();
    }
    assert_eq!(told, 33);
    assert!(rumours.next(10).is_empty());
}
