//! Notifications that the platform rejects, and acknowledgements that arrive twice.
use super::harness::*;
use std::time::Duration;

/// Guards against a notification that the platform rejects holding up the others: they are acknowledged, and
/// the rejected one is sent again on its own until it is acknowledged.
#[tokio::test]
async fn a_rejected_notification_does_not_delay_the_others() {
    let (endpoint, mut platform_server) = (TestServer::start().await, TestServer::start().await);
    let platform = Platform::served_by_test(platform_server.address);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "DRAINING")]).await;
    let watch = platform_server.next_call().await;
    // No endpoint is in service, so all messages expire together.
    let ids = ["m0", "m1", "m2", "m3", "m4"];
    for id in ids {
        assert_eq!(node.submit_with_remaining(id, "unsafe", "", "1.0").await.status(), 202);
    }
    let (mut acknowledged, mut sent_alone, mut others, mut calls) = (Vec::new(), 0, Vec::new(), 0);
    while acknowledged.len() < ids.len() {
        calls += 1;
        assert!(calls < 50, "acknowledged: {acknowledged:?}; m1 was sent alone {sent_alone} times");
        let call = platform_server.next_call().await;
        if !call.request.start_line.starts_with("POST /v1/notices") {
            others.push(call);
            continue;
        }
        let lines = call.request.body.split(|b| *b == b'\n').filter(|line| !line.is_empty());
        let ids_in_body: Vec<String> = lines
            .map(|line| {
                serde_json::from_slice::<serde_json::Value>(line).unwrap()["id"].as_str().unwrap().into()
            })
            .collect();
        sent_alone += u32::from(ids_in_body == ["m1"]);
        // Accept m1 once the others are acknowledged and m1 has been sent alone twice.
        if ids_in_body.contains(&"m1".to_owned()) && (acknowledged.len() < ids.len() - 1 || sent_alone < 2) {
            call.reply(response("400 Bad Request", "", ""));
        } else {
            acknowledged.extend(ids_in_body);
            call.reply(response("204 No Content", "", ""));
        }
    }
    acknowledged.sort();
    assert_eq!(acknowledged, ids, "each message is acknowledged once");
    assert!(sent_alone >= 2, "{sent_alone}");
    // No notification is left, so the process exits long before the platform would kill it.
    drop((watch, others));
    node.terminate();
    let ended = tokio::time::timeout(Duration::from_millis(3_000), node.exits_successfully()).await;
    assert!(ended.expect("the process did not exit in time"));
}

/// Guards against ending a message by an acknowledgement that was sent twice: the platform acknowledges the
/// first notification again while the second one is on its way, and does not take the second one.
#[tokio::test]
async fn a_repeated_acknowledgement_acknowledges_no_other_notification() {
    let (endpoint, mut platform_server) = (TestServer::start().await, TestServer::start().await);
    let platform = Platform::served_by_test(platform_server.address);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "DRAINING")]).await;
    let _watch = platform_server.next_call().await;
    let mut next_notification = async || {
        let notification = async {
            loop {
                let call = platform_server.next_call().await;
                if call.request.start_line.starts_with("POST /v1/notices") {
                    return call;
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, notification).await.expect("no notification arrived in time")
    };
    assert_eq!(node.submit_with_remaining("m1", "unsafe", "", "0.5").await.status(), 202);
    let first = next_notification().await;
    let connection = first.connection;
    first.reply(response("204 No Content", "", ""));
    assert_eq!(node.submit_with_remaining("m2", "unsafe", "", "0.5").await.status(), 202);
    let second = next_notification().await;
    if second.connection == connection {
        // The first answer again, followed by the one to the second notification.
        let answers = ["204 No Content", "503 Service Unavailable"]
            .map(|status| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
        second.reply(Reply::Response(answers.concat()));
    } else {
        second.reply(response("503 Service Unavailable", "", ""));
    }
    let again = next_notification().await;
    assert!(String::from_utf8_lossy(&again.request.body).contains("m2"));
    again.reply(response("204 No Content", "", ""));
    node.wait_for_metrics("both messages have ended", |metrics| metrics["inflight"] == 0).await;
}
