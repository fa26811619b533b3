//! Requests that have begun to arrive when the process, the listener or the connection ends. Each of them gets
//! a response.
use super::harness::*;
use super::raw_connections::*;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The time from SIGTERM to SIGKILL by the platform, within which the process must exit.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// The time after SIGTERM from which on the process exits as soon as no work is left, and some more.
const MIN_SHUTDOWN_DURATION: Duration = Duration::from_millis(700);
/// The number of bytes of a request that end within its head.
const HEAD_PART: usize = 40;

/// Returns the number of bytes of a request up to the first byte of its body.
fn body_part(request: &str) -> usize {
    request.find("\r\n\r\n").unwrap() + 5
}

/// A sender in a graceful shutdown that ends as soon as its last call ends.
struct Shutdown {
    node: Node,
    endpoint: TestServer,
    last_call: Call,
    requested_at: Instant,
}

impl Shutdown {
    /// Sends SIGTERM to a sender with a call in flight. `clients` may connect before that.
    async fn begin(clients: &mut [RawClient]) -> Self {
        let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
        let long_aim =
            |config: &mut serde_json::Value| config["settings"]["lanes"][0]["aim"] = json!(10_000_000);
        let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
        let node = Node::start_with(&platform, &[entry], long_aim).await;
        for client in clients.iter_mut() {
            *client = RawClient::connect(node.address).await;
            client.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
            assert_eq!(client.response().await.unwrap().status(), 200);
        }
        assert_eq!(node.submit("open", "unsafe", "").await.status(), 202);
        let last_call = endpoint.next_call().await;
        let requested_at = Instant::now();
        node.terminate();
        wait_until_not_ready(&node).await;
        Self { node, endpoint, last_call, requested_at }
    }

    /// Ends the last call, and returns once the sender closes its idle connections.
    async fn end_last_call(self) -> (Node, TestServer) {
        let mut idle_client = RawClient::connect(self.node.address).await;
        self.last_call.ok();
        assert_eq!(idle_client.read_until_close().await, "");
        (self.node, self.endpoint)
    }
}

async fn wait_until_not_ready(node: &Node) {
    while node.request("GET /-/ready", "", b"").await.status() == 200 {}
}

/// Sends the first part of a request, and returns once the sender has read it.
async fn send_part(node: &Node, client: &mut RawClient, part: &str) {
    client.send(part).await;
    // The sender reads its connections in the order in which bytes arrive.
    node.request("GET /-/ready", "", b"").await;
}

/// Checks that a request whose first `part` bytes arrive before the last work of a shutdown ends, and whose
/// other bytes arrive afterwards, gets a response, and that its message is sent only if it is accepted.
async fn check_request_across_the_end(mut client: Option<RawClient>, shutdown: Shutdown, part: usize) {
    let request = RawClient::request_text("late", "keyed", "");
    tokio::time::sleep(MIN_SHUTDOWN_DURATION.saturating_sub(shutdown.requested_at.elapsed())).await;
    let mut client = match client.take() {
        Some(client) => client,
        None => RawClient::connect(shutdown.node.address).await,
    };
    send_part(&shutdown.node, &mut client, &request[..part]).await;
    let requested_at = shutdown.requested_at;
    let (mut node, mut endpoint) = shutdown.end_last_call().await;
    client.send(&request[part..]).await;
    let response = client.response().await.expect("the connection ended without a response");
    assert!([202, 503].contains(&response.status()), "{}", response.start_line);
    assert_eq!(response.header("connection"), Some("close"));
    if response.status() == 202 {
        let call = endpoint.next_call().await;
        assert_eq!(call.id(), "late");
        call.ok();
    }
    drop(client);
    assert!(node.exits_successfully().await);
    assert!(requested_at.elapsed() < KILL_DELAY, "{:?}", requested_at.elapsed());
    assert!(endpoint.is_idle_for(Duration::from_millis(20)).await, "a rejected message was sent");
}

/// Guards against a request without a response because its body arrives when the shutdown has no other work
/// left.
#[tokio::test]
async fn a_body_that_arrives_when_a_shutdown_ends_is_answered() {
    let request = RawClient::request_text("late", "keyed", "");
    let shutdown = Shutdown::begin(&mut []).await;
    check_request_across_the_end(None, shutdown, body_part(&request)).await;
}

