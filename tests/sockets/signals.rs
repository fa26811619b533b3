//! SIGTERM, SIGHUP and SIGKILL during a client's request, a call or a notification.
use super::harness::*;
use super::raw_connections::*;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// The time from SIGTERM to SIGKILL by the platform, within which the process must exit.
const KILL_DELAY: Duration = Duration::from_millis(3_700);

/// Waits until the process has begun to shut down.
async fn wait_until_not_ready(node: &Node) {
    while node.request("GET /-/ready", "", b"").await.status() == 200 {}
}

/// Guards against a request without a response because only a part of it was read at SIGTERM, and against
/// accepting its message without delivering it.
#[tokio::test]
async fn responds_to_a_request_that_is_half_read_at_sigterm() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let request = RawClient::request_text("half", "keyed", "");
    // Interrupt the request in the head and in the body.
    for end in [20, request.len() - 2] {
        let mut client = RawClient::connect(node.address).await;
        client.send(&request[..end]).await;
        node.terminate();
        wait_until_not_ready(&node).await;
        client.send(&request[end..]).await;
        let received = client.response().await.expect("the connection ended without a response").status();
        assert!([202, 503].contains(&received), "{received}");
        if received == 202 {
            let call = endpoint.next_call().await;
            assert_eq!(call.id(), "half");
            call.ok();
        }
        assert!(node.exits_successfully().await);
        assert!(endpoint.is_idle_for(Duration::from_millis(20)).await);
        // Without the journal, the same message ID counts as a new message.
        std::fs::remove_file(node.journal_path()).unwrap();
        node.launch().await;
    }
}

/// Guards against sending an unsafe message again, and against a process that does not exit in time, if at
/// SIGTERM a call waits for its response: one that then arrives in two parts, or never.
#[tokio::test]
async fn an_open_call_at_sigterm_is_finished_or_fails() {
    let (endpoint, mut platform) = (RawServer::start().await, Platform::start().await);
    // No call times out before the process exits.
    let long_aim = |config: &mut serde_json::Value| config["settings"]["lanes"][0]["aim"] = json!(10_000_000);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start_with(&platform, &[entry], long_aim).await;
    assert_eq!(node.submit("half", "unsafe", "").await.status(), 202);
    let mut connection = endpoint.accept().await;
    assert_eq!(connection.request().await.header("x-txn"), Some("half"));
    node.terminate();
    wait_until_not_ready(&node).await;
    let (first, rest) = OK_RESPONSE.split_at(10);
    connection.send(first).await;
    connection.send(rest).await;
    assert!(node.exits_successfully().await, "the process must exit once its call has ended");
    node.launch().await;
    // A call that never ends: the process exits in time, and the unsafe message is not sent again.
    assert_eq!(node.submit("hangs", "unsafe", "").await.status(), 202);
    let mut connection = endpoint.accept().await;
    assert_eq!(connection.request().await.header("x-txn"), Some("hangs"), "the first message was sent again");
    let started = Instant::now();
    node.terminate();
    assert!(node.exits_successfully().await);
    assert!(started.elapsed() < KILL_DELAY, "{:?}", started.elapsed());
    node.launch().await;
    assert_eq!(platform.next_notification().await, json!({"id": "hangs", "state": "failed"}));
    assert!(
        endpoint.is_idle_for(Duration::from_millis(50)).await,
        "an unsafe message that may have run was sent again"
    );
}

/// Guards against losing a notification that is not acknowledged while SIGTERM, SIGHUP and a kill follow each
/// other.
#[tokio::test]
async fn an_unacknowledged_notification_is_sent_again_after_a_kill() {
    let (mut endpoint, mut platform_server) = (TestServer::start().await, TestServer::start().await);
    let platform = Platform::served_by_test(platform_server.address);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    // Skip watches, which receive no response.
    let next_notification = async |platform_server: &mut TestServer| {
        let next = async {
            loop {
                let call = platform_server.next_call().await;
                if call.request.start_line.starts_with("POST /v1/notices") {
                    return call;
                }
            }
        };
        timeout(TEST_TIMEOUT, next).await.expect("no notification in time")
    };
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    let unacknowledged = next_notification(&mut platform_server).await;
    node.terminate();
    wait_until_not_ready(&node).await;
    node.reload(&platform);
    node.kill();
    drop(unacknowledged);
    node.launch().await;
    let second_notification = next_notification(&mut platform_server).await;
    assert_eq!(second_notification.request.json(), json!({"id": "m1", "state": "failed"}));
    second_notification.reply(response("204 No Content", "", ""));
    assert!(
        endpoint.is_idle_for(Duration::from_millis(50)).await,
        "an unsafe message that may have run was sent again"
    );
}

/// Guards against requests without a response or a close while clients keep sending until the kill, and
/// against losing an accepted message.
#[tokio::test]
async fn requests_until_the_kill_receive_a_response_or_a_close() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("out", "unsafe", "").await.status(), 202);
    let open_call = endpoint.next_call().await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        clients.push(RawClient::connect(node.address).await);
    }
    // Pipeline several requests on one connection.
    let pipelined: Vec<String> =
        (0..3).map(|n| RawClient::request_text(&format!("piped{n}"), "keyed", "")).collect();
    let mut pipelined_client = RawClient::connect(node.address).await;
    node.terminate();
    pipelined_client.send(&pipelined.concat()).await;
    let mut accepted = vec!["out".to_owned()];
    // The responses may arrive in one read; none may follow the one with `Connection: close`.
    let received = pipelined_client.read_until_close().await;
    let received: Vec<&str> = received.split("HTTP/1.1 ").skip(1).collect();
    let announces_close = |received: &&str| received.contains("connection: close");
    assert!(
        received.iter().position(announces_close).is_some_and(|at| at + 1 == received.len()),
        "{received:?}"
    );
    let accepted_responses = received.iter().enumerate().filter(|(_, received)| received.starts_with("202"));
    accepted.extend(accepted_responses.map(|(n, _)| format!("piped{n}")));
    wait_until_not_ready(&node).await;
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&RawClient::request_text(&format!("late{n}"), "keyed", "")).await;
        let received = client.response().await.expect("no response although the process is running");
        assert_eq!(received.header("connection"), Some("close"));
        accepted.extend((received.status() == 202).then(|| format!("late{n}")));
    }
    node.kill();
    drop(open_call);
    node.launch().await;
    let mut delivered: Vec<String> = Vec::new();
    while delivered.len() + 1 < accepted.len() {
        let call = endpoint.next_call().await;
        if !delivered.contains(&call.id().to_owned()) {
            delivered.push(call.id().to_owned());
        }
        call.ok();
    }
    delivered.push("out".to_owned());
    delivered.sort();
    accepted.sort();
    assert_eq!(delivered, accepted, "exactly the accepted messages must be delivered");
}
