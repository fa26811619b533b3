//! A journal that outlasts the machine: what waits for its sync, with a real disk.
use crate::world::{Node, Peer, Platform, member};
use serde_json::Value;

/// Guards against an answer, a call or a notice that is held for ever, and against a sender that does not end: messages
/// are delivered, one fails for good, the process is killed and ends in good order, all with each record synced.
#[tokio::test]
async fn with_every_record_synced_messages_go_their_way() {
    let (mut platform, mut endpoint) = (Platform::start().await, Peer::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    node.kill();
    node.turn_on("[durability]\noutlasts = \"machine\"\ndelay = \"2 ms\"\n");
    node.begin().await;
    for n in 0..20 {
        assert_eq!(node.hand_in(&format!("m{n}"), "unsafe", "").await.status(), 202);
        endpoint.call().await.ok();
    }
    node.figures_where("all are delivered", |f: &Value| f["calls"]["unsafe"]["success"] == 20).await;
    // What may have run is not sent again by the process after a kill, and its notice comes.
    assert_eq!(node.hand_in("out", "unsafe", "").await.status(), 202);
    let out = endpoint.call().await;
    assert_eq!(out.id(), "out");
    node.kill();
    node.begin().await;
    let notice = platform.notice().await;
    assert!(notice.to_string().contains("out"), "{notice}");
    drop(out);
    node.terminate();
    assert!(node.ends_well().await);
}
