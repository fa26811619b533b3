//! What was heard of endpoints and learned of partners outlasts the process.
use super::harness::*;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::net::TcpListener;

/// Two endpoints of one destination, of which the sender has heard that the first drains, and then was killed; the
/// configuration has both in service still.
struct Drained {
    draining: TestServer,
    serving: TestServer,
    platform: Platform,
    node: Node,
    sent: usize,
}

impl Drained {
    async fn new() -> Self {
        let (mut draining, mut serving) = (TestServer::start().await, TestServer::start().await);
        let platform = Platform::start().await;
        let both = [
            endpoint_entry("s-1", draining.address, "batching", "SERVING"),
            endpoint_entry("s-2", serving.address, "batching", "SERVING"),
        ];
        let mut node = Node::start(&platform, &both).await;
        let drains = endpoint_entry("s-1", draining.address, "batching", "DRAINING");
        platform.update_endpoints(&[drains]);
        node.wait_for_metrics("the drain is heard", |metrics| metrics["hosts_down"] == 1).await;
        assert_eq!(node.submit("m0", "unsafe", "").await.status(), 202);
        serving.next_call().await.ok();
        node.kill();
        assert!(draining.is_idle_for(Duration::from_millis(20)).await);
        Self { draining, serving, platform, node, sent: 0 }
    }

    /// Messages handed in now go to the second endpoint only, for longer than the grace.
    async fn goes_to_the_second(&mut self) {
        for _ in 0..6 {
            self.sent += 1;
            assert_eq!(self.node.submit(&format!("m{}", self.sent), "unsafe", "").await.status(), 202);
            self.serving.next_call().await.ok();
            assert!(
                self.draining.is_idle_for(Duration::from_millis(200)).await,
                "sent to what was heard to drain"
            );
        }
    }
}

/// Guards against a new process that goes by an older list of the configuration, while discovery turns it away.
#[tokio::test]
async fn a_drain_that_was_heard_outlasts_a_kill() {
    let mut drained = Drained::new().await;
    let mut agent = TestServer::start().await;
    // The same agent by its address: the platform's own is not asked, this one has the news and says no.
    let address = drained.platform.address;
    drop(std::mem::replace(&mut drained.platform, Platform::served_by_test(address)));
    drained.node.launch().await;
    drained.goes_to_the_second().await;
    // The agent has moved and counts anew; it turns the sender away, and then has the endpoint in service.
    drained.node.kill();
    drained.node.edit_config(|config| config["discovery"] = json!(agent.address.to_string()));
    drained.node.launch().await;
    let turned_away = agent.next_call().await;
    assert!(!turned_away.request.start_line.contains("from="), "{}", turned_away.request.start_line);
    turned_away.reply(response("503 Service Unavailable", "", ""));
    drained.goes_to_the_second().await;
    drained.node.kill();
    drained.node.launch().await;
    let serving = [endpoint_entry("s-1", drained.draining.address, "batching", "SERVING")];
    let list = json!({"revision": 1, "complete": true, "members": serving});
    loop {
        let call = agent.next_call().await;
        call.reply(response("200 OK", "", &list.to_string()));
        if drained.node.metrics().await["hosts_listed"] == 1 {
            break;
        }
    }
    assert_eq!(drained.node.submit("back", "unsafe", "").await.status(), 202);
    drained.draining.next_call().await.ok();
}

