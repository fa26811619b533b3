//! Kills, planned restarts and reloads.
use super::harness::*;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Guards against losing accepted messages and repeating unsafe ones: after a kill each message continues as
/// its class permits, in the order of its key, and unacknowledged notifications are sent again.
#[tokio::test]
async fn continues_messages_and_notifications_after_a_kill() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    platform.drops_notifications.store(true, Ordering::SeqCst);
    assert_eq!(node.submit("unheard", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    let mut open_call = Vec::new();
    for (id, class) in [("once", "unsafe"), ("k1", "ordered")] {
        assert_eq!(node.submit(id, class, "k").await.status(), 202);
        open_call.push(endpoint.next_call().await);
    }
    for id in ["k2", "k3"] {
        assert_eq!(node.submit(id, "ordered", "k").await.status(), 202);
    }
    node.kill();
    drop(open_call);
    // Append an incomplete record, as a kill during a write leaves it.
    let mut journal = std::fs::OpenOptions::new().append(true).open(node.journal_path()).unwrap();
    journal.write_all(&[40, 0, 0, 0, 1, 2, 3]).unwrap();
    platform.drops_notifications.store(false, Ordering::SeqCst);
    node.launch().await;
    for (id, key) in [("k1", "idem-k1"), ("k2", "idem-k2"), ("k3", "idem-k3")] {
        let call = endpoint.next_call().await;
        assert_eq!((call.id(), call.request.header("idempotency-key")), (id, Some(key)));
        assert_eq!(call.request.body, id.as_bytes());
        assert!(
            endpoint.is_idle_for(Duration::from_millis(50)).await,
            "two messages of a key were in flight"
        );
        call.ok();
    }
    let mut failed = [platform.next_notification().await, platform.next_notification().await];
    failed.sort_by_key(|n| n["id"].to_string());
    assert_eq!(failed, ["once", "unheard"].map(|id| json!({"id": id, "state": "failed"})));
    // Once the next message of the key is sent, all before it have ended for the next process too.
    assert_eq!(node.submit("k4", "ordered", "k").await.status(), 202);
    let open_call = endpoint.next_call().await;
    assert_eq!(open_call.id(), "k4");
    node.kill();
    drop(open_call);
    node.launch().await;
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "k4");
    call.ok();
    assert!(endpoint.is_idle_for(Duration::from_millis(300)).await, "a message was sent after it had ended");
}

/// Guards against exceeding the limit of attempts: those before a restart count.
#[tokio::test]
async fn attempts_before_a_restart_count() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let two_attempts =
        |config: &mut serde_json::Value| config["settings"]["limits"]["max_attempts"] = json!(2);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start_with(&platform, &[entry], two_attempts).await;
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    let first = endpoint.next_call().await;
    node.kill();
    drop(first);
    node.launch().await;
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    let notification = platform.next_notification().await;
    assert_eq!((&notification["id"], &notification["state"]), (&json!("m1"), &json!("returned")));
    assert!(endpoint.is_idle_for(Duration::from_millis(300)).await);
}

/// Guards against a planned restart that aborts calls or responses: open calls end, clients receive a
/// response with `Connection: close`, the process exits, and the next one continues the remaining messages.
#[tokio::test]
async fn a_sigterm_finishes_open_calls_and_leaves_the_rest_to_the_next_process() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("out", "unsafe", "").await.status(), 202);
    let open_call = endpoint.next_call().await;
    assert_eq!(node.submit("left", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("503 Service Unavailable", "Retry-After: 4.5\r\n", ""));
    node.terminate();
    let mut ready = 200;
    while ready == 200 {
        ready = node.request("GET /-/ready", "", b"").await.status();
    }
    assert_eq!(ready, 503);
    let response = node.submit("late", "unsafe", "").await;
    assert!([202, 503].contains(&response.status()), "{}", response.start_line);
    assert_eq!(response.header("connection"), Some("close"));
    open_call.ok();
    assert!(node.exits_successfully().await);
    node.launch().await;
    let mut pending = vec!["left"];
    pending.extend((response.status() == 202).then_some("late"));
    for _ in 0..pending.len() {
        let call = endpoint.next_call().await;
        let index = pending.iter().position(|id| *id == call.id());
        pending.remove(index.unwrap_or_else(|| panic!("{} had ended before", call.id())));
        call.ok();
    }
    assert!(endpoint.is_idle_for(Duration::from_millis(300)).await, "a message was sent after it had ended");
}

