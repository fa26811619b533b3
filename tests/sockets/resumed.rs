//! What a process finds in its folder: what was taken on and not tried is tried, whatever the settings have become.
use super::raw::*;
use super::world::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::Duration;

/// Hands in `ids` while their only endpoint is told to be draining, so that none of them is tried, and kills the process.
async fn untried(node: &mut Node, platform: &Platform, endpoint: &Peer, messages: &[(&str, &str)]) {
    platform.tell(&[member("s-1", endpoint.address, "batching", "DRAINING")]);
    node.figures_where("the drain is heard", |figures| figures["hosts_down"] == 1).await;
    for (id, class) in messages {
        assert_eq!(node.hand_in(id, class, "k").await.status(), 202, "{id}");
    }
    node.kill();
}

/// The ids of a call, with one message or several.
pub fn ids(call: &Call) -> Vec<String> {
    match call.http.header("x-txn") {
        Some(id) => vec![id.to_owned()],
        None => {
            let items = call.http.json();
            items.as_array().unwrap().iter().map(|item| item["id"].as_str().unwrap().to_owned()).collect()
        }
    }
}

/// Answers a call such that all of its messages are delivered.
pub fn deliver(call: Call) -> Vec<String> {
    let ids = ids(&call);
    match call.http.header("x-txn") {
        Some(_) => call.ok(),
        None => {
            let ends: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "ok"})).collect();
            call.reply(answer("200 OK", "", &json!(ends).to_string()));
        }
    }
    ids
}

async fn delivered(endpoint: &mut Peer, count: usize) -> Vec<String> {
    let mut delivered = Vec::new();
    while delivered.len() < count {
        delivered.extend(deliver(endpoint.call().await));
    }
    delivered
}

/// Guards against a process that ends without a call what an earlier one took on under other settings: a class that they
/// name no more, one that now wants a key that the message does not have, a tenant that has gone, classes in another order,
/// and far less room than what is owed takes.
#[tokio::test]
async fn other_settings_cost_no_message_its_try() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "batching", "SERVING")]).await;
    platform.tell(&[member("s-1", endpoint.address, "batching", "DRAINING")]);
    node.figures_where("the drain is heard", |figures| figures["hosts_down"] == 1).await;
    let mut expected = BTreeSet::new();
    for n in 0..12 {
        let (id, class) = (format!("m{n}"), ["unsafe", "keyed", "ordered"][n % 3]);
        assert_eq!(node.hand_in(&id, class, &format!("k{n}")).await.status(), 202);
        expected.insert(id);
    }
    let keyless =
        "X-Txn: keyless\r\nX-Lane: unsafe\r\nX-Org: acme\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n";
    assert_eq!(node.request("POST /api", keyless, b"x").await.status(), 202);
    expected.insert("keyless".to_owned());
    node.kill();
    node.change(|config| {
        let lanes = config["settings"]["lanes"].as_array_mut().unwrap();
        // What was unsafe is keyed now, what was ordered has gone, and their order is another.
        lanes[0]["repeat"] = json!("dedup");
        lanes[2]["name"] = json!("other");
        lanes.reverse();
        config["settings"]["tenants"] = json!([{"name": "somebody", "allowance_per_s": 1.0}]);
        config["settings"]["limits"]["most_held"] = json!(4);
    });
    platform.tell(&[member("s-1", endpoint.address, "batching", "SERVING")]);
    node.begin().await;
    let came: BTreeSet<String> = delivered(&mut endpoint, expected.len()).await.into_iter().collect();
    assert_eq!(came, expected);
    assert!(endpoint.quiet(Duration::from_millis(200)).await, "a message went out after its end");
}

/// Guards against giving up what is untried as nothing at all is known of its class: it is tried once, and a try that may
/// have run is its last.
#[tokio::test]
async fn a_class_of_which_nothing_is_known_is_tried_once() {
    let (mut endpoint, mut platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "batching", "SERVING")]).await;
    untried(&mut node, &platform, &endpoint, &[("a", "keyed"), ("b", "keyed")]).await;
    for damaged in [b"{".as_slice(), b"[]"] {
        std::fs::write(node.lasting("classes.json"), damaged).unwrap();
    }
    node.change(|config| config["settings"]["lanes"][1]["name"] = json!("another"));
    platform.tell(&[member("s-1", endpoint.address, "batching", "SERVING")]);
    node.begin().await;
    // In the order of their key, which nobody knows to be without meaning.
    let first = endpoint.call().await;
    assert_eq!(ids(&first), ["a"]);
    first.reply(answer("500 Internal Server Error", "", ""));
    assert_eq!(platform.notice().await, json!({"id": "a", "state": "failed"}));
    assert_eq!(delivered(&mut endpoint, 1).await, ["b"]);
    assert_eq!(node.hand_in("c", "keyed", "").await.status(), 400, "newcomers go by the settings");
}