/// Guards against forgetting a drain that was heard of an agent which counts anew under its address: by number the
/// configuration's list is the newer one.
#[tokio::test]
async fn a_drain_heard_of_an_agent_that_counts_anew_outlasts_a_kill() {
    let (mut agent, mut draining, mut serving) =
        (TestServer::start().await, TestServer::start().await, TestServer::start().await);
    let list = |phase| {
        let of = [
            endpoint_entry("s-1", draining.address, "batching", phase),
            endpoint_entry("s-2", serving.address, "batching", "SERVING"),
        ];
        json!({"revision": 3, "complete": true, "members": of})
    };
    let (known, anew) = (list("SERVING"), list("DRAINING"));
    let entries = known["members"].as_array().unwrap();
    let later = |config: &mut Value| config["known"]["revision"] = json!(41);
    let mut node = Node::start_with(&Platform::served_by_test(agent.address), entries, later).await;
    agent.next_call().await.reply(response(
        "200 OK",
        "",
        &json!({"revision": 3, "complete": false, "members": []}).to_string(),
    ));
    agent.next_call().await.reply(response("200 OK", "", &anew.to_string()));
    node.wait_for_metrics("the drain is heard", |metrics| metrics["hosts_down"] == 1).await;
    // Killed twice, and turned away in between: what is remembered was remembered before.
    for round in 0..2 {
        node.kill();
        node.launch().await;
        for n in 0..4 {
            assert_eq!(node.submit(&format!("m{round}{n}"), "unsafe", "").await.status(), 202);
            serving.next_call().await.ok();
            assert!(
                draining.is_idle_for(Duration::from_millis(100)).await,
                "sent to what was heard to drain"
            );
        }
    }
}

/// Guards against leaving an endpoint out for good that has started again under its id since its drain was heard.
#[tokio::test]
async fn an_endpoint_that_started_again_under_its_id_is_in_service() {
    let mut drained = Drained::new().await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let agent = silent.local_addr().unwrap();
    drained.node.edit_config(|config| {
        config["discovery"] = json!(agent.to_string());
        let list = config["known"]["members"].as_array_mut().unwrap();
        list.retain(|entry| entry["id"] == "s-1");
        list[0]["up_since_ms"] = json!(4_000_000_000_000_u64);
    });
    drained.node.launch().await;
    assert_eq!(drained.node.submit("again", "unsafe", "").await.status(), 202);
    drained.draining.next_call().await.ok();
}

/// Guards against a file that stops a start: cut off, damaged, of another sender.
#[tokio::test]
async fn whatever_stands_in_the_file_the_sender_starts() {
    let mut drained = Drained::new().await;
    let path = drained.node.state_path("memory.log");
    let whole = std::fs::read(&path).unwrap();
    let mut damaged = whole.clone();
    damaged[10] ^= 0x55;
    for bytes in [&whole[..whole.len() / 2], &whole[..3], &damaged[..], b"", &[0xff; 4000][..]] {
        std::fs::write(&path, bytes).unwrap();
        drained.node.launch().await;
        assert_eq!(drained.node.request("GET /-/ready", "", b"").await.status(), 200);
        drained.node.kill();
    }
}

/// Guards against forgetting a told wait with the process: the partner is not called before it is over.
#[tokio::test]
async fn a_told_wait_outlasts_a_kill() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let one = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let mut node = Node::start(&platform, &one).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 2.5\r\n", ""));
    let told = tokio::time::Instant::now();
    // Written down with the next slice.
    let before = std::fs::metadata(node.state_path("memory.log")).unwrap().len();
    let written = async {
        while std::fs::metadata(node.state_path("memory.log")).unwrap().len() == before {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, written).await.expect("it is written down");
    node.kill();
    node.launch().await;
    endpoint.next_call().await.ok();
    assert!(told.elapsed() >= Duration::from_millis(2_450), "called after {:?}", told.elapsed());
}

/// Guards against an upgrade that forgets what a restart would remember.
#[tokio::test]
async fn a_next_process_goes_on_from_the_list_that_was_heard() {
    let mut drained = Drained::new().await;
    drained.node.launch().await;
    drained.goes_to_the_second().await;
    let old: Value = drained.node.metrics().await;
    let mut before = drained.node.replace().await;
    assert!(before.exits_successfully().await);
    assert_eq!(drained.node.metrics().await["hosts_listed"], old["hosts_listed"]);
    assert_eq!(drained.node.submit("next", "unsafe", "").await.status(), 202);
    drained.serving.next_call().await.ok();
}
