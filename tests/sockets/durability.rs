//! A journal that outlasts the machine: what waits for its sync, with a real disk.
use crate::harness::{Node, Platform, TestServer, endpoint_entry};
use serde_json::Value;

/// Guards against an answer, a call or a notice that is held for ever, and against a sender that does not end: messages
/// are delivered, one fails for good, the process is killed and ends in good order, all with each record synced.
#[tokio::test]
async fn with_every_record_synced_messages_go_their_way() {
    let (mut platform, mut endpoint) = (Platform::start().await, TestServer::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    node.kill();
    node.write_operator_file("[durability]\noutlasts = \"machine\"\ndelay = \"2 ms\"\n");
    node.launch().await;
    for n in 0..20 {
        assert_eq!(node.submit(&format!("m{n}"), "unsafe", "").await.status(), 202);
        endpoint.next_call().await.ok();
    }
    node.wait_for_metrics("all are delivered", |f: &Value| f["calls"]["unsafe"]["success"] == 20).await;
    // What may have run is not sent again by the process after a kill, and its notice comes.
    assert_eq!(node.submit("out", "unsafe", "").await.status(), 202);
    let out = endpoint.next_call().await;
    assert_eq!(out.id(), "out");
    node.kill();
    node.launch().await;
    let notice = platform.next_notification().await;
    assert!(notice.to_string().contains("out"), "{notice}");
    drop(out);
    node.terminate();
    assert!(node.exits_successfully().await);
}
