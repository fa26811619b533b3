//! Notices that the platform turns away.
use super::harness::*;
use std::time::Duration;

/// Guards against ends that are told to nobody as long as there is one that the platform cannot read: those beside it are
/// acknowledged, it goes again by itself, and is acknowledged once the platform can.
#[tokio::test]
async fn a_notice_that_cannot_be_read_holds_up_no_others() {
    let (endpoint, mut agent) = (TestServer::start().await, TestServer::start().await);
    let platform = Platform::served_by_test(agent.address);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "DRAINING")]).await;
    let watch = agent.next_call().await;
    // Nobody takes them: they end together, as their time is up.
    let ids = ["m0", "m1", "m2", "m3", "m4"];
    for id in ids {
        assert_eq!(node.submit_with_remaining(id, "unsafe", "", "1.0").await.status(), 202);
    }
    let (mut told, mut alone, mut others, mut calls) = (Vec::new(), 0, Vec::new(), 0);
    while told.len() < ids.len() {
        calls += 1;
        assert!(calls < 50, "{told:?} are acknowledged, m1 came {alone} times alone");
        let call = agent.next_call().await;
        if !call.request.start_line.starts_with("POST /v1/notices") {
            others.push(call);
            continue;
        }
        let lines = call.request.body.split(|b| *b == b'\n').filter(|line| !line.is_empty());
        let named: Vec<String> = lines
            .map(|line| {
                serde_json::from_slice::<serde_json::Value>(line).unwrap()["id"].as_str().unwrap().into()
            })
            .collect();
        alone += u32::from(named == ["m1"]);
        // It can be read once the others are through, and it has come alone twice.
        if named.contains(&"m1".to_owned()) && (told.len() < ids.len() - 1 || alone < 2) {
            call.reply(response("400 Bad Request", "", ""));
        } else {
            told.extend(named);
            call.reply(response("204 No Content", "", ""));
        }
    }
    told.sort();
    assert_eq!(told, ids, "each once");
    assert!(alone >= 2, "{alone}");
    // Nothing is owed any more: it ends by itself, long before it would be killed.
    drop((watch, others));
    node.terminate();
    let ended = tokio::time::timeout(Duration::from_millis(3_000), node.exits_successfully()).await;
    assert!(ended.expect("an end with nothing owed"));
}
