//! Connections that end or come up at the wrong instant: to endpoints, and of clients.
use super::harness::*;
use super::raw_connections::*;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::net::TcpSocket;

/// A listener whose queue is full: whoever connects from now on waits until room is made.
struct Crowded {
    listener: tokio::net::TcpListener,
    waiting: Vec<tokio::net::TcpStream>,
}

impl Crowded {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut waiting = Vec::new();
        // One more than there is room for does not come up.
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(200), tokio::net::TcpStream::connect(address)).await
        {
            waiting.push(stream.unwrap());
        }
        Self { listener, waiting }
    }

    /// Lets in all who wait, those that come late too; the first that asks for something is the one.
    async fn make_room(&mut self) -> (RawConnection, HttpMessage) {
        self.waiting.clear();
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

/// Guards against a call that is taken for one that never ran although it may have, or the reverse, by where its connection
/// broke: by the endpoint's close or its reset, before a byte of it was read, in its head, after its last byte, in the
/// midst of the answer, and after an answer that says that it closes. What is unsafe is sent once in each of these.
#[tokio::test]
async fn where_a_connection_breaks_decides_what_may_be_sent_again() {
    let (endpoint, mut platform) = (RawServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    for (n, resets) in (0..10).map(|n| (n / 2, n % 2 == 1)) {
        let id = format!("m{n}{resets}");
        assert_eq!(node.submit(&id, "unsafe", "").await.status(), 202);
        let mut connection = endpoint.accept().await;
        // All of it is on the way before anything breaks: else it may never have been written whole.
        connection.wait_for_unread_request(&id).await;
        match n {
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
        if resets {
            // An answer that was sent whole is read before what comes after it.
            if n == 4 {
                connection.wait_for_close().await;
            }
            connection.reset();
        } else {
            drop(connection);
        }
        // Only a first line with 200 tells that it was delivered, and a reset may take that with it; of all else nobody
        // knows whether it ran.
        if n < 3 {
            assert_eq!(
                platform.next_notification().await,
                json!({"id": id, "state": "failed"}),
                "{n}, reset: {resets}"
            );
        }
        node.wait_for_metrics("an end", |metrics| metrics["inflight"] == 0).await;
        // In between one is delivered: an endpoint that does nothing but fail is left alone for a while.
        assert_eq!(node.submit(&format!("good{id}"), "keyed", "").await.status(), 202);
        let mut connection = endpoint.accept().await;
        assert_eq!(connection.request().await.header("x-txn").unwrap(), format!("good{id}"), "sent again");
        connection.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").await;
        connection.wait_for_close().await;
        node.wait_for_metrics("an end", |metrics| metrics["inflight"] == 0).await;
    }
}

/// Guards against a connection that comes up after the time that it had, and carries a second copy, or keeps a slot or its
/// message for good.
#[tokio::test]
async fn a_connection_that_comes_up_too_late_carries_nothing() {
    let (mut late, platform) = (Crowded::start().await, Platform::start().await);
    let short = |config: &mut Value| {
        config["settings"]["limits"]["connect_timeout"] = json!(300_000);
        config["settings"]["specifics"]["max_calls"] = json!(2);
    };
    let address = late.listener.local_addr().unwrap();
    let node =
        Node::start_with(&platform, &[endpoint_entry("s-1", address, "single", "SERVING")], short).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    // Given up: the endpoint is out, as nothing came up.
    node.wait_for_metrics("the time is over", |metrics| metrics["hosts_down"] == 1).await;
    let (mut connection, request) = late.make_room().await;
    assert_eq!(request.header("x-txn"), Some("m1"), "the one that came up in time");
    connection.send(OK_RESPONSE).await;
    node.wait_for_metrics("an end", |metrics| metrics["inflight"] == 0).await;
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    let (mut connection, request) = match connection.request_or_close().await {
        Some(request) => (connection, request),
        None => late.make_room().await,
    };
    assert_eq!(request.header("x-txn"), Some("m2"), "the slot is free, and nothing went out twice");
    connection.send(OK_RESPONSE).await;
    node.wait_for_metrics("an end", |metrics| metrics["inflight"] == 0).await;
}

/// Guards against clients that go at any instant: before they have sent all, before they hear, right after, all at once; and
/// against a message that is delivered twice as its client comes again with its id, while it is out, as it ends, over a kill.
#[tokio::test]
async fn clients_that_go_and_come_again_cost_and_double_nothing() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let text = RawClient::request_text("gone", "unsafe", "");
    for cut in [0, 1, 30, text.len() - 1] {
        for resets in [false, true] {
            let mut client = RawClient::connect(node.address).await;
            client.send(&text[..cut]).await;
            if resets { client.reset() } else { drop(client) }
        }
    }
    // A burst: whole requests, and nobody who waits for an answer.
    for n in 0..30 {
        let mut client = RawClient::connect(node.address).await;
        client.send(&RawClient::request_text(&format!("burst{n}"), "keyed", "")).await;
        if n % 2 == 0 { client.reset() } else { drop(client) }
    }
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    assert_eq!(node.submit("twice", "ordered", "k").await.status(), 202);
    let twice = loop {
        let call = endpoint.next_call().await;
        assert_ne!(call.id(), "gone", "it was never sent whole");
        if call.id() == "twice" {
            break call;
        }
        call.ok();
    };
    // While it is out; as it ends, from two sides at once; and to the next process.
    assert_eq!(node.submit("twice", "ordered", "k").await.status(), 202);
    let (again, ()) = tokio::join!(node.submit("twice", "ordered", "k"), async { twice.ok() });
    assert_eq!(again.status(), 202);
    node.wait_for_metrics("all have ended", |metrics| metrics["inflight"] == 0).await;
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
    assert_eq!(call.id(), "next", "what is over does not go out again");
    call.ok();
}

/// Guards against an endpoint that drains, goes or is taken out by hand between the decision and the write, here while its
/// connection is being made: nothing is written to it any more, no attempt is counted, and another gets the message.
#[tokio::test]
async fn an_endpoint_that_drains_while_its_connection_is_made_gets_nothing() {
    let (mut late, mut other, platform) =
        (Crowded::start().await, TestServer::start().await, Platform::start().await);
    let address = late.listener.local_addr().unwrap();
    let one = |config: &mut Value| {
        config["settings"]["limits"]["max_attempts"] = json!(1);
        config["settings"]["limits"]["connect_timeout"] = json!(15_000_000);
    };
    let node = Node::start_with(&platform, &[endpoint_entry("s-1", address, "single", "SERVING")], one).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    node.wait_for_metrics("it is taken up", |metrics| metrics["inflight"] == 1).await;
    platform.update_endpoints(&[
        endpoint_entry("s-1", address, "single", "DRAINING"),
        endpoint_entry("s-2", other.address, "single", "SERVING"),
    ]);
    node.wait_for_metrics("the drain is heard", |metrics| metrics["hosts_listed"] == 2).await;
    let empty = tokio::spawn(async move { late.make_room().await });
    let call = other.next_call().await;
    assert_eq!(call.id(), "m1", "of its one attempt nothing was used up");
    call.ok();
    assert!(!empty.is_finished(), "something was written to what drains");
    empty.abort();
}
