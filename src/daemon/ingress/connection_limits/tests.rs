//! Tests of the order in which idle connections are closed.
use super::*;

const MIN_UNSERVED_AGE: Duration = Duration::from_millis(500);

async fn is_asked_to_close(permit: &ConnectionPermit) -> bool {
    tokio::time::timeout(Duration::ZERO, permit.close_signal.requested()).await.is_ok()
}

/// Guards against closing a connection without a response, whose first request may be in transit, while
/// another idle connection could be closed.
#[tokio::test(start_paused = true)]
async fn closes_a_connection_without_a_response_last() {
    let limits = ConnectionLimits::new(3, 1024, Closable::Idle, MIN_UNSERVED_AGE);
    let unserved = limits.admit().await.unwrap();
    let served = limits.admit().await.unwrap();
    served.set_busy();
    served.set_responded();
    served.set_flushed();
    limits.close_idle();
    assert!(is_asked_to_close(&served).await);
    assert!(!is_asked_to_close(&unserved).await);
    limits.close_idle();
    assert!(!is_asked_to_close(&unserved).await, "closed before the minimum age");
    tokio::time::advance(MIN_UNSERVED_AGE).await;
    limits.close_idle();
    assert!(is_asked_to_close(&unserved).await);
}

/// Guards against closing a connection while its request is being processed.
#[tokio::test]
async fn never_closes_a_busy_connection() {
    let limits = ConnectionLimits::new(2, 1024, Closable::Idle, MIN_UNSERVED_AGE);
    let busy = limits.admit().await.unwrap();
    busy.set_busy();
    limits.close_idle();
    assert!(!is_asked_to_close(&busy).await);
}

/// Guards against requests that never arrive completely and take up all connections of a listener, and against
/// closing a connection whose request was read.
#[tokio::test]
async fn closes_an_incomplete_request_where_that_is_allowed() {
    let limits = ConnectionLimits::new(2, 1024, Closable::Incomplete, Duration::ZERO);
    let (read, incomplete) = (limits.admit().await.unwrap(), limits.admit().await.unwrap());
    for permit in [&read, &incomplete] {
        permit.set_head_read();
    }
    read.set_request_read();
    limits.close_idle();
    assert!(incomplete.is_closable_incomplete() && is_asked_to_close(&incomplete).await);
    limits.close_idle();
    assert!(!is_asked_to_close(&read).await);
}
