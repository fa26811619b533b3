//! How discovery is asked: what is known already, what is not, and when again.
use super::harness::{Call, Node, Platform, TestServer, endpoint_entry, response};
use super::raw_connections::RawServer;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn list(revision: u64, complete: bool, entries: &[Value]) -> super::harness::Reply {
    response(
        "200 OK",
        "",
        &json!({"revision": revision, "complete": complete, "members": entries}).to_string(),
    )
}

/// Guards against a fleet that asks for the whole list at every start, and against an agent that counts anew, to whom
/// nothing would ever be newer than what was known.
#[tokio::test]
async fn the_watch_begins_where_the_list_is_known_and_not_behind_an_agent_that_counts_anew() {
    let (mut agent, mut endpoint, mut other) =
        (TestServer::start().await, TestServer::start().await, TestServer::start().await);
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let platform = Platform::served_by_test(agent.address);
    let node = Node::start_with(&platform, &known, |config| config["known"]["revision"] = json!(41)).await;
    let call = agent.next_call().await;
    assert!(call.request.start_line.contains("from=41&"), "{}", call.request.start_line);
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    endpoint.next_call().await.ok();
    call.reply(list(3, false, &[]));
    let call = agent.next_call().await;
    assert!(!call.request.start_line.contains("from="), "{}", call.request.start_line);
    call.reply(list(3, true, &[endpoint_entry("s-2", other.address, "single", "SERVING")]));
    let call = agent.next_call().await;
    assert!(call.request.start_line.contains("from=3&"), "{}", call.request.start_line);
    assert_eq!(node.submit("m2", "keyed", "").await.status(), 202);
    other.next_call().await.ok();
}

/// Guards against a new agent that is asked to go on from the old one's revision, where it is told of in the pause after
/// the old one had turned the sender away.
#[tokio::test]
async fn an_agent_that_moves_while_the_old_one_is_in_vain_is_asked_for_all() {
    let (mut old, mut new, endpoint) =
        (TestServer::start().await, TestServer::start().await, TestServer::start().await);
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    // Of a large fleet, so that the pause is long.
    let platform = Platform::served_by_test(old.address);
    let large = |config: &mut Value| config["settings"]["fleet_size"] = json!(40);
    let mut node = Node::start_with(&platform, &known, large).await;
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

/// The next call of the watch, past any that asks for what is there now and is given up soon.
async fn regular(agent: &mut TestServer) -> Call {
    loop {
        let call = agent.next_call().await;
        if call.request.start_line.contains("hold_ms=5000") {
            return call;
        }
        call.reply(list(1, false, &[]));
    }
}

/// Guards against a list that is heard later than what the agent has counts as told: silent from the first second, it is
/// asked again at once, and again, and what it says when it is back is heard within the grace.
#[tokio::test]
async fn an_agent_that_is_silent_from_the_first_second_is_heard_within_the_grace_of_its_return() {
    let (mut agent, endpoint) = (TestServer::start().await, TestServer::start().await);
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start(&Platform::served_by_test(agent.address), &known).await;
    // It takes calls and says nothing.
    let begun = Instant::now();
    let mut silent = Vec::new();
    while begun.elapsed() < Duration::from_secs(2) {
        silent.push(agent.next_call().await);
    }
    let back = Instant::now();
    let call = agent.next_call().await;
    call.reply(list(2, false, &[endpoint_entry("s-1", endpoint.address, "single", "DRAINING")]));
    node.wait_for_metrics("the drain is heard", |metrics| metrics["hosts_down"] == 1).await;
    assert!(back.elapsed() < Duration::from_secs(1), "{:?}: the grace is 1 s", back.elapsed());
}

/// Guards against a watch that falls silent, and whose list is heard only after it counts as told, 7 s after its call: with
/// no answer at all, after half of a list, or with one that comes a byte at a time.
#[tokio::test]
async fn what_a_silent_watch_misses_is_heard_before_it_counts_as_told() {
    let endpoint = TestServer::start().await;
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let change = json!({"revision": 2, "complete": false,
        "members": [endpoint_entry("s-1", endpoint.address, "single", "DRAINING")]});
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{change}", change.to_string().len());
    let empty = json!({"revision": 1, "complete": false, "members": []}).to_string();
    let empty = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{empty}", empty.len());
    let one = async |how: usize| {
        let agent = RawServer::start().await;
        let node = Node::start(&Platform::served_by_test(agent.address), &known).await;
        let mut connection = agent.accept().await;
        loop {
            if connection.request().await.start_line.contains("hold_ms=5000") {
                break;
            }
            connection.send(&empty).await;
        }
        let asked = Instant::now();
        match how {
            0 => connection.wait_for_close().await,
            1 => {
                connection.send(&whole[..whole.len() / 2]).await;
                connection.wait_for_close().await;
            }
            _ => {
                let mut bytes = whole.chars();
                while let Some(byte) = bytes.next()
                    && connection.is_idle_for(Duration::from_millis(200)).await
                {
                    connection.send(&byte.to_string()).await;
                }
            }
        }
        let mut connection = agent.accept().await;
        assert!(connection.request().await.start_line.contains("from=1&"));
        connection.send(&whole).await;
        node.wait_for_metrics("the drain is heard", |metrics| metrics["hosts_down"] == 1).await;
        assert!(asked.elapsed() < Duration::from_secs(7), "{how}: {:?}", asked.elapsed());
    };
    tokio::join!(one(0), one(1), one(2));
}

/// Guards against a list that stops the watch for good: one without end, one that is none, and one that is indented, which
/// is heard. What the sender had goes on meanwhile.
#[tokio::test]
async fn a_list_that_is_spoilt_costs_only_itself() {
    let (mut agent, mut endpoint) = (TestServer::start().await, TestServer::start().await);
    let known = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start(&Platform::served_by_test(agent.address), &known).await;
    let endless = format!("HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n{}", " ".repeat(64 << 20));
    let spoilt = [
        super::harness::Reply::Response(endless),
        response("200 OK", "", "[1, 2"),
        response("200 OK", "", r#"{"revision": 2, "complete": true, "members": [{"id": "s-1"}]}"#),
        response("500 Internal Server Error", "", ""),
    ];
    for (n, reply) in spoilt.into_iter().enumerate() {
        agent.next_call().await.reply(reply);
        assert_eq!(node.submit(&format!("m{n}"), "keyed", "").await.status(), 202);
        endpoint.next_call().await.ok();
    }
    let drains = json!({"revision": 2, "complete": false,
        "members": [endpoint_entry("s-1", endpoint.address, "single", "DRAINING")]});
    // Far more blanks than letters: over 2 MiB, as one of many endpoints is.
    let indented = serde_json::to_string_pretty(&drains).unwrap().replace("  ", &" ".repeat(150_000));
    agent.next_call().await.reply(response("200 OK", "", &indented));
    node.wait_for_metrics("the drain is heard", |metrics| metrics["hosts_down"] == 1).await;
    assert!(regular(&mut agent).await.request.start_line.contains("from=2&"));
}
