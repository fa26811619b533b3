use super::*;

/// Guards against counting a batch more than once, and against removing it before its last message has ended.
#[test]
fn reports_a_batch_as_complete_with_its_last_message() {
    let mut calls = InFlightCalls::default();
    let call = Call { sent_at: Timestamp(1), idle_seconds: 0.5, routes: [Some(1), None] };
    let (single, batch) = (calls.begin(call), calls.begin(call));
    calls.join(batch);
    assert_eq!(calls.end(batch), Some(CallProgress { call, is_first: true, is_complete: false }));
    assert_eq!((calls.len(), calls.get(batch)), (2, Some(&call)));
    assert_eq!(calls.end(batch), Some(CallProgress { call, is_first: false, is_complete: true }));
    assert_eq!(calls.end(single), Some(CallProgress { call, is_first: true, is_complete: true }));
    assert_eq!((calls.len(), calls.end(batch)), (0, None));
}
