//! What a process finds in its folder: what was taken on and not tried is tried, whatever the settings have become.
use super::harness::*;
use super::raw_connections::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// Hands in `ids` while their only endpoint is told to be draining, so that none of them is tried, and kills the process.
async fn untried(node: &mut Node, platform: &Platform, endpoint: &TestServer, messages: &[(&str, &str)]) {
    platform.update_endpoints(&[endpoint_entry("s-1", endpoint.address, "batching", "DRAINING")]);
    node.wait_for_metrics("the drain is heard", |metrics| metrics["hosts_down"] == 1).await;
    for (id, class) in messages {
        assert_eq!(node.submit(id, class, "k").await.status(), 202, "{id}");
    }
    node.kill();
}

/// The ids of a call, with one message or several.
pub fn ids(call: &Call) -> Vec<String> {
    match call.request.header("x-txn") {
        Some(id) => vec![id.to_owned()],
        None => {
            let items = call.request.json();
            items.as_array().unwrap().iter().map(|item| item["id"].as_str().unwrap().to_owned()).collect()
        }
    }
}

/// Answers a call such that all of its messages are delivered.
pub fn deliver(call: Call) -> Vec<String> {
    let ids = ids(&call);
    match call.request.header("x-txn") {
        Some(_) => call.ok(),
        None => {
            let ends: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "ok"})).collect();
            call.reply(response("200 OK", "", &json!(ends).to_string()));
        }
    }
    ids
}

async fn delivered(endpoint: &mut TestServer, count: usize) -> Vec<String> {
    let mut delivered = Vec::new();
    while delivered.len() < count {
        delivered.extend(deliver(endpoint.next_call().await));
    }
    delivered
}

/// Guards against a process that ends without a call what an earlier one took on under other settings: a class that they
/// name no more, one that now wants a key that the message does not have, a tenant that has gone, classes in another order,
/// and far less room than what is owed takes.
#[tokio::test]
async fn other_settings_cost_no_message_its_try() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]).await;
    platform.update_endpoints(&[endpoint_entry("s-1", endpoint.address, "batching", "DRAINING")]);
    node.wait_for_metrics("the drain is heard", |metrics| metrics["hosts_down"] == 1).await;
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
        // What was unsafe is keyed now, what was ordered has gone, and their order is another.
        lanes[0]["repeat"] = json!("dedup");
        lanes[2]["name"] = json!("other");
        lanes.reverse();
        config["settings"]["tenants"] = json!([{"name": "somebody", "allowance_per_s": 1.0}]);
        config["settings"]["limits"]["most_held"] = json!(4);
    });
    platform.update_endpoints(&[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]);
    node.launch().await;
    let came: BTreeSet<String> = delivered(&mut endpoint, expected.len()).await.into_iter().collect();
    assert_eq!(came, expected);
    assert!(endpoint.is_idle_for(Duration::from_millis(200)).await, "a message went out after its end");
}

/// Guards against giving up what is untried as nothing at all is known of its class: it is tried once, and a try that may
/// have run is its last.
#[tokio::test]
async fn a_class_of_which_nothing_is_known_is_tried_once() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]).await;
    untried(&mut node, &platform, &endpoint, &[("a", "keyed"), ("b", "keyed")]).await;
    for damaged in [b"{".as_slice(), b"[]"] {
        std::fs::write(node.state_path("classes.json"), damaged).unwrap();
    }
    node.edit_config(|config| config["settings"]["lanes"][1]["name"] = json!("another"));
    platform.update_endpoints(&[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]);
    node.launch().await;
    // In the order of their key, which nobody knows to be without meaning.
    let first = endpoint.next_call().await;
    assert_eq!(ids(&first), ["a"]);
    first.reply(response("500 Internal Server Error", "", ""));
    assert_eq!(platform.next_notification().await, json!({"id": "a", "state": "failed"}));
    assert_eq!(delivered(&mut endpoint, 1).await, ["b"]);
    assert_eq!(node.submit("c", "keyed", "").await.status(), 400, "newcomers go by the settings");
}

/// Guards against a message that has had all its attempts when its process is killed, and hears of its end only when its
/// time is up.
#[tokio::test]
async fn what_has_had_all_its_attempts_ends_at_once() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let one = |config: &mut Value| config["settings"]["limits"]["max_attempts"] = json!(1);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start_with(&platform, &[entry], one).await;
    assert_eq!(node.submit("spent", "keyed", "").await.status(), 202);
    let out = endpoint.next_call().await;
    node.kill();
    drop(out);
    node.launch().await;
    let begun = std::time::Instant::now();
    assert_eq!(platform.next_notification().await["id"], json!("spent"));
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?} of 30 s", begun.elapsed());
    assert!(endpoint.is_idle_for(Duration::from_millis(50)).await);
}

/// Guards against a start that a folder with anything at all in it stops, and against one that says nothing of what it
/// dropped.
#[tokio::test]
async fn a_journal_that_cannot_be_read_is_put_aside() {
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

/// Guards against losing or doubling what is on its way at any instant of a kill: of 50 processes that are killed with
/// messages taken on, untried, out, answered or just ended, each message ends once, and all that were untried are tried.
#[tokio::test]
async fn fifty_kills_leave_nothing_untried() {
    let (endpoint, mut platform) = (RawServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let (mut untried, mut tried, mut failed) = (0, 0, 0);
    for n in 0..50 {
        let id = |what: &str| format!("{what}{n}");
        // The first is out when the others come, and all are of one key: these are untried whatever happens.
        let class = if n % 2 == 0 { "ordered" } else { "unsafe" };
        assert_eq!(node.submit(&id("out"), class, "k").await.status(), 202);
        let mut connection = endpoint.accept().await;
        let request = match n % 5 {
            // Connected, half of its head read, whole, or half answered.
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
        let mut owed: BTreeSet<String> = waiting.iter().cloned().collect();
        if ordered {
            owed.insert(id("out"));
        } else {
            // Whatever came of it, it may have run.
            assert_eq!(platform.next_notification().await, json!({"id": id("out"), "state": "failed"}));
            failed += 1;
        }
        if owed.is_empty() {
            continue;
        }
        // All of one key: one after the other, on one connection.
        let mut connection = endpoint.accept().await;
        while !owed.is_empty() {
            let request = connection.request().await;
            let id = request.header("x-txn").unwrap().to_owned();
            assert!(owed.remove(&id), "{id} came twice, or was never handed in");
            tried += usize::from(id.starts_with("wait"));
            connection.send(OK_RESPONSE).await;
        }
    }
    println!(
        "untried at a kill: {untried}, tried afterwards: {tried}; failed as they may have run: {failed}"
    );
    assert_eq!(untried, tried);
}
