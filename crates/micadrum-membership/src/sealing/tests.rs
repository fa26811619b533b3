use super::*;

/// Guards against session keys that a third member could derive, that are equal in both directions, or that come from a
/// degenerate public key.
#[test]
fn only_the_two_members_of_a_pair_derive_its_session_keys() {
    let [a, b, c] = [1, 2, 3].map(|n| Secret::new([n; 32]));
    let [x, y, z] = [1, 2, 3].map(|n| MemberId([n; 8]));
    let ours = a.session_keys(x, y, &b.public()).unwrap();
    let theirs = b.session_keys(y, x, &a.public()).unwrap();
    assert_eq!((ours.sending, ours.receiving), (theirs.receiving, theirs.sending));
    assert_ne!(ours.sending, ours.receiving);
    let others = c.session_keys(z, y, &b.public()).unwrap();
    assert_ne!(others.sending, ours.sending);
    assert_eq!(a.session_keys(x, y, &[0; 32]).err(), Some(WeakKey));
    let incarnation = Incarnation { number: 3, run: 9 };
    assert_ne!(a.prove(incarnation), b.prove(incarnation));
    assert_ne!(a.prove(incarnation), a.prove(Incarnation { number: 4, ..incarnation }));
}
