use super::*;
use crate::daemon::durability::DeferredEffects;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against releasing an effect before its record is durable, and against holding it back afterwards.
#[test]
fn record_written_during_a_sync_waits_for_the_next() {
    let (mut commit, mut effects) = (GroupCommit::new(ms(2)), DeferredEffects::default());
    commit.records_written(1, ms(0));
    effects.push(1, "a");
    assert_eq!(commit.next_step(ms(1)), NextStep::Wait(Some(ms(2))));
    commit.records_written(2, ms(1));
    effects.push(2, "b");
    assert_eq!(commit.next_step(ms(2)), NextStep::Sync);
    let generation = commit.sync_started();
    commit.records_written(3, ms(3));
    effects.push(3, "c");
    assert_eq!(commit.next_step(ms(9)), NextStep::Wait(None), "one sync at a time");
    assert_eq!(effects.pop_ready(commit.durable_sequence()), None);
    commit.sync_ended(generation, SyncResult::Durable, ms(9));
    assert_eq!(
        [effects.pop_ready(commit.durable_sequence()), effects.pop_ready(commit.durable_sequence())],
        [Some("a"), Some("b")]
    );
    assert_eq!(
        (effects.pop_ready(commit.durable_sequence()), commit.next_step(ms(9))),
        (None, NextStep::Sync)
    );
    let generation = commit.sync_started();
    commit.sync_ended(generation, SyncResult::Durable, ms(10));
    assert_eq!((effects.pop_ready(commit.durable_sequence()), effects.is_empty()), (Some("c"), true));
    assert_eq!(commit.next_step(ms(99)), NextStep::Wait(None));
}

/// Guards against syncing a file again after a failure, and against counting a late success of a replaced
/// file.
#[test]
fn failed_sync_is_final_for_its_file() {
    let mut commit = GroupCommit::new(ms(0));
    commit.records_written(1, ms(0));
    let first = commit.sync_started();
    commit.sync_ended(first, SyncResult::Failed, ms(5));
    assert_eq!(
        (commit.next_step(ms(5)), commit.durable_sequence(), commit.has_failed()),
        (NextStep::ReplaceFile, 0, true)
    );
    commit.replacement_failed(ms(1000));
    commit.records_written(2, ms(6));
    assert_eq!(commit.next_step(ms(6)), NextStep::Wait(Some(ms(1000))));
    commit.sync_ended(first, SyncResult::Durable, ms(7));
    assert_eq!(commit.durable_sequence(), 0, "no sync is running");
    commit.file_replaced();
    assert_eq!(
        (commit.durable_sequence(), commit.has_failed(), commit.next_step(ms(1000))),
        (2, false, NextStep::Wait(None))
    );
    commit.records_written(3, ms(1001));
    let second = commit.sync_started();
    commit.sync_ended(first, SyncResult::Durable, ms(1002));
    assert_eq!(commit.durable_sequence(), 2, "the sync of the previous file does not count");
    commit.sync_ended(second, SyncResult::Durable, ms(1003));
    assert_eq!(commit.durable_sequence(), 3);
}
