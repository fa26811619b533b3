//! Connections to endpoints and of clients that break or are established at an unfavorable instant.
use super::harness::*;
use super::raw_connections::*;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::net::TcpSocket;

/// A listener with a full backlog: further connections are established only once others have been accepted.
struct FullBacklog {
    listener: tokio::net::TcpListener,
    queued: Vec<tokio::net::TcpStream>,
}

impl FullBacklog {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        // Connect until a connection is not established: the backlog is full.
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(200), tokio::net::TcpStream::connect(address)).await
        {
            queued.push(stream.unwrap());
        }
        Self { listener, queued }
    }

    /// Accepts connections until one carries a request, and returns both.
    async fn accept_until_request(&mut self) -> (RawConnection, HttpMessage) {
        self.queued.clear();
        loop {
            let (stream, _) =
                tokio::time::timeout(TEST_TIMEOUT, self.listener.accept()).await.unwrap().unwrap();
            let mut connection = RawConnection::new(stream);
            if let Some(request) = connection.request_or_close().await {
                return (connection, request);
            }
        }
    }
}

/// Guards against sending an unsafe message twice after its endpoint closes or resets the connection at any
/// stage of the call.
#[tokio::test]
async fn an_unsafe_message_is_sent_once_wherever_its_connection_breaks() {
    let (endpoint, mut platform) = (RawServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    for (stage, reset) in (0..10).map(|stage| (stage / 2, stage % 2 == 1)) {
        let id = format!("m{stage}{reset}");
        assert_eq!(node.submit(&id, "unsafe", "").await.status(), 202);
        let mut connection = endpoint.accept().await;
        // Wait until the whole request has arrived: otherwise it may not have been written completely.
        connection.wait_for_unread_request(&id).await;
        match stage {
            0 => {}
            1 => connection.read_exact(25).await,
            2 => drop(connection.request().await),
            3 => {
                connection.request().await;
                connection.send(&OK_RESPONSE[..14]).await;
            }
            _ => {
                connection.request().await;
                connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").await;
            }
        }
        if reset {
            // Let the sender read the complete response before the reset.
            if stage == 4 {
                connection.wait_for_close().await;
            }
            connection.reset();
        } else {
            drop(connection);
        }
        // A status line with 200 reports delivery, although a reset may discard it. In the other cases the
        // message may have run, so it fails.
        if stage < 3 {
            assert_eq!(
                platform.next_notification().await,
                json!({"id": id, "state": "failed"}),
                "{stage}, reset: {reset}"
            );
        }
        node.wait_for_metrics("no message is held", |metrics| metrics["inflight"] == 0).await;
        // Deliver a message in between: an endpoint that only fails is not called for a while.
        assert_eq!(node.submit(&format!("good{id}"), "keyed", "").await.status(), 202);
        let mut connection = endpoint.accept().await;
        assert_eq!(
            connection.request().await.header("x-txn").unwrap(),
            format!("good{id}"),
            "the unsafe message was sent again"
        );
        connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").await;
        connection.wait_for_close().await;
        node.wait_for_metrics("no message is held", |metrics| metrics["inflight"] == 0).await;
    }
}

/// Guards against a connection that is established after its timeout and then carries a second copy, or keeps
/// its slot or its message forever.
#[tokio::test]
async fn a_connection_established_after_its_timeout_carries_no_second_copy() {
    let (mut full_backlog, platform) = (FullBacklog::start().await, Platform::start().await);
    let short_timeout = |config: &mut Value| {
        config["settings"]["limits"]["connect_timeout"] = json!(300_000);
        config["settings"]["specifics"]["max_calls"] = json!(2);
    };
    let address = full_backlog.listener.local_addr().unwrap();
    let node =
        Node::start_with(&platform, &[endpoint_entry("s-1", address, "single", "SERVING")], short_timeout)
            .await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    // The connection timed out, so the endpoint counts as down.
    node.wait_for_metrics("the endpoint is down", |metrics| metrics["hosts_down"] == 1).await;
    let (mut connection, request) = full_backlog.accept_until_request().await;
    assert_eq!(request.header("x-txn"), Some("m1"), "the first request after the backlog was cleared");
    connection.send(OK_RESPONSE).await;
    node.wait_for_metrics("no message is held", |metrics| metrics["inflight"] == 0).await;
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    let (mut connection, request) = match connection.request_or_close().await {
        Some(request) => (connection, request),
        None => full_backlog.accept_until_request().await,
    };
    assert_eq!(request.header("x-txn"), Some("m2"), "the slot was not released, or m1 was sent twice");
    connection.send(OK_RESPONSE).await;
    node.wait_for_metrics("no message is held", |metrics| metrics["inflight"] == 0).await;
}

/// Guards against a second delivery when clients disconnect before the response, or repeat a message ID
/// during the call, as it ends, or after a kill.
#[tokio::test]
async fn disconnecting_and_repeating_clients_cause_no_second_delivery() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let request = RawClient::request_text("gone", "unsafe", "");
    for end in [0, 1, 30, request.len() - 1] {
        for reset in [false, true] {
            let mut client = RawClient::connect(node.address).await;
            client.send(&request[..end]).await;
            if reset { client.reset() } else { drop(client) }
        }
    }
    // A burst of complete requests whose clients do not wait for the responses.
    for n in 0..30 {
        let mut client = RawClient::connect(node.address).await;
        client.send(&RawClient::request_text(&format!("burst{n}"), "keyed", "")).await;
        if n % 2 == 0 { client.reset() } else { drop(client) }
    }
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    assert_eq!(node.submit("twice", "ordered", "k").await.status(), 202);
    let twice = loop {
        let call = endpoint.next_call().await;
        assert_ne!(call.id(), "gone", "a message whose request was incomplete");
        if call.id() == "twice" {
            break call;
        }
        call.ok();
    };
    // Repeat the ID during the call, concurrently with its end, and after a kill.
    assert_eq!(node.submit("twice", "ordered", "k").await.status(), 202);
    let (again, ()) = tokio::join!(node.submit("twice", "ordered", "k"), async { twice.ok() });
    assert_eq!(again.status(), 202);
    node.wait_for_metrics("no message is held", |metrics| metrics["inflight"] == 0).await;
    node.kill();
    node.launch().await;
    assert_eq!(node.submit("twice", "ordered", "k").await.status(), 202);
    assert_eq!(node.submit("next", "ordered", "k").await.status(), 202);
    let call = loop {
        let call = endpoint.next_call().await;
        if !call.id().starts_with("burst") {
            break call;
        }
        call.ok();
    };
    assert_eq!(call.id(), "next", "an ended message was sent again");
    call.ok();
}

