//! Tests of which connection gives way.
use super::*;

const MIN_FRESH_AGE: Duration = Duration::from_millis(500);

async fn is_asked_to_close(permit: &ConnectionPermit) -> bool {
    tokio::time::timeout(Duration::ZERO, permit.close_signal.requested()).await.is_ok()
}

/// Guards against closing a connection whose client has not had a response yet, while there is another one: its first
/// request may be on the way.
#[tokio::test(start_paused = true)]
async fn a_connection_without_a_response_gives_way_last() {
    let limits = ConnectionLimits::new(3, 1024, MIN_FRESH_AGE);
    let fresh = limits.admit().await.unwrap();
    let served = limits.admit().await.unwrap();
    served.set_busy();
    served.set_responded();
    served.set_flushed();
    limits.close_idle();
    assert!(is_asked_to_close(&served).await);
    assert!(!is_asked_to_close(&fresh).await);
    limits.close_idle();
    assert!(!is_asked_to_close(&fresh).await, "its first request may be on the way");
    tokio::time::advance(MIN_FRESH_AGE).await;
    limits.close_idle();
    assert!(is_asked_to_close(&fresh).await);
}

/// Guards against a connection that is closed while its request is in work.
#[tokio::test]
async fn a_busy_connection_never_gives_way() {
    let limits = ConnectionLimits::new(2, 1024, MIN_FRESH_AGE);
    let busy = limits.admit().await.unwrap();
    busy.set_busy();
    limits.close_idle();
    assert!(!is_asked_to_close(&busy).await);
}
