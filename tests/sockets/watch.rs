//! Watches of the endpoint list: the revision that they start from, their timeouts, and malformed lists.
use super::harness::{Call, Node, Platform, TestServer, endpoint_entry, response};
use super::raw_connections::RawServer;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Returns a response to a watch.
fn list_response(revision: u64, complete: bool, entries: &[Value]) -> super::harness::Reply {
    response(
        "200 OK",
        "",
        &json!({"revision": revision, "complete": complete, "members": entries}).to_string(),
    )
}

/// Guards against requesting the complete list at every start, and against a watch that waits forever at
/// discovery whose revisions have started over.
#[tokio::test]
async fn watches_from_the_known_revision_and_requests_a_complete_list_after_a_reset() {
    let (mut discovery, mut endpoint, mut other) =
        (TestServer::start().await, TestServer::start().await, TestServer::start().await);
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let platform = Platform::served_by_test(discovery.address);
    let node = Node::start_with(&platform, &known, |config| config["known"]["revision"] = json!(41)).await;
    let call = discovery.next_call().await;
    assert!(call.request.start_line.contains("from=41&"), "{}", call.request.start_line);
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    endpoint.next_call().await.ok();
    call.reply(list_response(3, false, &[]));
    let call = discovery.next_call().await;
    assert!(!call.request.start_line.contains("from="), "{}", call.request.start_line);
    call.reply(list_response(3, true, &[endpoint_entry("s-2", other.address, "single", "SERVING")]));
    let call = discovery.next_call().await;
    assert!(call.request.start_line.contains("from=3&"), "{}", call.request.start_line);
    assert_eq!(node.submit("m2", "keyed", "").await.status(), 202);
    other.next_call().await.ok();
}

/// Guards against sending the old revision to a new address of discovery, if the reload comes during the
/// backoff after the old one has refused the watch.
#[tokio::test]
async fn requests_the_complete_list_after_a_reload_during_a_backoff() {
    let (mut old, mut new, endpoint) =
        (TestServer::start().await, TestServer::start().await, TestServer::start().await);
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    // In a large fleet the backoff is long.
    let platform = Platform::served_by_test(old.address);
    let large_fleet = |config: &mut Value| config["settings"]["fleet_size"] = json!(40);
    let mut node = Node::start_with(&platform, &known, large_fleet).await;
    old.next_call().await.reply(response("503 Service Unavailable", "", ""));
    node.reload(&Platform::served_by_test(new.address));
    loop {
        tokio::select! {
            call = old.next_call() => call.reply(response("503 Service Unavailable", "", "")),
            call = new.next_call() => {
                assert!(!call.request.start_line.contains("from="), "{}", call.request.start_line);
                break;
            }
        }
    }
}

/// Returns the next watch with the regular hold time. Answers others, which have a short one, with an empty
/// list.
async fn next_regular_watch(discovery: &mut TestServer) -> Call {
    loop {
        let call = discovery.next_call().await;
        if call.request.start_line.contains("hold_ms=5000") {
            return call;
        }
        call.reply(list_response(1, false, &[]));
    }
}

/// Guards against learning of a list change too late after an outage of discovery since the start: watches
/// are repeated, so that the first response is processed within the grace period of 1 s.
#[tokio::test]
async fn applies_a_change_within_the_grace_after_an_initial_outage_of_discovery() {
    let (mut discovery, endpoint) = (TestServer::start().await, TestServer::start().await);
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start(&Platform::served_by_test(discovery.address), &known).await;
    // Discovery accepts watches and does not respond.
    let started = Instant::now();
    let mut unanswered = Vec::new();
    while started.elapsed() < Duration::from_secs(2) {
        unanswered.push(discovery.next_call().await);
    }
    let resumed_at = Instant::now();
    let call = discovery.next_call().await;
    call.reply(list_response(2, false, &[endpoint_entry("s-1", endpoint.address, "single", "DRAINING")]));
    node.wait_for_metrics("the drain is known", |metrics| metrics["hosts_down"] == 1).await;
    assert!(
        resumed_at.elapsed() < Duration::from_secs(1),
        "the change was applied after {:?}; the grace period is 1 s",
        resumed_at.elapsed()
    );
}

