use super::*;

/// Guards against keeping a key forever, forgetting it while it is held, and releasing its messages out of
/// order.
#[test]
fn keeps_a_key_while_it_has_messages_or_is_held() {
    let (mut keys, key, [first, second, third]) =
        (OrderingKeys::default(), OrderKey(7), [5, 3, 9].map(MessageId));
    for (sequence, id) in [(1, first), (2, second), (3, third)] {
        keys.push(key, sequence, id);
    }
    assert_eq!(keys.release(key, 2, second, Timestamp(1)), KeyRelease::Unchanged);
    assert_eq!(keys.release(key, 1, first, Timestamp(1)), KeyRelease::NextMessage(third));
    assert_eq!(keys.hold(key, Timestamp(50)), Some(third));
    assert_eq!(keys.head(key), Some(KeyHead { first: Some(third), held_until: Timestamp(50) }));
    assert_eq!(keys.forget(key, Timestamp(99)), None, "the key has a message");
    assert_eq!(keys.release(key, 3, third, Timestamp(49)), KeyRelease::HeldUntil(Timestamp(50)));
    assert_eq!(keys.forget(key, Timestamp(50)), None);
    assert_eq!((keys.head(key), keys.hold(key, Timestamp(9))), (None, None));
}
