//! How discovery is asked: what is known already, what is not, and when again.
use super::world::{Node, Peer, Platform, answer, member};
use serde_json::{Value, json};

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
