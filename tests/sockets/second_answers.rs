//! Endpoints that answer a call more than once, so that an answer arrives during the next call.
use super::harness::*;
use super::raw_connections::{OK_RESPONSE, RawConnection, RawServer};
use serde_json::json;
use std::time::Duration;

/// Long compared to the time in which a repeated answer comes.
const ANSWER_TIME: Duration = Duration::from_millis(400);
const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Answers the call of a first message, as slowly as the endpoint always does, on a connection that the
/// sender then uses again. Returns that connection.
async fn deliver_first(node: &Node, endpoint: &RawServer) -> RawConnection {
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    let mut connection = endpoint.accept().await;
    assert_eq!(connection.request().await.header("x-txn"), Some("m1"));
    tokio::time::sleep(ANSWER_TIME).await;
    connection.send(OK_RESPONSE).await;
    node.wait_for_metrics("m1 is delivered", |metrics| metrics["calls"]["unsafe"]["success"] == 1).await;
    connection
}

/// Guards against losing a message: the answer to the call before comes again during its call, and it is not
/// delivered.
#[tokio::test]
async fn a_repeated_answer_delivers_no_message() {
    let (endpoint, mut platform) = (RawServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut connection = deliver_first(&node, &endpoint).await;
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    assert_eq!(connection.request().await.header("x-txn"), Some("m2"));
    connection.send(OK_RESPONSE).await;
    tokio::time::sleep(ANSWER_TIME).await;
    connection.send(REJECTION).await;
    assert_eq!(platform.next_notification().await, json!({"id": "m2", "state": "failed"}));
}

/// Guards against running a message twice: the answer to the call before, a rejection, comes again during its
/// call, and it may have run.
#[tokio::test]
async fn a_repeated_rejection_does_not_send_a_message_again() {
    let (endpoint, mut platform) = (RawServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut connection = deliver_first(&node, &endpoint).await;
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    assert_eq!(connection.request().await.header("x-txn"), Some("m2"));
    connection.send(REJECTION).await;
    tokio::time::sleep(ANSWER_TIME).await;
    connection.send(OK_RESPONSE).await;
    assert_eq!(platform.next_notification().await, json!({"id": "m2", "state": "failed"}));
    assert!(endpoint.is_idle_for(Duration::from_millis(700)).await, "m2 was sent again");
}

/// Guards against reusing connections once an answer has come that no call asked for: what is to come on the
/// others cannot be told from answers.
#[tokio::test]
async fn connections_are_used_once_after_an_unsolicited_answer() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m0", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(Reply::Response([OK_RESPONSE, OK_RESPONSE].concat()));
    for connection in 1..4 {
        let delivered = |metrics: &serde_json::Value| metrics["calls"]["unsafe"]["success"] == connection;
        node.wait_for_metrics("the last message is delivered", delivered).await;
        assert_eq!(node.submit(&format!("m{connection}"), "unsafe", "").await.status(), 202);
        let call = endpoint.next_call().await;
        assert_eq!(call.connection, connection);
        call.ok();
    }
}

/// Guards against doubting a fast answer for ever: nothing follows it, so the message is delivered.
#[tokio::test]
async fn an_unusually_fast_answer_counts_once_nothing_follows_it() {
    let (endpoint, platform) = (RawServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut connection = deliver_first(&node, &endpoint).await;
    for (id, delivered) in [("m2", 2), ("m3", 3)] {
        assert_eq!(node.submit(id, "unsafe", "").await.status(), 202);
        assert_eq!(connection.request().await.header("x-txn"), Some(id));
        connection.send(OK_RESPONSE).await;
        let is_delivered = |metrics: &serde_json::Value| metrics["calls"]["unsafe"]["success"] == delivered;
        node.wait_for_metrics("the message is delivered", is_delivered).await;
    }
}

/// Guards against sending on after a rejection that came while no call was in progress: its Retry-After
/// applies, as it may be the answer to a call that got another one.
#[tokio::test]
async fn the_retry_after_of_an_unsolicited_answer_applies() {
    let (endpoint, platform) = (RawServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut connection = deliver_first(&node, &endpoint).await;
    connection.send("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1.0\r\nContent-Length: 0\r\n\r\n").await;
    connection.wait_for_close().await;
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    assert!(endpoint.is_idle_for(Duration::from_millis(800)).await, "the destination was called");
    assert_eq!(endpoint.accept().await.request().await.header("x-txn"), Some("m2"));
}
