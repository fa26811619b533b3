//! Calls to endpoints: what may have run, waits, batches, drains and the order of a key.
use super::harness::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// An address at which nothing listens.
async fn nowhere() -> SocketAddr {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Guards against counting a refused connection as an attempt that may have run: even an unsafe message goes
/// again, to the address that discovery tells meanwhile.
#[tokio::test]
async fn a_refused_connection_never_ran() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", nowhere().await, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    // A line of a kind that nobody knows is passed over, and the next one counts.
    let unknown = endpoint_entry("s-0", endpoint.address, "new-kind", "SERVING");
    platform.update_endpoints(&[unknown, endpoint_entry("s-1", endpoint.address, "single", "SERVING")]);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
}

/// Guards against a second effect: a call that broke after its last byte may have run. What is unsafe ends
/// as failed; what is keyed goes again under its key.
#[tokio::test]
async fn a_reset_after_the_last_byte_may_have_run() {
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
    assert!(endpoint.is_idle_for(Duration::from_millis(200)).await, "a message went out after its end");
}

/// Guards against resending on a stale connection: an endpoint that closed it between calls gets the next
/// message once, on a new one, also where it must not be repeated.
#[tokio::test]
async fn a_connection_closed_between_calls_costs_no_attempt() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    // The answer asks to keep the connection; then it is dropped, as by an idle timer.
    let first = endpoint.next_call().await;
    first.reply(response("200 OK", "Connection: close\r\n", ""));
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m2");
    call.reply(Reply::Disconnect);
    assert_eq!(platform.next_notification().await, json!({"id": "m2", "state": "failed"}));
}

/// Guards against sending anything at all to a destination that told a wait.
#[tokio::test]
async fn a_told_wait_holds_the_destination() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    let told = Instant::now();
    call.reply(response("429 Too Many Requests", "Retry-After: 0.75\r\n", ""));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(node.submit("m2", "keyed", "").await.status(), 202);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let call = endpoint.next_call().await;
        assert!(told.elapsed() >= Duration::from_millis(750), "{:?}", told.elapsed());
        ids.push(call.id().to_owned());
        call.ok();
    }
    ids.sort();
    assert_eq!(ids, ["m1", "m2"]);
}

/// Guards against a refusal that leaves the client guessing: it hears when the destination's wait ends.
#[tokio::test]
async fn a_refusal_tells_when_to_come_again() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let once = |config: &mut serde_json::Value| config["settings"]["limits"]["max_attempts"] = json!(1);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[entry], once).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 10\r\n", ""));
    let notice = platform.next_notification().await;
    assert_eq!((&notice["id"], &notice["state"]), (&json!("m1"), &json!("returned")));
    let after = notice["after_ms"].as_u64().unwrap();
    assert!((1..=10_000).contains(&after), "{after}");
}

/// Guards against giving one end to a whole batch, and against passing over a wait told in its answer.
#[tokio::test]
async fn each_message_of_a_batch_has_its_own_end() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]).await;
    // While the route waits, messages gather for one call.
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
    let ends: Vec<_> = items.iter().map(|i| json!({"id": i["id"], "state": i["id"]})).collect();
    let told = Instant::now();
    call.reply(response("200 OK", "Retry-After: 0.5\r\n", &json!(ends).to_string()));
    assert_eq!(platform.next_notification().await, json!({"id": "error", "state": "failed"}));
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "later");
    assert!(told.elapsed() >= Duration::from_millis(500), "{:?}", told.elapsed());
    call.ok();
    assert!(endpoint.is_idle_for(Duration::from_millis(200)).await, "a message went out after its end");
}

