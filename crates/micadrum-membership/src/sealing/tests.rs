use super::*;

/// Guards against keys that a third could have, that are the same both ways, or that a key without strength gives.
#[test]
fn a_pair_agrees_and_nobody_else_does() {
    let [a, b, c] = [1, 2, 3].map(|n| Secret::new([n; 32]));
    let [x, y, z] = [1, 2, 3].map(|n| MemberId([n; 8]));
    let ours = a.pair(x, y, &b.public()).unwrap();
    let theirs = b.pair(y, x, &a.public()).unwrap();
    assert_eq!((ours.out, ours.back), (theirs.back, theirs.out));
    assert_ne!(ours.out, ours.back);
    let others = c.pair(z, y, &b.public()).unwrap();
    assert_ne!(others.out, ours.out);
    assert_eq!(a.pair(x, y, &[0; 32]).err(), Some(WeakKey));
    let life = Incarnation { number: 3, run: 9 };
    assert_ne!(a.stamp(life), b.stamp(life));
    assert_ne!(a.stamp(life), a.stamp(Incarnation { number: 4, ..life }));
}