/// Guards against a reload that ends the process, leaves the watch or notifications at the old address, or
/// sends the old revision to the new address.
#[tokio::test]
async fn a_reload_moves_the_watch_and_notifications_to_the_new_address() {
    let (mut endpoint, mut other) = (TestServer::start().await, TestServer::start().await);
    let (mut old, mut new) = (Platform::start().await, Platform::start().await);
    let mut node = Node::start(&old, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    assert_eq!(old.next_notification().await["id"], json!("m1"));
    // A second message fails, and its notification is not acknowledged.
    old.drops_notifications.store(true, Ordering::SeqCst);
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    new.update_endpoints(&[endpoint_entry("s-2", other.address, "single", "SERVING")]);
    node.reload(&new);
    assert_eq!(new.next_notification().await["id"], json!("m2"));
    // The complete list of the new platform applies although its revision is not later; the old endpoint is
    // not on it.
    let mut n = 0;
    loop {
        assert_eq!(node.submit(&format!("n{n}"), "keyed", "").await.status(), 202);
        tokio::select! {
            call = endpoint.next_call() => call.ok(),
            call = other.next_call() => break call.ok(),
        }
        n += 1;
    }
    // A file that cannot be parsed changes nothing.
    node.reload_invalid_config();
    assert_eq!(node.submit("m3", "unsafe", "").await.status(), 202);
    other.next_call().await.reply(response("500 Internal Server Error", "", ""));
    assert_eq!(new.next_notification().await["id"], json!("m3"));
}

/// Guards against delivering a message again that had ended before a restart: its ID is still known, and a
/// client that repeats it receives 202.
#[tokio::test]
async fn the_id_of_an_ended_message_is_known_after_a_kill() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    // The end of m1 is in the journal once a later message of another key has been sent.
    assert_eq!(node.submit("m2", "ordered", "k").await.status(), 202);
    endpoint.next_call().await.ok();
    assert_eq!(node.submit("m3", "ordered", "k").await.status(), 202);
    assert_eq!(endpoint.next_call().await.id(), "m3");
    node.kill();
    node.launch().await;
    for id in ["m1", "m2"] {
        assert_eq!(node.submit(id, "unsafe", "").await.status(), 202);
    }
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m3");
    call.ok();
    assert!(endpoint.is_idle_for(Duration::from_millis(300)).await, "a message was sent after it had ended");
}

/// Guards against refusing new messages while the platform is unavailable: an ended message whose
/// notification is not acknowledged does not count towards the limit of held messages.
#[tokio::test]
async fn unacknowledged_notifications_do_not_count_as_held_messages() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let small_limit = |config: &mut serde_json::Value| config["settings"]["limits"]["most_held"] = json!(3);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[entry], small_limit).await;
    platform.drops_notifications.store(true, Ordering::SeqCst);
    for n in 0..8 {
        let mut attempts = 0;
        // The end of the one before may not have been processed yet.
        while node.submit(&format!("m{n}"), "unsafe", "").await.status() == 503 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            attempts += 1;
            assert!(attempts < 200, "m{n} was not accepted");
        }
        // Never fail twice in a row: an endpoint that only fails is not called for a while.
        match n % 2 {
            0 => endpoint.next_call().await.reply(response("500 Internal Server Error", "", "")),
            _ => endpoint.next_call().await.ok(),
        }
    }
    platform.drops_notifications.store(false, Ordering::SeqCst);
    let mut failed = Vec::new();
    for _ in 0..4 {
        failed.push(platform.next_notification().await["id"].as_str().unwrap().to_owned());
    }
    failed.sort();
    assert_eq!(failed, ["m0", "m2", "m4", "m6"]);
}

/// Guards against dropping a request during a shutdown: clients receive a response on open and on new
/// connections until the process exits.
#[tokio::test]
async fn responds_on_open_and_new_connections_during_a_shutdown() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("out", "keyed", "").await.status(), 202);
    let open_call = endpoint.next_call().await;
    // A connection from before the signal without a request so far.
    let mut idle_client = TcpStream::connect(node.address).await.unwrap();
    node.terminate();
    // Wait until no new clients are expected, but not until the timeout of a request head.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    idle_client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    let ready_response =
        HttpMessage::read(&mut idle_client).await.expect("no response on the idle connection");
    assert_eq!((ready_response.status(), ready_response.header("connection")), (503, Some("close")));
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 503, "the status on a new connection");
    open_call.ok();
    assert!(node.exits_successfully().await);
}

/// Guards against a second SIGTERM or a SIGHUP during a shutdown that ends the process early or prevents its
/// exit.
#[tokio::test]
async fn further_signals_do_not_disturb_a_shutdown() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("out", "keyed", "").await.status(), 202);
    let open_call = endpoint.next_call().await;
    node.terminate();
    node.terminate();
    node.reload(&platform);
    node.terminate();
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 503);
    open_call.ok();
    assert!(node.exits_successfully().await);
    assert!(endpoint.is_idle_for(Duration::from_millis(50)).await, "the message was sent twice");
}
