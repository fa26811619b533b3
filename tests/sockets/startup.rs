//! Starts with an existing state folder: accepted messages are tried, even under changed settings.
use super::harness::*;
use super::raw_connections::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// Submits `messages` while their only endpoint drains, so that none of them is tried, and kills the process.
async fn kill_with_untried_messages(
    node: &mut Node,
    platform: &Platform,
    endpoint: &TestServer,
    messages: &[(&str, &str)],
) {
    platform.update_endpoints(&[endpoint_entry("s-1", endpoint.address, "batching", "DRAINING")]);
    node.wait_for_metrics("the drain is known", |metrics| metrics["hosts_down"] == 1).await;
    for (id, class) in messages {
        assert_eq!(node.submit(id, class, "k").await.status(), 202, "{id}");
    }
    node.kill();
}

/// Returns the IDs of the messages in a call, which may be a batch.
pub fn ids(call: &Call) -> Vec<String> {
    match call.request.header("x-txn") {
        Some(id) => vec![id.to_owned()],
        None => {
            let items = call.request.json();
            items.as_array().unwrap().iter().map(|item| item["id"].as_str().unwrap().to_owned()).collect()
        }
    }
}

/// Responds that all messages of a call are delivered, and returns their IDs.
pub fn deliver(call: Call) -> Vec<String> {
    let ids = ids(&call);
    match call.request.header("x-txn") {
        Some(_) => call.ok(),
        None => {
            let results: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "ok"})).collect();
            call.reply(response("200 OK", "", &json!(results).to_string()));
        }
    }
    ids
}

/// Delivers at least `count` messages, and returns their IDs in the order of arrival.
async fn deliver_messages(endpoint: &mut TestServer, count: usize) -> Vec<String> {
    let mut delivered = Vec::new();
    while delivered.len() < count {
        delivered.extend(deliver(endpoint.next_call().await));
    }
    delivered
}

/// Guards against failing accepted messages without an attempt after a change of the settings: of classes,
/// idempotency keys, tenants, or the limit of held messages.
#[tokio::test]
async fn tries_all_accepted_messages_after_a_change_of_the_settings() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]).await;
    platform.update_endpoints(&[endpoint_entry("s-1", endpoint.address, "batching", "DRAINING")]);
    node.wait_for_metrics("the drain is known", |metrics| metrics["hosts_down"] == 1).await;
    let mut expected = BTreeSet::new();
    for n in 0..12 {
        let (id, class) = (format!("m{n}"), ["unsafe", "keyed", "ordered"][n % 3]);
        assert_eq!(node.submit(&id, class, &format!("k{n}")).await.status(), 202);
        expected.insert(id);
    }
    let keyless =
        "X-Txn: keyless\r\nX-Lane: unsafe\r\nX-Org: acme\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n";
    assert_eq!(node.request("POST /api", keyless, b"x").await.status(), 202);
    expected.insert("keyless".to_owned());
    node.kill();
    node.edit_config(|config| {
        let lanes = config["settings"]["lanes"].as_array_mut().unwrap();
        // Make the class unsafe a keyed one, remove the class ordered, and reverse the order.
        lanes[0]["repeat"] = json!("dedup");
        lanes[2]["name"] = json!("other");
        lanes.reverse();
        config["settings"]["tenants"] = json!([{"name": "somebody", "allowance_per_s": 1.0}]);
        config["settings"]["limits"]["most_held"] = json!(4);
    });
    platform.update_endpoints(&[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]);
    node.launch().await;
    let delivered_ids: BTreeSet<String> =
        deliver_messages(&mut endpoint, expected.len()).await.into_iter().collect();
    assert_eq!(delivered_ids, expected);
    assert!(endpoint.is_idle_for(Duration::from_millis(200)).await, "a message was sent after it had ended");
}

/// Guards against failing an untried message of an unknown class: it is tried once, and not again if that
/// attempt may have run.
#[tokio::test]
async fn tries_messages_of_an_unknown_class_once() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]).await;
    kill_with_untried_messages(&mut node, &platform, &endpoint, &[("a", "keyed"), ("b", "keyed")]).await;
    for corrupted in [b"{".as_slice(), b"[]"] {
        std::fs::write(node.state_path("classes.json"), corrupted).unwrap();
    }
    node.edit_config(|config| config["settings"]["lanes"][1]["name"] = json!("another"));
    platform.update_endpoints(&[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]);
    node.launch().await;
    // Messages of one key are sent in order, as the class might be an ordered one.
    let first = endpoint.next_call().await;
    assert_eq!(ids(&first), ["a"]);
    first.reply(response("500 Internal Server Error", "", ""));
    assert_eq!(platform.next_notification().await, json!({"id": "a", "state": "failed"}));
    assert_eq!(deliver_messages(&mut endpoint, 1).await, ["b"]);
    assert_eq!(
        node.submit("c", "keyed", "").await.status(),
        400,
        "new messages of the unknown class must be refused"
    );
}