/// Guards against writing to an endpoint that begins to drain while a connection to it is being established:
/// no attempt is counted, and another endpoint receives the message.
#[tokio::test]
async fn an_endpoint_that_drains_during_the_connect_receives_nothing() {
    let (mut full_backlog, mut other, platform) =
        (FullBacklog::start().await, TestServer::start().await, Platform::start().await);
    let address = full_backlog.listener.local_addr().unwrap();
    let single_attempt = |config: &mut Value| {
        config["settings"]["limits"]["max_attempts"] = json!(1);
        config["settings"]["limits"]["connect_timeout"] = json!(15_000_000);
    };
    let node =
        Node::start_with(&platform, &[endpoint_entry("s-1", address, "single", "SERVING")], single_attempt)
            .await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    node.wait_for_metrics("the message is held", |metrics| metrics["inflight"] == 1).await;
    platform.update_endpoints(&[
        endpoint_entry("s-1", address, "single", "DRAINING"),
        endpoint_entry("s-2", other.address, "single", "SERVING"),
    ]);
    node.wait_for_metrics("the new list is used", |metrics| metrics["hosts_listed"] == 2).await;
    let late_request = tokio::spawn(async move { full_backlog.accept_until_request().await });
    let call = other.next_call().await;
    assert_eq!(call.id(), "m1", "the only attempt was used up by the draining endpoint");
    call.ok();
    assert!(!late_request.is_finished(), "the draining endpoint received a request");
    late_request.abort();
}