/// Guards against a stalled watch that delays a list change beyond its deadline, 7 s after the watch: without
/// a response, with half of one, or with one that arrives a byte at a time.
#[tokio::test]
async fn replaces_a_stalled_watch_before_the_deadline_of_a_change() {
    let endpoint = TestServer::start().await;
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let change = json!({"revision": 2, "complete": false,
        "members": [endpoint_entry("s-1", endpoint.address, "single", "DRAINING")]});
    let complete_response =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{change}", change.to_string().len());
    let empty = json!({"revision": 1, "complete": false, "members": []}).to_string();
    let empty = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{empty}", empty.len());
    let check = async |behavior: usize| {
        let discovery = RawServer::start().await;
        let node = Node::start(&Platform::served_by_test(discovery.address), &known).await;
        let mut connection = loop {
            let mut connection = discovery.accept().await;
            if connection.request().await.start_line.contains("hold_ms=5000") {
                break connection;
            }
            connection.send(&empty).await;
        };
        let requested_at = Instant::now();
        match behavior {
            0 => connection.wait_for_close().await,
            1 => {
                connection.send(&complete_response[..complete_response.len() / 2]).await;
                connection.wait_for_close().await;
            }
            _ => {
                let mut bytes = complete_response.chars();
                while let Some(byte) = bytes.next()
                    && connection.is_idle_for(Duration::from_millis(200)).await
                {
                    connection.send(&byte.to_string()).await;
                }
            }
        }
        let mut connection = discovery.accept().await;
        assert!(connection.request().await.start_line.contains("from=1&"));
        connection.send(&complete_response).await;
        node.wait_for_metrics("the drain is known", |metrics| metrics["hosts_down"] == 1).await;
        assert!(requested_at.elapsed() < Duration::from_secs(7), "{behavior}: {:?}", requested_at.elapsed());
    };
    tokio::join!(check(0), check(1), check(2));
}

