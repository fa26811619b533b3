//! System calls that fail as Linux documents, in a real process: the fault injection library is preloaded.
use super::harness::*;
use micadrum_fault_control::{Fault, FaultKind};
use serde_json::Value;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Error numbers of Linux.
const CONNECTION_ABORTED: i64 = 103;
const ADDRESS_NOT_AVAILABLE: i64 = 99;
const NETWORK_UNREACHABLE: i64 = 101;
const NO_BUFFERS: i64 = 105;
/// Longer than an exchange takes on a busy machine, and shorter than each timeout of a client's connection.
const PROMPT: Duration = Duration::from_millis(1500);
const HOUR_US: i64 = 3_600_000_000;

/// Sets the deduplication window of all classes to 2 s.
fn set_short_window(config: &mut Value) {
    for class in config["settings"]["lanes"].as_array_mut().unwrap() {
        class["key_ttl"] = 2_000_000.into();
    }
}

/// Submits the keyed message `m1`, and kills the sender during the call with it.
async fn kill_during_a_call(node: &mut Node, endpoint: &mut TestServer) {
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    let call = endpoint.next_call().await;
    node.kill();
    drop(call);
}

/// Requests `/-/ready` on an open connection, and returns the status, or `None` if the connection ends first.
async fn request_readiness(stream: &mut TcpStream) -> Option<u16> {
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.ok()?;
    let response = timeout(TEST_TIMEOUT, HttpMessage::read(stream))
        .await
        .expect("neither a response nor a close in time")?;
    Some(response.status())
}

/// Guards against closing client connections after an error of `accept` other than a lack of descriptors.
#[tokio::test]
async fn an_aborted_connection_closes_no_other_connection() {
    let platform = Platform::start().await;
    let node = Node::start_with_faults(&platform, &[], |_| {}).await;
    let mut earlier = TcpStream::connect(node.address).await.unwrap();
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    let aborted = Fault::always(FaultKind::Accept).with_parameter(CONNECTION_ABORTED).at_most(3);
    node.faults().begin(aborted).unwrap();
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    assert_eq!(node.faults().count(FaultKind::Accept).unwrap().injected, 3);
    assert_eq!(request_readiness(&mut earlier).await, Some(200));
}

/// Guards against waiting for readiness after a short read or write although the socket is still ready.
#[tokio::test]
async fn continues_promptly_after_a_short_transfer() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    node.faults().begin(Fault::always(FaultKind::ShortTransfer)).unwrap();
    for number in 0..20 {
        let id = format!("m{number}");
        let response = timeout(PROMPT, node.submit(&id, "unsafe", "")).await;
        assert_eq!(response.expect("no prompt response").status(), 202);
        let call = timeout(PROMPT, endpoint.next_call()).await.expect("no prompt call");
        assert_eq!(call.id(), id);
        call.ok();
    }
    assert!(node.faults().count(FaultKind::ShortTransfer).unwrap().injected > 100);
}

/// Guards against a deduplication window that is extended by setting the wall clock back.
#[tokio::test]
async fn a_deduplication_window_ends_although_the_wall_clock_was_set_back() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let mut node = Node::start_with_faults(&platform, &entries, set_short_window).await;
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    let call = endpoint.next_call().await;
    node.kill();
    node.faults().begin(Fault::always(FaultKind::WallClock).with_parameter(-HOUR_US)).unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    node.launch().await;
    // Whether the message failed or was returned is not checked, only that it has ended.
    assert_eq!(platform.next_notification().await["id"], "m1");
    drop(call);
    assert!(
        endpoint.is_idle_for(Duration::from_millis(300)).await,
        "the message was sent again after its deduplication window"
    );
}

/// Guards against expiring a message at a restart because the wall clock was set forward.
#[tokio::test]
async fn a_message_does_not_expire_because_the_wall_clock_was_set_forward() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "DRAINING")];
    let mut node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    node.kill();
    node.faults().begin(Fault::always(FaultKind::WallClock).with_parameter(HOUR_US)).unwrap();
    let serving = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    node.launch().await;
    platform.update_endpoints(&serving);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
}

/// Guards against a start that fails, or loses messages, because the state folder cannot be written: the
/// sender refuses new messages until it can store them, and delivers the earlier ones.
#[tokio::test]
async fn starts_and_keeps_messages_although_the_state_folder_cannot_be_written() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let mut node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    kill_during_a_call(&mut node, &mut endpoint).await;
    node.faults().begin(Fault::always(FaultKind::FolderWrite)).unwrap();
    node.faults().begin(Fault::always(FaultKind::TornWrite)).unwrap();
    node.launch().await;
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 503);
    assert!(node.faults().count(FaultKind::FolderWrite).unwrap().injected > 0);
    node.faults().end(FaultKind::FolderWrite).unwrap();
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
    assert_eq!(node.submit("m3", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
}

/// Guards against setting the journal aside after a temporary read error.
#[tokio::test]
async fn reads_the_journal_after_temporary_read_errors() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let mut node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    kill_during_a_call(&mut node, &mut endpoint).await;
    node.faults().begin(Fault::always(FaultKind::FolderRead).at_most(5)).unwrap();
    node.launch().await;
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
}

/// Guards against taking a local error of `connect` for one of the endpoint: it would use up an attempt,
/// start a backoff and eject a healthy endpoint.
#[tokio::test]
async fn a_local_connect_error_is_not_counted_against_the_endpoint() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    // Discovery connects too: at the start it has done so before the metrics are available.
    node.metrics().await;
    for error in [ADDRESS_NOT_AVAILABLE, NETWORK_UNREACHABLE, NO_BUFFERS] {
        let id = format!("m{error}");
        node.faults().begin(Fault::always(FaultKind::Connect).with_parameter(error)).unwrap();
        assert_eq!(node.submit(&id, "unsafe", "").await.status(), 202);
        assert!(endpoint.is_idle_for(Duration::from_millis(400)).await);
        node.faults().end(FaultKind::Connect).unwrap();
        let call = timeout(Duration::from_millis(600), endpoint.next_call())
            .await
            .expect("the call was delayed by a backoff");
        assert_eq!(call.id(), id);
        // Close the connection, so that the next message needs a new one.
        call.reply(response("200 OK", "Connection: close\r\n", ""));
    }
}

/// Guards against a start that fails because a socket cannot be bound temporarily.
#[tokio::test]
async fn retries_a_bind_that_fails_temporarily() {
    let platform = Platform::start().await;
    let mut node = Node::start_with_faults(&platform, &[], |_| {}).await;
    node.kill();
    node.faults().begin(Fault::always(FaultKind::Bind).at_most(6)).unwrap();
    node.launch().await;
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
}

/// Guards against false reports of the run-time checks: after failures, repeats and a restart they report no
/// violation.
#[tokio::test]
async fn run_time_checks_report_no_violation() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let mut node = Node::start(&platform, &entries).await;
    for class in ["unsafe", "keyed", "ordered"] {
        assert_eq!(node.submit(class, class, "k").await.status(), 202);
        endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    }
    let again = endpoint.next_call().await;
    node.kill();
    drop(again);
    node.launch().await;
    for _ in 0..2 {
        endpoint.next_call().await.ok();
    }
    let violations = &node.metrics().await["violations"];
    assert_eq!(*violations, serde_json::json!({"sending": 0, "repeating": 0, "closing": 0, "starting": 0}));
}