/// Guards against a message that has had all its attempts when its process is killed, and hears of its end only when its
/// time is up.
#[tokio::test]
async fn what_has_had_all_its_attempts_ends_at_once() {
    let (mut endpoint, mut platform) = (Peer::start().await, Platform::start().await);
    let one = |config: &mut Value| config["settings"]["limits"]["max_attempts"] = json!(1);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start_with(&platform, &[member], one).await;
    assert_eq!(node.hand_in("spent", "keyed", "").await.status(), 202);
    let out = endpoint.call().await;
    node.kill();
    drop(out);
    node.begin().await;
    let begun = std::time::Instant::now();
    assert_eq!(platform.notice().await["id"], json!("spent"));
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?} of 30 s", begun.elapsed());
    assert!(endpoint.quiet(Duration::from_millis(50)).await);
}

/// Guards against a start that a folder with anything at all in it stops, and against one that says nothing of what it
/// dropped.
#[tokio::test]
async fn a_journal_that_cannot_be_read_is_put_aside() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    node.kill();
    std::fs::remove_file(node.journal()).unwrap();
    std::fs::create_dir(node.journal()).unwrap();
    node.begin().await;
    assert_eq!(node.hand_in("m1", "unsafe", "").await.status(), 202);
    endpoint.call().await.ok();
    assert!(node.lasting("messages.wal.unreadable").is_dir());
}

/// Guards against losing or doubling what is on its way at any instant of a kill: of 50 processes that are killed with
/// messages taken on, untried, out, answered or just ended, each message ends once, and all that were untried are tried.
#[tokio::test]
async fn fifty_kills_leave_nothing_untried() {
    let (endpoint, mut platform) = (Raw::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let (mut untried, mut tried, mut failed) = (0, 0, 0);
    for n in 0..50 {
        let id = |what: &str| format!("{what}{n}");
        // The first is out when the others come, and all are of one key: these are untried whatever happens.
        let class = if n % 2 == 0 { "ordered" } else { "unsafe" };
        assert_eq!(node.hand_in(&id("out"), class, "k").await.status(), 202);
        let mut link = endpoint.link().await;
        let request = match n % 5 {
            // Connected, half of its head read, whole, or half answered.
            0 => None,
            1 => {
                link.bytes(30).await;
                None
            }
            2 => Some(link.request().await),
            3 => {
                let request = link.request().await;
                link.say("HTTP/1.1 ").await;
                Some(request)
            }
            _ => {
                let request = link.request().await;
                link.say(&OK[..20]).await;
                Some(request)
            }
        };
        let ordered = n % 2 == 0;
        let waiting: Vec<String> =
            (0..if ordered { n / 2 % 4 } else { 0 }).map(|m| format!("wait{n}-{m}")).collect();
        for id in &waiting {
            assert_eq!(node.hand_in(id, "ordered", "k").await.status(), 202);
        }
        untried += waiting.len();
        node.kill();
        link.reset();
        drop(request);
        node.begin().await;
        let mut owed: BTreeSet<String> = waiting.iter().cloned().collect();
        if ordered {
            owed.insert(id("out"));
        } else {
            // Whatever came of it, it may have run.
            assert_eq!(platform.notice().await, json!({"id": id("out"), "state": "failed"}));
            failed += 1;
        }
        if owed.is_empty() {
            continue;
        }
        // All of one key: one after the other, on one connection.
        let mut link = endpoint.link().await;
        while !owed.is_empty() {
            let request = link.request().await;
            let id = request.header("x-txn").unwrap().to_owned();
            assert!(owed.remove(&id), "{id} came twice, or was never handed in");
            tried += usize::from(id.starts_with("wait"));
            link.say(OK).await;
        }
    }
    println!(
        "untried at a kill: {untried}, tried afterwards: {tried}; failed as they may have run: {failed}"
    );
    assert_eq!(untried, tried);
}
