//! Calls to endpoints: which messages may have run, requested waits, batches, drains and the order of a key.
use super::harness::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Returns an address at which nothing listens.
async fn unused_address() -> SocketAddr {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Guards against counting a refused connection as an attempt that may have run: even an unsafe message is
/// sent again, to the address that the endpoint list has by then.
#[tokio::test]
async fn sends_an_unsafe_message_again_after_a_refused_connection() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node =
        Node::start(&platform, &[endpoint_entry("s-1", unused_address().await, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    // The entry with an unknown flavor is skipped; the next one is used.
    let unknown = endpoint_entry("s-0", endpoint.address, "new-kind", "SERVING");
    platform.update_endpoints(&[unknown, endpoint_entry("s-1", endpoint.address, "single", "SERVING")]);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
}

/// Guards against running a message twice: a call that broke after its last byte may have run. An unsafe
/// message fails, a keyed one is sent again with its idempotency key.
#[tokio::test]
async fn a_call_that_breaks_after_its_last_byte_may_have_run() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("once", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(Reply::Disconnect);
    assert_eq!(platform.next_notification().await, json!({"id": "once", "state": "failed"}));
    assert_eq!(node.submit("again", "keyed", "").await.status(), 202);
    endpoint.next_call().await.reply(Reply::Disconnect);
    let call = endpoint.next_call().await;
    assert_eq!((call.id(), call.request.header("idempotency-key")), ("again", Some("idem-again")));
    call.ok();
    assert!(endpoint.is_idle_for(Duration::from_millis(200)).await, "a message was sent after it had ended");
}

/// Guards against losing an attempt on a stale connection: after an endpoint has closed it between calls, the
/// next message is sent once, on a new connection, even if it must not be repeated.
#[tokio::test]
async fn a_connection_closed_between_calls_uses_no_attempt() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    // The response announces that the endpoint closes the connection.
    let first = endpoint.next_call().await;
    first.reply(response("200 OK", "Connection: close\r\n", ""));
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m2");
    call.reply(Reply::Disconnect);
    assert_eq!(platform.next_notification().await, json!({"id": "m2", "state": "failed"}));
}

/// Guards against sending anything to a destination before the wait that it requested is over.
#[tokio::test]
async fn a_retry_after_delays_all_messages_of_the_destination() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    let responded_at = Instant::now();
    call.reply(response("429 Too Many Requests", "Retry-After: 0.75\r\n", ""));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(node.submit("m2", "keyed", "").await.status(), 202);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let call = endpoint.next_call().await;
        assert!(responded_at.elapsed() >= Duration::from_millis(750), "{:?}", responded_at.elapsed());
        ids.push(call.id().to_owned());
        call.ok();
    }
    ids.sort();
    assert_eq!(ids, ["m1", "m2"]);
}

/// Guards against a returned message without the time after which the client can submit it again.
#[tokio::test]
async fn a_returned_message_carries_the_remaining_wait() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let single_attempt =
        |config: &mut serde_json::Value| config["settings"]["limits"]["max_attempts"] = json!(1);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[entry], single_attempt).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 10\r\n", ""));
    let notification = platform.next_notification().await;
    assert_eq!((&notification["id"], &notification["state"]), (&json!("m1"), &json!("returned")));
    let after_ms = notification["after_ms"].as_u64().unwrap();
    assert!((1..=10_000).contains(&after_ms), "{after_ms}");
}

/// Guards against one result for a whole batch, and against ignoring `Retry-After` in its response.
#[tokio::test]
async fn each_message_of_a_batch_has_its_own_result() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]).await;
    // Messages collect for one call while the destination's wait lasts.
    assert_eq!(node.submit("first", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("410 Gone", "Retry-After: 1.0\r\n", ""));
    for (id, class) in [("ok", "unsafe"), ("error", "unsafe"), ("later", "unsafe"), ("gone", "keyed")] {
        assert_eq!(node.submit(id, class, "").await.status(), 202);
    }
    let call = endpoint.next_call().await;
    assert_eq!(call.request.start_line, "POST /hook/batch HTTP/1.1");
    let sent = call.request.json();
    let items = sent.as_array().unwrap();
    assert_eq!(items.len(), 4);
    let ok = items.iter().find(|i| i["id"] == "ok").unwrap();
    assert_eq!((&ok["key"], &ok["body"]), (&json!("idem-ok"), &json!("b2s=")));
    let results: Vec<_> = items.iter().map(|i| json!({"id": i["id"], "state": i["id"]})).collect();
    let responded_at = Instant::now();
    call.reply(response("200 OK", "Retry-After: 0.5\r\n", &json!(results).to_string()));
    assert_eq!(platform.next_notification().await, json!({"id": "error", "state": "failed"}));
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "later");
    assert!(responded_at.elapsed() >= Duration::from_millis(500), "{:?}", responded_at.elapsed());
    call.ok();
    assert!(endpoint.is_idle_for(Duration::from_millis(200)).await, "a message was sent after it had ended");
}