/// Guards against a request without a response because its connection carried a response before, and is taken
/// for idle at the end of a shutdown although a part of the next head was read.
#[tokio::test]
async fn a_head_that_arrives_on_a_used_connection_when_a_shutdown_ends_is_answered() {
    let platform = Platform::start().await;
    let placeholder = RawClient::connect(platform.address).await;
    let mut clients = vec![placeholder];
    let shutdown = Shutdown::begin(&mut clients).await;
    check_request_across_the_end(clients.pop(), shutdown, HEAD_PART).await;
}

/// Guards against a connection that is closed without a response at the latest end of a shutdown, because the
/// head of its request is still incomplete.
#[tokio::test]
async fn an_incomplete_head_at_the_deadline_of_a_shutdown_is_answered() {
    let shutdown = Shutdown::begin(&mut []).await;
    let request = RawClient::request_text("late", "keyed", "");
    tokio::time::sleep(Duration::from_secs(2).saturating_sub(shutdown.requested_at.elapsed())).await;
    let mut client = RawClient::connect(shutdown.node.address).await;
    send_part(&shutdown.node, &mut client, &request[..HEAD_PART]).await;
    let received = client.read_until_close().await;
    assert!(received.starts_with("HTTP/1.1 503"), "{received:?}");
    let Shutdown { mut node, requested_at, .. } = shutdown;
    assert!(node.exits_successfully().await);
    assert!(requested_at.elapsed() < KILL_DELAY, "{:?}", requested_at.elapsed());
}

/// Guards against clients that connect shortly before the latest end of a shutdown and are not served any more.
#[tokio::test]
async fn a_client_that_connects_shortly_before_the_deadline_of_a_shutdown_is_answered() {
    let Shutdown { mut node, requested_at, last_call, .. } = Shutdown::begin(&mut []).await;
    tokio::time::sleep(Duration::from_secs(3).saturating_sub(requested_at.elapsed())).await;
    let mut client = RawClient::connect(node.address).await;
    client.send(&RawClient::request_text("late", "keyed", "")).await;
    let response = client.response().await.expect("the connection ended without a response");
    assert_eq!(response.status(), 503);
    assert!(node.exits_successfully().await);
    assert!(requested_at.elapsed() < KILL_DELAY, "{:?}", requested_at.elapsed());
    drop(last_call);
}

/// Guards against a connection that is closed without a response because the head of its request does not
/// arrive completely in time.
#[tokio::test]
async fn an_incomplete_head_is_answered_when_it_times_out() {
    let platform = Platform::start().await;
    let node = Node::start(&platform, &[]).await;
    let connected_at = Instant::now();
    let mut client = RawClient::connect(node.address).await;
    client.send(&RawClient::request_text("half", "keyed", "")[..HEAD_PART]).await;
    let received = client.read_until_close().await;
    assert!(received.starts_with("HTTP/1.1 408"), "{received:?}");
    assert!(connected_at.elapsed() < Duration::from_secs(3), "{:?}", connected_at.elapsed());
}

/// Guards against a request without a response because its first bytes arrived together with the request
/// before it, and its connection is closed to make room for others.
#[tokio::test]
async fn a_pipelined_request_is_answered_when_its_connection_makes_room() {
    let platform = Platform::start().await;
    let few_sockets = |config: &mut serde_json::Value| config["limits"]["sockets"] = json!(128);
    let node = Node::start_with(&platform, &[], few_sockets).await;
    let mut client = RawClient::connect(node.address).await;
    let next = &RawClient::request_text("next", "keyed", "")[..HEAD_PART];
    client.send(&format!("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n{next}")).await;
    assert_eq!(client.response().await.unwrap().status(), 200);
    let mut others = Vec::new();
    for _ in 0..128 {
        others.push(RawClient::connect(node.address).await);
    }
    let received = client.read_until_close().await;
    assert!(received.starts_with("HTTP/1.1 503"), "{received:?}");
}

/// Returns the head and a part of the body of a request to the admin endpoint.
const HALF_ADMIN_REQUEST: &[u8] = b"POST /maintenance/enter HTTP/1.1\r\nContent-Length: 9\r\n\r\ns";

/// Guards against an operator's request without a response because the process exits while it arrives.
#[tokio::test]
async fn an_operators_request_that_is_half_read_at_the_exit_is_answered() {
    let platform = Platform::start().await;
    let mut node = Node::start(&platform, &[]).await;
    let mut operator = RawClient::connect(node.admin_address).await;
    operator.0.write_all(HALF_ADMIN_REQUEST).await.unwrap();
    assert_eq!(node.admin_request("GET /status", "").await.status(), 200);
    node.terminate();
    let received = operator.read_until_close().await;
    assert!(received.starts_with("HTTP/1.1 503"), "{received:?}");
    assert!(node.exits_successfully().await);
}