/// Guards against a response that ends the watch for good: one that is too long, malformed, incomplete or an
/// error. Messages are delivered meanwhile, and an indented list is still applied.
#[tokio::test]
async fn ignores_malformed_lists_and_applies_the_next_valid_one() {
    let (mut discovery, mut endpoint) = (TestServer::start().await, TestServer::start().await);
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start(&Platform::served_by_test(discovery.address), &known).await;
    let endless = format!("HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n{}", " ".repeat(64 << 20));
    let malformed = [
        super::harness::Reply::Response(endless),
        response("200 OK", "", "[1, 2"),
        response("200 OK", "", r#"{"revision": 2, "complete": true, "members": [{"id": "s-1"}]}"#),
        response("500 Internal Server Error", "", ""),
    ];
    for (n, reply) in malformed.into_iter().enumerate() {
        discovery.next_call().await.reply(reply);
        assert_eq!(node.submit(&format!("m{n}"), "keyed", "").await.status(), 202);
        endpoint.next_call().await.ok();
    }
    let drain_list = json!({"revision": 2, "complete": false,
        "members": [endpoint_entry("s-1", endpoint.address, "single", "DRAINING")]});
    // Enough indentation for over 2 MiB, the size of a list of many endpoints.
    let indented = serde_json::to_string_pretty(&drain_list).unwrap().replace("  ", &" ".repeat(150_000));
    discovery.next_call().await.reply(response("200 OK", "", &indented));
    node.wait_for_metrics("the drain is known", |metrics| metrics["hosts_down"] == 1).await;
    assert!(next_regular_watch(&mut discovery).await.request.start_line.contains("from=2&"));
}

/// Guards against taking a list that was sent twice for the answer to a later watch: an endpoint that drains
/// meanwhile would be used again.
#[tokio::test]
async fn a_repeated_list_does_not_answer_a_later_watch() {
    let (mut discovery, mut endpoint) = (TestServer::start().await, TestServer::start().await);
    let serving = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let draining = [endpoint_entry("s-1", endpoint.address, "single", "DRAINING")];
    let node = Node::start(&Platform::served_by_test(discovery.address), &serving).await;
    let call = discovery.next_call().await;
    let connection = call.connection;
    call.reply(list_response(2, true, &serving));
    let call = discovery.next_call().await;
    let mut is_same_connection = call.connection == connection;
    call.reply(list_response(3, true, &draining));
    node.wait_for_metrics("the drain is known", |metrics| metrics["hosts_down"] == 1).await;
    let call = discovery.next_call().await;
    is_same_connection &= call.connection == connection;
    if is_same_connection {
        // The second copy of the first list.
        call.reply(list_response(2, true, &serving));
    }
    assert_eq!(node.submit_with_remaining("m1", "unsafe", "", "1.0").await.status(), 202);
    assert!(endpoint.is_idle_for(Duration::from_millis(800)).await, "a draining endpoint was called");
}

/// Guards against an agent that is never heard because it answers later than a call waits: the endpoints of
/// the configuration stay in use, and messages go to whoever has their addresses now (review/7).
#[tokio::test]
async fn an_agent_that_always_answers_late_is_heard() {
    for latency_ms in [400, 1_500] {
        let (mut discovery, mut reused, mut moved) =
            (TestServer::start().await, TestServer::start().await, TestServer::start().await);
        let known = [endpoint_entry("s-1", reused.address, "single", "SERVING")];
        let platform = Platform::served_by_test(discovery.address);
        // The endpoint has another address now, and its old one belongs to an endpoint of another destination.
        let mut other = endpoint_entry("s-2", reused.address, "single", "SERVING");
        other["cell"] = json!(8);
        let list = [endpoint_entry("s-3", moved.address, "single", "SERVING"), other];
        let node = Node::start(&platform, &known).await;
        let agent = tokio::spawn(async move {
            loop {
                let (call, list) = (discovery.next_call().await, list.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(latency_ms)).await;
                    if call.request.start_line.contains("from=5&") {
                        call.reply(list_response(5, false, &[]));
                    } else {
                        call.reply(list_response(5, true, &list));
                    }
                });
            }
        });
        node.wait_for_metrics("the list is heard", |metrics| metrics["hosts_listed"] == 2).await;
        assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
        let call = moved.next_call().await;
        assert_eq!(call.id(), "m1");
        call.ok();
        assert!(
            reused.is_idle_for(Duration::from_millis(50)).await,
            "{latency_ms} ms: sent to another destination"
        );
        agent.abort();
    }
}

/// Guards against taking a new endpoint for the one that had its address before: discovery tells of the new one
/// first, and of the end of the old one later.
#[tokio::test]
async fn an_address_belongs_to_the_endpoint_that_was_listed_there_last() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let old = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start(&platform, std::slice::from_ref(&old)).await;
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    endpoint.next_call().await.ok();
    node.wait_for_metrics("the message is delivered", |metrics| metrics["inflight"] == 0).await;
    // The new endpoint belongs to another destination.
    let mut new = endpoint_entry("s-2", endpoint.address, "single", "SERVING");
    new["cell"] = json!(8);
    platform.update_endpoints(&[new]);
    node.wait_for_metrics("only the new endpoint is listed", |metrics| metrics["hosts_listed"] == 1).await;
    let _ = node.submit_with_remaining("m2", "keyed", "", "1.5").await;
    assert!(endpoint.is_idle_for(Duration::from_millis(700)).await, "m2 was sent to another destination");
    // The old endpoint comes back at another address.
    let mut moved = TestServer::start().await;
    platform.update_endpoints(&[endpoint_entry("s-1", moved.address, "single", "SERVING")]);
    node.wait_for_metrics("both endpoints are listed", |metrics| metrics["hosts_listed"] == 2).await;
    assert_eq!(node.submit("m3", "keyed", "").await.status(), 202);
    let mut delivered = moved.next_call().await;
    while delivered.id() != "m3" {
        delivered.ok();
        delivered = moved.next_call().await;
    }
    delivered.ok();
}