/// Guards against new calls to an endpoint that is known to drain.
#[tokio::test]
async fn a_draining_endpoint_receives_no_new_calls() {
    let (mut old, mut new, platform) =
        (TestServer::start().await, TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", old.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("before", "unsafe", "").await.status(), 202);
    let before = old.next_call().await;
    platform.update_endpoints(&[
        endpoint_entry("s-1", old.address, "single", "DRAINING"),
        endpoint_entry("s-2", new.address, "single", "SERVING"),
    ]);
    // One list update carries both changes: once the new endpoint is called, the sender knows of the drain.
    let mut drain_known = false;
    for n in 0..400 {
        assert_eq!(node.submit(&format!("n{n}"), "unsafe", "").await.status(), 202);
        tokio::select! {
            call = old.next_call() => {
                assert!(!drain_known, "{} went to a draining endpoint", call.id());
                call.ok();
            }
            call = new.next_call() => {
                call.ok();
                if std::mem::replace(&mut drain_known, true) {
                    break;
                }
            }
        }
    }
    assert!(drain_known);
    before.ok();
    assert!(old.is_idle_for(Duration::from_millis(100)).await);
}

/// Guards against sending the next message of a key before the platform has acknowledged the notification of
/// the failure of the one before.
#[tokio::test]
async fn the_next_message_of_a_key_waits_for_the_acknowledged_notification() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    platform.drops_notifications.store(true, Ordering::SeqCst);
    assert_eq!(node.submit_with_remaining("m1", "ordered", "k", "0.5").await.status(), 202);
    let first = endpoint.next_call().await;
    assert_eq!(node.submit("m2", "ordered", "k").await.status(), 202);
    // A message of another key is delivered, so the endpoint itself is available.
    assert_eq!(node.submit("other", "ordered", "l").await.status(), 202);
    let other = endpoint.next_call().await;
    assert_eq!(other.id(), "other");
    other.ok();
    assert!(
        endpoint.is_idle_for(Duration::from_millis(900)).await,
        "the next message of the key was sent before the acknowledgement"
    );
    platform.drops_notifications.store(false, Ordering::SeqCst);
    assert_eq!(platform.next_notification().await["id"], "m1");
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m2");
    call.ok();
    drop(first);
}

/// Guards against acting on a response that cannot be parsed: the message may have run, so
/// an unsafe one fails at once and is not sent again.
#[tokio::test]
async fn an_unsafe_message_fails_after_a_malformed_response() {
    for malformed in [
        "%#! no answer at all\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3000000000\r\n\r\nand so on",
        "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.1\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 410 Gone\r\nX-Head: without end",
    ] {
        let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
        let node =
            Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
        assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
        endpoint.next_call().await.reply(Reply::Response(malformed.to_owned()));
        let failed = platform.next_notification().await;
        assert_eq!(failed, json!({"id": "m1", "state": "failed"}), "{malformed:?}");
        // The connection is not used again.
        assert_eq!(node.submit("m2", "keyed", "").await.status(), 202);
        let call = endpoint.next_call().await;
        assert_eq!((call.id(), call.connection), ("m2", 1), "{malformed:?}");
        call.ok();
    }
}

/// Guards against a failure or a second delivery of a message whose response has the status line 200, but a
/// rest that is malformed or missing.
#[tokio::test]
async fn a_status_line_with_200_reports_delivery_despite_a_malformed_rest() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let malformed = [
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\0: ?\r\n\r\n",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Head: without end",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
    ];
    for (n, malformed) in malformed.into_iter().enumerate() {
        assert_eq!(node.submit(&format!("m{n}"), "ordered", "k").await.status(), 202);
        // Sent only after the previous message ended; a repeat of that message would arrive first.
        let call = endpoint.next_call().await;
        assert_eq!((call.id(), call.connection), (format!("m{n}").as_str(), n));
        call.reply(Reply::Response(malformed.to_owned()));
    }
    assert_eq!(node.submit("last", "ordered", "k").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "last");
    call.reply(response("410 Gone", "", ""));
    assert_eq!(node.submit("fails", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    assert_eq!(platform.next_notification().await["id"], "fails");
}

/// Guards against taking bytes that follow a response for the response of the next call.
#[tokio::test]
async fn bytes_after_a_response_are_not_the_response_of_the_next_call() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for trailing in [ok, "noise"] {
        let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
        let node =
            Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
        assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
        endpoint.next_call().await.reply(Reply::Response(format!("{ok}{trailing}")));
        assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
        let call = endpoint.next_call().await;
        assert_eq!((call.id(), call.connection), ("m2", 1));
        call.reply(response("500 Internal Server Error", "", ""));
        assert_eq!(platform.next_notification().await, json!({"id": "m2", "state": "failed"}));
    }
}

/// Guards against calling a new endpoint on a connection to an earlier endpoint with the same address.
#[tokio::test]
async fn a_new_endpoint_at_a_reused_address_gets_a_new_connection() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let address = endpoint.address;
    let node = Node::start(&platform, &[endpoint_entry("s-1", address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    platform.update_endpoints(&[
        endpoint_entry("s-1", address, "single", "DELETED"),
        endpoint_entry("s-2", address, "single", "SERVING"),
    ]);
    // Until the sender knows of the change, it uses the old connection.
    for n in 0.. {
        assert!(n < 400, "the old connection is still in use");
        assert_eq!(node.submit(&format!("n{n}"), "unsafe", "").await.status(), 202);
        let call = endpoint.next_call().await;
        let connection = call.connection;
        call.ok();
        if connection > 0 {
            break;
        }
    }
}