/// Guards against an operator's request without a response because its connection is closed for another one
/// while it arrives.
#[tokio::test]
async fn an_operators_request_that_makes_room_for_others_is_answered() {
    let platform = Platform::start().await;
    let node = Node::start(&platform, &[]).await;
    let mut operator = RawClient::connect(node.admin_address).await;
    operator.0.write_all(HALF_ADMIN_REQUEST).await.unwrap();
    let mut others = Vec::new();
    for _ in 0..40 {
        others.push(RawClient::connect(node.admin_address).await);
    }
    let received = operator.read_until_close().await;
    assert!(received.starts_with("HTTP/1.1 503"), "{received:?}");
}

/// Guards against a new process that exits with an error because it asks for a handover in the last moments of
/// a shutdown.
#[tokio::test]
async fn a_process_that_starts_at_the_end_of_a_shutdown_serves() {
    let shutdown = Shutdown::begin(&mut []).await;
    let request = RawClient::request_text("late", "keyed", "");
    tokio::time::sleep(MIN_SHUTDOWN_DURATION.saturating_sub(shutdown.requested_at.elapsed())).await;
    let mut client = RawClient::connect(shutdown.node.address).await;
    send_part(&shutdown.node, &mut client, &request[..body_part(&request)]).await;
    let (mut node, _endpoint) = shutdown.end_last_call().await;
    let mut next = node.without_process();
    next.launch().await;
    assert_eq!(next.request("GET /-/ready", "", b"").await.status(), 200);
    assert!(node.exits_successfully().await);
}

/// Guards against losing a request of which a part was read before a reload or before a handover, whether the
/// new process takes over or ends.
#[tokio::test]
async fn half_read_requests_are_answered_after_a_reload_and_after_handovers() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start(&platform, &[entry]).await;
    for (step, interruption) in ["reload", "failed handover", "handover"].into_iter().enumerate() {
        let mut halves = Vec::new();
        for (n, is_body) in [false, true].into_iter().enumerate() {
            let request = RawClient::request_text(&format!("m{step}{n}"), "keyed", "");
            let part = if is_body { body_part(&request) } else { HEAD_PART };
            let mut client = RawClient::connect(node.address).await;
            send_part(&node, &mut client, &request[..part]).await;
            halves.push((client, request[part..].to_owned()));
        }
        let mut old = None;
        match interruption {
            "reload" => {
                node.reload_with(|_| {});
                node.wait_for_metrics("the reload is applied", |metrics| metrics["reconfig_ok"] == 1).await;
            }
            "failed handover" => drop(super::handover::take_over_unconfirmed(&node).await),
            _ => old = Some(node.replace().await),
        }
        for (mut client, rest) in halves {
            client.send(&rest).await;
            let response = client.response().await.expect("the connection ended without a response");
            assert_eq!(response.status(), 202, "{interruption}");
            endpoint.next_call().await.ok();
        }
        if let Some(mut old) = old {
            assert!(old.exits_successfully().await);
        }
    }
}

/// Guards against closing a connection for others while a part of its request was read, and against not
/// answering a client that speaks HTTP/1.0.
#[tokio::test]
async fn a_half_read_request_keeps_its_connection_among_many_others() {
    let platform = Platform::start().await;
    let few_sockets = |config: &mut serde_json::Value| config["limits"]["sockets"] = json!(128);
    let node = Node::start_with(&platform, &[], few_sockets).await;
    let mut client = RawClient::connect(node.address).await;
    send_part(&node, &mut client, "GET /-/ready HTTP/1.0\r\n").await;
    let mut others = Vec::new();
    for _ in 0..128 {
        others.push(RawClient::connect(node.address).await);
    }
    client.send("Host: a\r\n\r\n").await;
    assert_eq!(client.response().await.expect("no response").status(), 200);
    assert_eq!(client.0.read(&mut [0]).await.unwrap(), 0, "HTTP/1.0 keeps no connection");
}

/// Guards against a process that forgets a SIGTERM because a handover that begins afterwards fails.
#[tokio::test]
async fn a_shutdown_continues_after_a_failed_handover() {
    let Shutdown { mut node, requested_at, last_call, .. } = Shutdown::begin(&mut []).await;
    drop(super::handover::take_over_unconfirmed(&node).await);
    let has_succeeded = loop {
        if let Some(has_succeeded) = node.poll_exit() {
            break has_succeeded;
        }
        assert!(requested_at.elapsed() < KILL_DELAY, "the process did not exit");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(has_succeeded);
    drop(last_call);
}
