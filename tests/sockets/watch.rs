//! How discovery is asked: what is known already, what is not, and when again.
use super::raw::Raw;
use super::world::{Call, Node, Peer, Platform, answer, member};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn list(revision: u64, complete: bool, members: &[Value]) -> super::world::Reply {
    answer("200 OK", "", &json!({"revision": revision, "complete": complete, "members": members}).to_string())
}

/// Guards against a fleet that asks for the whole list at every start, and against an agent that counts anew, to whom
/// nothing would ever be newer than what was known.
#[tokio::test]
async fn the_watch_begins_where_the_list_is_known_and_not_behind_an_agent_that_counts_anew() {
    let (mut agent, mut endpoint, mut other) =
        (Peer::start().await, Peer::start().await, Peer::start().await);
    let known = [member("s-1", endpoint.address, "single", "SERVING")];
    let platform = Platform::at(agent.address);
    let node = Node::start_with(&platform, &known, |config| config["known"]["revision"] = json!(41)).await;
    let call = agent.call().await;
    assert!(call.http.first.contains("from=41&"), "{}", call.http.first);
    assert_eq!(node.hand_in("m1", "keyed", "").await.status(), 202);
    endpoint.call().await.ok();
    call.reply(list(3, false, &[]));
    let call = agent.call().await;
    assert!(!call.http.first.contains("from="), "{}", call.http.first);
    call.reply(list(3, true, &[member("s-2", other.address, "single", "SERVING")]));
    let call = agent.call().await;
    assert!(call.http.first.contains("from=3&"), "{}", call.http.first);
    assert_eq!(node.hand_in("m2", "keyed", "").await.status(), 202);
    other.call().await.ok();
}

/// Guards against a new agent that is asked to go on from the old one's revision, where it is told of in the pause after
/// the old one had turned the sender away.
#[tokio::test]
async fn an_agent_that_moves_while_the_old_one_is_in_vain_is_asked_for_all() {
    let (mut old, mut new, endpoint) = (Peer::start().await, Peer::start().await, Peer::start().await);
    let known = [member("s-1", endpoint.address, "single", "SERVING")];
    // Of a large fleet, so that the pause is long.
    let platform = Platform::at(old.address);
    let large = |config: &mut Value| config["settings"]["fleet_size"] = json!(40);
    let mut node = Node::start_with(&platform, &known, large).await;
    old.call().await.reply(answer("503 Service Unavailable", "", ""));
    node.reload(&Platform::at(new.address));
    loop {
        tokio::select! {
            call = old.call() => call.reply(answer("503 Service Unavailable", "", "")),
            call = new.call() => {
                assert!(!call.http.first.contains("from="), "{}", call.http.first);
                break;
            }
        }
    }
}

/// The next call of the watch, past any that asks for what is there now and is given up soon.
async fn regular(agent: &mut Peer) -> Call {
    loop {
        let call = agent.call().await;
        if call.http.first.contains("hold_ms=5000") {
            return call;
        }
        call.reply(list(1, false, &[]));
    }
}

/// Guards against a list that is heard later than what the agent has counts as told: silent from the first second, it is
/// asked again at once, and again, and what it says when it is back is heard within the grace.
#[tokio::test]
async fn an_agent_that_is_silent_from_the_first_second_is_heard_within_the_grace_of_its_return() {
    let (mut agent, endpoint) = (Peer::start().await, Peer::start().await);
    let known = [member("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start(&Platform::at(agent.address), &known).await;
    // It takes calls and says nothing.
    let begun = Instant::now();
    let mut silent = Vec::new();
    while begun.elapsed() < Duration::from_secs(2) {
        silent.push(agent.call().await);
    }
    let back = Instant::now();
    let call = agent.call().await;
    call.reply(list(2, false, &[member("s-1", endpoint.address, "single", "DRAINING")]));
    node.figures_where("the drain is heard", |figures| figures["hosts_down"] == 1).await;
    assert!(back.elapsed() < Duration::from_secs(1), "{:?}: the grace is 1 s", back.elapsed());
}

/// Guards against a watch that falls silent, and whose list is heard only after it counts as told, 7 s after its call: with
/// no answer at all, after half of a list, or with one that comes a byte at a time.
#[tokio::test]
async fn what_a_silent_watch_misses_is_heard_before_it_counts_as_told() {
    let endpoint = Peer::start().await;
    let known = [member("s-1", endpoint.address, "single", "SERVING")];
    let change = json!({"revision": 2, "complete": false,
        "members": [member("s-1", endpoint.address, "single", "DRAINING")]});
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{change}", change.to_string().len());
    let empty = json!({"revision": 1, "complete": false, "members": []}).to_string();
    let empty = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{empty}", empty.len());
    let one = async |how: usize| {
        let agent = Raw::start().await;
        let node = Node::start(&Platform::at(agent.address), &known).await;
        let mut link = agent.link().await;
        loop {
            if link.request().await.first.contains("hold_ms=5000") {
                break;
            }
            link.say(&empty).await;
        }
        let asked = Instant::now();
        match how {
            0 => link.closed().await,
            1 => {
                link.say(&whole[..whole.len() / 2]).await;
                link.closed().await;
            }
            _ => {
                let mut bytes = whole.chars();
                while let Some(byte) = bytes.next()
                    && link.quiet(Duration::from_millis(200)).await
                {
                    link.say(&byte.to_string()).await;
                }
            }
        }
        let mut link = agent.link().await;
        assert!(link.request().await.first.contains("from=1&"));
        link.say(&whole).await;
        node.figures_where("the drain is heard", |figures| figures["hosts_down"] == 1).await;
        assert!(asked.elapsed() < Duration::from_secs(7), "{how}: {:?}", asked.elapsed());
    };
    tokio::join!(one(0), one(1), one(2));
}

/// Guards against a list that stops the watch for good: one without end, one that is none, and one that is indented, which
/// is heard. What the sender had goes on meanwhile.
#[tokio::test]
async fn a_list_that_is_spoilt_costs_only_itself() {
    let (mut agent, mut endpoint) = (Peer::start().await, Peer::start().await);
    let known = [member("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start(&Platform::at(agent.address), &known).await;
    let endless = format!("HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n{}", " ".repeat(64 << 20));
    let spoilt = [
        super::world::Reply::Answer(endless),
        answer("200 OK", "", "[1, 2"),
        answer("200 OK", "", r#"{"revision": 2, "complete": true, "members": [{"id": "s-1"}]}"#),
        answer("500 Internal Server Error", "", ""),
    ];
    for (n, reply) in spoilt.into_iter().enumerate() {
        agent.call().await.reply(reply);
        assert_eq!(node.hand_in(&format!("m{n}"), "keyed", "").await.status(), 202);
        endpoint.call().await.ok();
    }
    let drains = json!({"revision": 2, "complete": false,
        "members": [member("s-1", endpoint.address, "single", "DRAINING")]});
    // Far more blanks than letters: over 2 MiB, as one of many endpoints is.
    let indented = serde_json::to_string_pretty(&drains).unwrap().replace("  ", &" ".repeat(150_000));
    agent.call().await.reply(answer("200 OK", "", &indented));
    node.figures_where("the drain is heard", |figures| figures["hosts_down"] == 1).await;
    assert!(regular(&mut agent).await.http.first.contains("from=2&"));
}
