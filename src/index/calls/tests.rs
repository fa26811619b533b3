use super::*;

/// Guards against a batch that counts more than once, or whose slot is free before its last message has ended.
#[test]
fn a_batch_is_told_of_once_and_done_with_its_last_message() {
    let mut calls = InFlightCalls::default();
    let call = Call { sent_at: Timestamp(1), idle_seconds: 0.5, routes: [Some(1), None] };
    let (one, batch) = (calls.begin(call), calls.begin(call));
    calls.join(batch);
    assert_eq!(calls.end(batch), Some(CallProgress { call, is_first: true, is_complete: false }));
    assert_eq!((calls.len(), calls.get(batch)), (2, Some(&call)));
    assert_eq!(calls.end(batch), Some(CallProgress { call, is_first: false, is_complete: true }));
    assert_eq!(calls.end(one), Some(CallProgress { call, is_first: true, is_complete: true }));
    assert_eq!((calls.len(), calls.end(batch)), (0, None));
}
