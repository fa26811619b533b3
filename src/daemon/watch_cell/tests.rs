use super::*;

/// Guards against a change that is missed between reading the value and waiting for the next one.
#[tokio::test]
async fn a_waiting_task_sees_the_value_that_it_waits_for() {
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
