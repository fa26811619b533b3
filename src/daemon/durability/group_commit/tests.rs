use super::*;
use crate::daemon::durability::DeferredEffects;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against an act that goes out before its record stands, and one that waits though it does.
#[test]
fn what_is_written_during_a_sync_waits_for_the_next() {
    let (mut gate, mut held) = (GroupCommit::new(ms(2)), DeferredEffects::default());
    gate.written(1, ms(0));
    held.hold(1, "a");
    assert_eq!(gate.wanted(ms(1)), NextStep::Wait(Some(ms(2))));
    gate.written(2, ms(1));
    held.hold(2, "b");
    assert_eq!(gate.wanted(ms(2)), NextStep::Sync);
    let file = gate.sync_begins();
    gate.written(3, ms(3));
    held.hold(3, "c");
    assert_eq!(gate.wanted(ms(9)), NextStep::Wait(None), "one at a time");
    assert_eq!(held.next(gate.standing()), None);
    gate.sync_ended(file, true, ms(9));
    assert_eq!([held.next(gate.standing()), held.next(gate.standing())], [Some("a"), Some("b")]);
    assert_eq!((held.next(gate.standing()), gate.wanted(ms(9))), (None, NextStep::Sync));
    let file = gate.sync_begins();
    gate.sync_ended(file, true, ms(10));
    assert_eq!((held.next(gate.standing()), held.is_empty()), (Some("c"), true));
    assert_eq!(gate.wanted(ms(99)), NextStep::Wait(None));
}

/// Guards against a second sync of a file whose first one failed, and a late yes of a file that was given up.
#[test]
fn a_failed_sync_is_final_for_its_file() {
    let mut gate = GroupCommit::new(ms(0));
    gate.written(1, ms(0));
    let first = gate.sync_begins();
    gate.sync_ended(first, false, ms(5));
    assert_eq!((gate.wanted(ms(5)), gate.standing(), gate.has_failed()), (NextStep::NewFile, 0, true));
    gate.no_new_file(ms(1000));
    gate.written(2, ms(6));
    assert_eq!(gate.wanted(ms(6)), NextStep::Wait(Some(ms(1000))));
    gate.sync_ended(first, true, ms(7));
    assert_eq!(gate.standing(), 0, "nothing is out");
    gate.new_file();
    assert_eq!((gate.standing(), gate.has_failed(), gate.wanted(ms(1000))), (2, false, NextStep::Wait(None)));
    gate.written(3, ms(1001));
    let second = gate.sync_begins();
    gate.sync_ended(first, true, ms(1002));
    assert_eq!(gate.standing(), 2, "a yes of the file before");
    gate.sync_ended(second, true, ms(1003));
    assert_eq!(gate.standing(), 3);
}
