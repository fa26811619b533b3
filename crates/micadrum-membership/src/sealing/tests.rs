use super::*;

/// Guards against session keys that a third member can derive, that are equal in both directions, or that are
/// derived from a degenerate public key.
#[test]
fn only_the_two_members_of_a_pair_derive_its_session_keys() {
    let [first, second, third] = [1, 2, 3].map(|n| Secret::new([n; 32]));
    let [first_id, second_id, third_id] = [1, 2, 3].map(|n| MemberId([n; 8]));
    let ours = first.session_keys(first_id, second_id, &second.public_key()).unwrap();
    let theirs = second.session_keys(second_id, first_id, &first.public_key()).unwrap();
    assert_eq!((ours.sending, ours.receiving), (theirs.receiving, theirs.sending));
    assert_ne!(ours.sending, ours.receiving);
    let others = third.session_keys(third_id, second_id, &second.public_key()).unwrap();
    assert_ne!(others.sending, ours.sending);
    assert_eq!(first.session_keys(first_id, second_id, &[0; 32]).err(), Some(WeakKey));
    let incarnation = Incarnation { number: 3, run: 9 };
    assert_ne!(first.prove(incarnation), second.prove(incarnation));
    assert_ne!(first.prove(incarnation), first.prove(Incarnation { number: 4, ..incarnation }));
}