/// Guards against a message that used its last attempt before a kill and then ends only at its deadline.
#[tokio::test]
async fn a_message_without_attempts_left_ends_at_once_after_a_kill() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let single_attempt = |config: &mut Value| config["settings"]["limits"]["max_attempts"] = json!(1);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start_with(&platform, &[entry], single_attempt).await;
    assert_eq!(node.submit("spent", "keyed", "").await.status(), 202);
    let open_call = endpoint.next_call().await;
    node.kill();
    drop(open_call);
    node.launch().await;
    let started = std::time::Instant::now();
    assert_eq!(platform.next_notification().await["id"], json!("spent"));
    assert!(started.elapsed() < Duration::from_secs(5), "ended only after {:?}", started.elapsed());
    assert!(endpoint.is_idle_for(Duration::from_millis(50)).await);
}

/// Guards against a start that fails because the journal cannot be opened, and against discarding it.
#[tokio::test]
async fn sets_an_unreadable_journal_aside() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    node.kill();
    std::fs::remove_file(node.journal_path()).unwrap();
    std::fs::create_dir(node.journal_path()).unwrap();
    node.launch().await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    assert!(node.state_path("messages.wal.unreadable").is_dir());
}

/// Guards against losing or duplicating messages at a kill: 50 processes are killed with messages that are
/// untried, in flight or partly answered. Each message ends once, and all untried ones are tried.
#[tokio::test]
async fn tries_all_untried_messages_after_each_of_fifty_kills() {
    let (endpoint, mut platform) = (RawServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let (mut untried, mut tried, mut failed) = (0, 0, 0);
    for n in 0..50 {
        let id = |what: &str| format!("{what}{n}");
        // The first message is in flight when the others of its key are submitted, so these stay untried.
        let class = if n % 2 == 0 { "ordered" } else { "unsafe" };
        assert_eq!(node.submit(&id("out"), class, "k").await.status(), 202);
        let mut connection = endpoint.accept().await;
        let request = match n % 5 {
            // Kill it after the connect, within the request head, after the request, or within the response.
            0 => None,
            1 => {
                connection.read_exact(30).await;
                None
            }
            2 => Some(connection.request().await),
            3 => {
                let request = connection.request().await;
                connection.send("HTTP/1.1 ").await;
                Some(request)
            }
            _ => {
                let request = connection.request().await;
                connection.send(&OK_RESPONSE[..20]).await;
                Some(request)
            }
        };
        let ordered = n % 2 == 0;
        let waiting: Vec<String> =
            (0..if ordered { n / 2 % 4 } else { 0 }).map(|m| format!("wait{n}-{m}")).collect();
        for id in &waiting {
            assert_eq!(node.submit(id, "ordered", "k").await.status(), 202);
        }
        untried += waiting.len();
        node.kill();
        connection.reset();
        drop(request);
        node.launch().await;
        let mut expected: BTreeSet<String> = waiting.iter().cloned().collect();
        if ordered {
            expected.insert(id("out"));
        } else {
            // The unsafe message may have run, so it fails.
            assert_eq!(platform.next_notification().await, json!({"id": id("out"), "state": "failed"}));
            failed += 1;
        }
        if expected.is_empty() {
            continue;
        }
        // Messages of one key are sent one after the other on one connection.
        let mut connection = endpoint.accept().await;
        while !expected.is_empty() {
            let request = connection.request().await;
            let id = request.header("x-txn").unwrap().to_owned();
            assert!(expected.remove(&id), "{id} was sent twice, or was never submitted");
            tried += usize::from(id.starts_with("wait"));
            connection.send(OK_RESPONSE).await;
        }
    }
    println!(
        "untried at a kill: {untried}, tried afterwards: {tried}, failed because they may have run: {failed}"
    );
    assert_eq!(untried, tried);
}
