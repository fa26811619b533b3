use super::*;

/// Guards against a change that is missed between a look and the wait for the next.
#[tokio::test]
async fn a_follower_sees_what_it_waits_for() {
    let value = WatchCell::new(1);
    assert!(!value.set(1));
    let other = value.clone();
    let ((), ()) = tokio::join!(value.wait_for(|v| v == 3), async {
        for v in [2, 3] {
            assert!(other.set(v));
            tokio::task::yield_now().await;
        }
    });
    assert_eq!(value.get(), 3);
}
