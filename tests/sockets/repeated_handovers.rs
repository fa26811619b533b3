//! Many handovers and reloads, one after another: nothing may grow with each of them.
use super::harness::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::time::timeout;

/// Handovers in a row: with definitions that double, ten of them exceed the maximum of 1,024.
const HANDOVERS: usize = 12;
/// Reloads in a row, each with `NEW_CLASSES` new classes: more than 1,024 in all.
const RELOADS: usize = 40;
const NEW_CLASSES: usize = 40;

/// Returns the number of descriptors that the process of `node` has open.
fn open_descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.pid())).unwrap().count()
}

/// Returns the size of the file in which the classes are stored.
fn stored_classes_bytes(node: &Node) -> u64 {
    std::fs::metadata(node.state_path("classes.json")).unwrap().len()
}

/// Starts a sender that holds one message of each class, as its endpoint is in maintenance.
async fn node_with_pending_messages(platform: &Platform, endpoint: &TestServer) -> Node {
    let node = Node::start(platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.admin_request("POST /maintenance/enter", "s-1").await.status(), 200);
    for class in ["unsafe", "keyed", "ordered"] {
        let submitted = node.submit_with_remaining(class, class, class, "120").await;
        assert_eq!(submitted.status(), 202);
    }
    node
}

/// Ends the maintenance, and asserts that each message that `node_with_pending_messages` submitted is delivered.
async fn deliver_pending_messages(node: &Node, endpoint: &mut TestServer) {
    assert_eq!(node.admin_request("POST /maintenance/exit", "s-1").await.status(), 200);
    let mut delivered = Vec::new();
    for _ in 0..3 {
        let call = endpoint.next_call().await;
        delivered.push(call.id().to_owned());
        call.ok();
    }
    delivered.sort();
    assert_eq!(delivered, ["keyed", "ordered", "unsafe"]);
}

/// Guards against class definitions that double with each handover, until the new and the old process exit
/// (review/6).
#[tokio::test]
async fn many_handovers_with_pending_messages_end_no_process() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node = node_with_pending_messages(&platform, &endpoint).await;
    let stored = stored_classes_bytes(&node);
    for handover in 1..=HANDOVERS {
        let mut old = node.replace().await;
        assert!(old.exits_successfully().await, "handover {handover}");
        assert_eq!(stored_classes_bytes(&node), stored, "handover {handover}");
    }
    deliver_pending_messages(&node, &mut endpoint).await;
}

/// Guards against a process that exits, or whose descriptors or classes grow, because its handovers failed.
#[tokio::test]
async fn many_failed_handovers_with_pending_messages_leave_nothing_behind() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = node_with_pending_messages(&platform, &endpoint).await;
    let (stored, mut descriptors) = (stored_classes_bytes(&node), 0);
    for handover in 1..=4 * HANDOVERS {
        let mut successor = UnixStream::connect(node.state_path("handover.sock")).await.unwrap();
        successor.write_all(b"micadrum handover 2").await.unwrap();
        // The length of the state shows that the old process has handed over.
        let mut length = [0; 8];
        timeout(TEST_TIMEOUT, successor.read_exact(&mut length)).await.expect("no handover").unwrap();
        drop(successor);
        node.wait_for_metrics("the old process continues", |metrics| metrics["inflight"] == 3).await;
        assert_eq!(stored_classes_bytes(&node), stored, "handover {handover}");
        if handover == HANDOVERS {
            descriptors = open_descriptors(&node);
        }
    }
    let at_end = open_descriptors(&node);
    assert!(
        at_end <= descriptors + 2,
        "{descriptors} descriptors after {HANDOVERS} handovers, {at_end} at the end"
    );
    deliver_pending_messages(&node, &mut endpoint).await;
}

/// Guards against reloads that are rejected, and handovers that fail, because earlier reloads have used up the
/// class definitions of the process.
#[tokio::test]
async fn many_reloads_with_new_classes_are_all_applied() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node = node_with_pending_messages(&platform, &endpoint).await;
    let mut config = node.config();
    let lanes = config["settings"]["lanes"].as_array().unwrap().clone();
    for reload in 1..=RELOADS {
        let added = (0..NEW_CLASSES).map(|number| {
            let mut lane = lanes[0].clone();
            lane["name"] = json!(format!("class-{reload}-{number}"));
            lane
        });
        config["settings"]["lanes"] = lanes.iter().cloned().chain(added).collect();
        node.reload_replaced_file(&config.to_string());
        let is_handled = |metrics: &serde_json::Value| {
            metrics["reconfig_ok"].as_u64().unwrap() + metrics["reconfig_failed"].as_u64().unwrap()
                == reload as u64
        };
        let metrics = node.wait_for_metrics("the reload is handled", is_handled).await;
        assert_eq!(metrics["reconfig_failed"], 0, "reload {reload}");
    }
    let metrics = node.metrics().await;
    let names = metrics["calls"].as_object().unwrap().len();
    assert!(names <= 1024 + 2 * NEW_CLASSES, "{names} classes in the metrics");
    let id = "last";
    assert_eq!(node.submit_with_remaining(id, &format!("class-{RELOADS}-0"), "", "120").await.status(), 202);
    let mut old = node.replace().await;
    assert!(old.exits_successfully().await);
    node.wait_for_metrics("all messages are resumed", |metrics| metrics["inflight"] == 4).await;
    assert_eq!(node.admin_request("POST /maintenance/exit", "s-1").await.status(), 200);
    for _ in 0..4 {
        endpoint.next_call().await.ok();
    }
    node.wait_for_metrics("all messages are delivered", |metrics| metrics["inflight"] == 0).await;
}
