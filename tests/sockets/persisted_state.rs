//! State that is kept across processes: drains of endpoints and requested waits of destinations.
use super::harness::*;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::net::TcpListener;

/// Two endpoints of one destination, both in service according to the configuration. The sender has learned
/// from discovery that one drains, and was then killed.
struct DrainScenario {
    draining: TestServer,
    serving: TestServer,
    platform: Platform,
    node: Node,
    sent: usize,
}

impl DrainScenario {
    async fn new() -> Self {
        let (mut draining, mut serving) = (TestServer::start().await, TestServer::start().await);
        let platform = Platform::start().await;
        let entries = [
            endpoint_entry("s-1", draining.address, "batching", "SERVING"),
            endpoint_entry("s-2", serving.address, "batching", "SERVING"),
        ];
        let mut node = Node::start(&platform, &entries).await;
        let drain_entry = endpoint_entry("s-1", draining.address, "batching", "DRAINING");
        platform.update_endpoints(&[drain_entry]);
        node.wait_for_metrics("the drain is known", |metrics| metrics["hosts_down"] == 1).await;
        assert_eq!(node.submit("m0", "unsafe", "").await.status(), 202);
        serving.next_call().await.ok();
        node.kill();
        assert!(draining.is_idle_for(Duration::from_millis(20)).await);
        Self { draining, serving, platform, node, sent: 0 }
    }

    /// Checks for longer than the grace period that new messages are sent only to the serving endpoint.
    async fn assert_calls_only_the_serving_endpoint(&mut self) {
        for _ in 0..6 {
            self.sent += 1;
            assert_eq!(self.node.submit(&format!("m{}", self.sent), "unsafe", "").await.status(), 202);
            self.serving.next_call().await.ok();
            assert!(
                self.draining.is_idle_for(Duration::from_millis(200)).await,
                "a call to an endpoint that is known to drain"
            );
        }
    }
}

/// Guards against a new process that uses the older list of its configuration while discovery is unavailable.
#[tokio::test]
async fn a_known_drain_is_kept_after_a_kill() {
    let mut scenario = DrainScenario::new().await;
    let mut discovery = TestServer::start().await;
    // The platform at the same address stops serving, so the new process cannot reach discovery.
    let address = scenario.platform.address;
    drop(std::mem::replace(&mut scenario.platform, Platform::served_by_test(address)));
    scenario.node.launch().await;
    scenario.assert_calls_only_the_serving_endpoint().await;
    // Discovery moves to a server with its own revisions, which first refuses the watch and then lists the
    // endpoint as serving.
    scenario.node.kill();
    scenario.node.edit_config(|config| config["discovery"] = json!(discovery.address.to_string()));
    scenario.node.launch().await;
    let refused = discovery.next_call().await;
    assert!(!refused.request.start_line.contains("from="), "{}", refused.request.start_line);
    refused.reply(response("503 Service Unavailable", "", ""));
    scenario.assert_calls_only_the_serving_endpoint().await;
    scenario.node.kill();
    scenario.node.launch().await;
    let serving = [endpoint_entry("s-1", scenario.draining.address, "batching", "SERVING")];
    let list = json!({"revision": 1, "complete": true, "members": serving});
    loop {
        let call = discovery.next_call().await;
        call.reply(response("200 OK", "", &list.to_string()));
        if scenario.node.metrics().await["hosts_listed"] == 1 {
            break;
        }
    }
    assert_eq!(scenario.node.submit("back", "unsafe", "").await.status(), 202);
    scenario.draining.next_call().await.ok();
}

