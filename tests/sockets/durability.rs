//! The setting `outlasts = "machine"`, which syncs each journal record, on a real disk.
use crate::harness::{Node, Platform, TestServer, endpoint_entry};
use serde_json::Value;

/// Guards against a response, a call, a notification or an exit that waits forever for a sync: messages are
/// delivered, one fails after a kill, and the process exits after SIGTERM.
#[tokio::test]
async fn delivers_and_notifies_and_exits_with_every_record_synced() {
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
    // After a kill an unsafe message that may have run is not sent again, and the platform is notified.
    assert_eq!(node.submit("out", "unsafe", "").await.status(), 202);
    let open_call = endpoint.next_call().await;
    assert_eq!(open_call.id(), "out");
    node.kill();
    node.launch().await;
    let notification = platform.next_notification().await;
    assert!(notification.to_string().contains("out"), "{notification}");
    drop(open_call);
    node.terminate();
    assert!(node.exits_successfully().await);
}
