use super::*;

/// Guards against missing a change between reading the value and waiting for the next change.
#[tokio::test]
async fn waiting_task_wakes_when_the_predicate_holds() {
    let value = WatchCell::new(1);
    assert!(!value.set(1));
    let other = value.clone();
    let ((), ()) = tokio::join!(value.wait_for(|value| value == 3), async {
        for next in [2, 3] {
            assert!(other.set(next));
            tokio::task::yield_now().await;
        }
    });
    assert_eq!(value.get(), 3);
}