/// Guards against forgetting a drain after the revisions of discovery have started over: by its number, the
/// list in the configuration is newer.
#[tokio::test]
async fn a_drain_known_after_a_revision_reset_is_kept_after_a_kill() {
    let (mut discovery, mut draining, mut serving) =
        (TestServer::start().await, TestServer::start().await, TestServer::start().await);
    let list = |phase| {
        let entries = [
            endpoint_entry("s-1", draining.address, "batching", phase),
            endpoint_entry("s-2", serving.address, "batching", "SERVING"),
        ];
        json!({"revision": 3, "complete": true, "members": entries})
    };
    let (serving_list, draining_list) = (list("SERVING"), list("DRAINING"));
    let entries = serving_list["members"].as_array().unwrap();
    let later_revision = |config: &mut Value| config["known"]["revision"] = json!(41);
    let mut node =
        Node::start_with(&Platform::served_by_test(discovery.address), entries, later_revision).await;
    discovery.next_call().await.reply(response(
        "200 OK",
        "",
        &json!({"revision": 3, "complete": false, "members": []}).to_string(),
    ));
    discovery.next_call().await.reply(response("200 OK", "", &draining_list.to_string()));
    node.wait_for_metrics("the drain is known", |metrics| metrics["hosts_down"] == 1).await;
    // Kill it twice without a list in between: the second process keeps what the first one had read.
    for round in 0..2 {
        node.kill();
        node.launch().await;
        for n in 0..4 {
            assert_eq!(node.submit(&format!("m{round}{n}"), "unsafe", "").await.status(), 202);
            serving.next_call().await.ok();
            assert!(
                draining.is_idle_for(Duration::from_millis(100)).await,
                "a call to an endpoint that is known to drain"
            );
        }
    }
}

/// Guards against excluding an endpoint forever that has restarted with the same ID since its drain.
#[tokio::test]
async fn an_endpoint_restarted_with_the_same_id_is_in_service() {
    let mut scenario = DrainScenario::new().await;
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let discovery = unresponsive.local_addr().unwrap();
    scenario.node.edit_config(|config| {
        config["discovery"] = json!(discovery.to_string());
        let list = config["known"]["members"].as_array_mut().unwrap();
        list.retain(|entry| entry["id"] == "s-1");
        list[0]["up_since_ms"] = json!(4_000_000_000_000_u64);
    });
    scenario.node.launch().await;
    assert_eq!(scenario.node.submit("again", "unsafe", "").await.status(), 202);
    scenario.draining.next_call().await.ok();
}

/// Guards against a file that prevents a start: truncated, corrupted, empty or of another format.
#[tokio::test]
async fn starts_with_any_content_of_the_state_file() {
    let mut scenario = DrainScenario::new().await;
    let path = scenario.node.state_path("memory.log");
    let intact = std::fs::read(&path).unwrap();
    let mut corrupted = intact.clone();
    corrupted[10] ^= 0x55;
    for bytes in [&intact[..intact.len() / 2], &intact[..3], &corrupted[..], b"", &[0xff; 4000][..]] {
        std::fs::write(&path, bytes).unwrap();
        scenario.node.launch().await;
        assert_eq!(scenario.node.request("GET /-/ready", "", b"").await.status(), 200);
        scenario.node.kill();
    }
}

/// Guards against forgetting a requested wait at a kill: the destination is not called before the wait is
/// over.
#[tokio::test]
async fn a_requested_wait_is_kept_after_a_kill() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let mut node = Node::start(&platform, &entries).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 2.5\r\n", ""));
    let responded_at = tokio::time::Instant::now();
    // Wait until the next periodic write has stored the wait.
    let length_before = std::fs::metadata(node.state_path("memory.log")).unwrap().len();
    let written = async {
        while std::fs::metadata(node.state_path("memory.log")).unwrap().len() == length_before {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, written).await.expect("the wait was not stored in time");
    node.kill();
    node.launch().await;
    endpoint.next_call().await.ok();
    assert!(
        responded_at.elapsed() >= Duration::from_millis(2_450),
        "called after {:?}",
        responded_at.elapsed()
    );
}

/// Guards against a handover that loses state which a restart keeps.
#[tokio::test]
async fn a_known_drain_is_kept_after_a_handover() {
    let mut scenario = DrainScenario::new().await;
    scenario.node.launch().await;
    scenario.assert_calls_only_the_serving_endpoint().await;
    let old_metrics: Value = scenario.node.metrics().await;
    let mut old_process = scenario.node.replace().await;
    assert!(old_process.exits_successfully().await);
    assert_eq!(scenario.node.metrics().await["hosts_listed"], old_metrics["hosts_listed"]);
    assert_eq!(scenario.node.submit("next", "unsafe", "").await.status(), 202);
    scenario.serving.next_call().await.ok();
}