/// Guards against new work for an endpoint that is known to drain.
#[tokio::test]
async fn a_draining_endpoint_gets_nothing_new() {
    let (mut old, mut new, platform) =
        (TestServer::start().await, TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", old.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("before", "unsafe", "").await.status(), 202);
    let before = old.next_call().await;
    platform.update_endpoints(&[
        endpoint_entry("s-1", old.address, "single", "DRAINING"),
        endpoint_entry("s-2", new.address, "single", "SERVING"),
    ]);
    // Both changes are one: once the new endpoint is called, the sender knows of the drain.
    let mut known = false;
    for n in 0..400 {
        assert_eq!(node.submit(&format!("n{n}"), "unsafe", "").await.status(), 202);
        tokio::select! {
            call = old.next_call() => {
                assert!(!known, "{} went to a draining endpoint", call.id());
                call.ok();
            }
            call = new.next_call() => {
                call.ok();
                if std::mem::replace(&mut known, true) {
                    break;
                }
            }
        }
    }
    assert!(known);
    before.ok();
    assert!(old.is_idle_for(Duration::from_millis(100)).await);
}

/// Guards against letting the next message of a key out before the platform knows that the one before is
/// over: until then it counts as open.
#[tokio::test]
async fn a_key_waits_for_the_notice_of_the_one_before() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    platform.drops_notifications.store(true, Ordering::SeqCst);
    assert_eq!(node.submit_with_remaining("m1", "ordered", "k", "0.5").await.status(), 202);
    let first = endpoint.next_call().await;
    assert_eq!(node.submit("m2", "ordered", "k").await.status(), 202);
    // Another key of the same destination shows that the endpoint is not held.
    assert_eq!(node.submit("other", "ordered", "l").await.status(), 202);
    let other = endpoint.next_call().await;
    assert_eq!(other.id(), "other");
    other.ok();
    assert!(endpoint.is_idle_for(Duration::from_millis(900)).await, "the key was not kept");
    platform.drops_notifications.store(false, Ordering::SeqCst);
    assert_eq!(platform.next_notification().await["id"], "m1");
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m2");
    call.ok();
    drop(first);
}

/// Guards against believing an answer that cannot be read: the message may have run, whatever the spoilt answer
/// says, so an unsafe one fails, soon, and never goes again.
#[tokio::test]
async fn a_spoilt_answer_may_have_run() {
    for spoilt in [
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
        endpoint.next_call().await.reply(Reply::Response(spoilt.to_owned()));
        let failed = platform.next_notification().await;
        assert_eq!(failed, json!({"id": "m1", "state": "failed"}), "{spoilt:?}");
        // The connection is of no further use.
        assert_eq!(node.submit("m2", "keyed", "").await.status(), 202);
        let call = endpoint.next_call().await;
        assert_eq!((call.id(), call.connection), ("m2", 1), "{spoilt:?}");
        call.ok();
    }
}

/// Guards against a false failure, or a second copy: a first line with 200 says that a single message is
/// delivered, though the rest cannot be read or does not come.
#[tokio::test]
async fn a_first_line_with_200_is_true() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let spoilt = [
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\0: ?\r\n\r\n",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Head: without end",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
    ];
    for (n, spoilt) in spoilt.into_iter().enumerate() {
        assert_eq!(node.submit(&format!("m{n}"), "ordered", "k").await.status(), 202);
        // It comes only when the one before is over; a second copy of that would come first.
        let call = endpoint.next_call().await;
        assert_eq!((call.id(), call.connection), (format!("m{n}").as_str(), n));
        call.reply(Reply::Response(spoilt.to_owned()));
    }
    assert_eq!(node.submit("last", "ordered", "k").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "last");
    call.reply(response("410 Gone", "", ""));
    assert_eq!(node.submit("fails", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    assert_eq!(platform.next_notification().await["id"], "fails");
}

/// Guards against answers mixed up: what comes right behind an answer is not the answer of the next call.
#[tokio::test]
async fn bytes_behind_an_answer_answer_nothing() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for behind in [ok, "noise"] {
        let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
        let node =
            Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
        assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
        endpoint.next_call().await.reply(Reply::Response(format!("{ok}{behind}")));
        assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
        let call = endpoint.next_call().await;
        assert_eq!((call.id(), call.connection), ("m2", 1));
        call.reply(response("500 Internal Server Error", "", ""));
        assert_eq!(platform.next_notification().await, json!({"id": "m2", "state": "failed"}));
    }
}

/// Guards against calling a new endpoint on a connection to the one that had its address before.
#[tokio::test]
async fn an_address_used_again_gets_a_connection_of_its_own() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let at = endpoint.address;
    let node = Node::start(&platform, &[endpoint_entry("s-1", at, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    platform.update_endpoints(&[
        endpoint_entry("s-1", at, "single", "DELETED"),
        endpoint_entry("s-2", at, "single", "SERVING"),
    ]);
    // Sooner or later the change is known; until then the old connection is used on.
    for n in 0.. {
        assert!(n < 400, "the old connection was kept");
        assert_eq!(node.submit(&format!("n{n}"), "unsafe", "").await.status(), 202);
        let call = endpoint.next_call().await;
        let connection = call.connection;
        call.ok();
        if connection > 0 {
            break;
        }
    }
}
