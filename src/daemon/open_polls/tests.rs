use super::*;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

const INTERVAL: Duration = Duration::from_millis(400);

/// Guards against an agent that is never heard because each request to it is cancelled before its response
/// (review/7), and against open requests without a limit.
#[tokio::test(start_paused = true)]
async fn an_agent_of_any_latency_is_heard_with_few_open_requests() {
    for latency_ms in [100, 500, 1_500, 5_000, 12_000, 20_000] {
        let open: Rc<RefCell<usize>> = Rc::default();
        let local = LocalSet::new();
        let heard = local.run_until(async {
            let mut polls = OpenPolls::new();
            let started = Instant::now();
            loop {
                let counter = open.clone();
                polls.start(async move {
                    let _open = OpenRequest::new(counter);
                    sleep(Duration::from_millis(latency_ms)).await;
                });
                if timeout(INTERVAL, polls.next()).await.is_ok() {
                    return started.elapsed();
                }
                assert!(started.elapsed() < Duration::from_secs(60), "{latency_ms} ms: never heard");
                assert!(*open.borrow() <= MAX_OPEN_POLLS, "{latency_ms} ms");
            }
        });
        let heard = heard.await;
        assert!(heard <= 3 * Duration::from_millis(latency_ms) + 2 * INTERVAL, "{latency_ms} ms: {heard:?}");
    }
}

/// Counts the open requests.
struct OpenRequest(Rc<RefCell<usize>>);

impl OpenRequest {
    fn new(open: Rc<RefCell<usize>>) -> Self {
        *open.borrow_mut() += 1;
        Self(open)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        *self.0.borrow_mut() -= 1;
    }
}
