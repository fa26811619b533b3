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
/// Longer than an exchange takes on a busy machine, and shorter than any timeout of a client's connection.
const PROMPT: Duration = Duration::from_millis(1500);
const HOUR_US: i64 = 3_600_000_000;

/// Sets the deduplication window of all classes to 2 s.
fn set_short_window(config: &mut Value) {
    for class in config["settings"]["lanes"].as_array_mut().unwrap() {
        class["key_ttl"] = 2_000_000.into();
    }
}

/// Has the sender take on the keyed message `m1` and call for it, and kills the sender meanwhile.
async fn kill_with_a_call_out(node: &mut Node, endpoint: &mut TestServer) {
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    let call = endpoint.next_call().await;
    node.kill();
    drop(call);
}

/// Sends a request for the readiness on an open connection, and returns the status of the response.
async fn readiness_on(stream: &mut TcpStream) -> Option<u16> {
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.ok()?;
    let response = timeout(TEST_TIMEOUT, HttpMessage::read(stream)).await.expect("a response or an end")?;
    Some(response.status())
}

/// Guards against closing the connections of clients for an error of `accept` that more descriptors would not mend.
#[tokio::test]
async fn an_aborted_connection_costs_no_other_its_place() {
    let platform = Platform::start().await;
    let node = Node::start_with_faults(&platform, &[], |_| {}).await;
    let mut earlier = TcpStream::connect(node.address).await.unwrap();
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    let aborted = Fault::always(FaultKind::Accept).with_parameter(CONNECTION_ABORTED).at_most(3);
    node.faults().begin(aborted).unwrap();
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    assert_eq!(node.faults().count(FaultKind::Accept).unwrap().injected, 3);
    assert_eq!(readiness_on(&mut earlier).await, Some(200));
}

/// Guards against waiting for readiness that was there all along: a transfer may move less than there is.
#[tokio::test]
async fn a_short_transfer_is_followed_by_the_rest() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    node.faults().begin(Fault::always(FaultKind::ShortTransfer)).unwrap();
    for number in 0..20 {
        let id = format!("m{number}");
        let response = timeout(PROMPT, node.submit(&id, "unsafe", "")).await;
        assert_eq!(response.expect("a prompt response").status(), 202);
        let call = timeout(PROMPT, endpoint.next_call()).await.expect("a prompt call");
        assert_eq!(call.id(), id);
        call.ok();
    }
    assert!(node.faults().count(FaultKind::ShortTransfer).unwrap().injected > 100);
}

/// Guards against a deduplication window that is measured by a wall clock that was set back.
#[tokio::test]
async fn a_window_ends_although_the_wall_clock_was_set_back() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let mut node = Node::start_with_faults(&platform, &entries, set_short_window).await;
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    let call = endpoint.next_call().await;
    node.kill();
    node.faults().begin(Fault::always(FaultKind::WallClock).with_parameter(-HOUR_US)).unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    node.launch().await;
    // A message of this class may be refused although it may have run: only its end matters here.
    assert_eq!(platform.next_notification().await["id"], "m1");
    drop(call);
    assert!(endpoint.is_idle_for(Duration::from_millis(300)).await, "sent again after its window");
}

/// Guards against giving up a message at a restart because the wall clock was set forward.
#[tokio::test]
async fn a_message_keeps_its_time_although_the_wall_clock_was_set_forward() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "DRAINING")];
    let mut node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    node.kill();
    node.faults().begin(Fault::always(FaultKind::WallClock).with_parameter(HOUR_US)).unwrap();
    let revived = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    node.launch().await;
    platform.update_endpoints(&revived);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
}

/// Guards against a start that fails with the folder, and against a message that is lost with it: the sender refuses until it
/// can keep what it accepts, and delivers what it owes.
#[tokio::test]
async fn a_folder_that_cannot_be_written_delays_no_start() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let mut node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    kill_with_a_call_out(&mut node, &mut endpoint).await;
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

/// Guards against a journal that is set aside for an error that passes.
#[tokio::test]
async fn a_journal_that_cannot_be_read_for_a_while_is_read_later() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let mut node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    kill_with_a_call_out(&mut node, &mut endpoint).await;
    node.faults().begin(Fault::always(FaultKind::FolderRead).at_most(5)).unwrap();
    node.launch().await;
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
}

/// Guards against taking an error of this machine for one of the endpoint: an attempt would be used up, a backoff begun, and a
/// healthy endpoint ejected.
#[tokio::test]
async fn an_error_of_this_machine_says_nothing_of_the_endpoint() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entries = [endpoint_entry("s-1", endpoint.address, "single", "SERVING")];
    let node = Node::start_with_faults(&platform, &entries, |_| {}).await;
    // Discovery connects, too: that of the start is over once the figures are there.
    node.metrics().await;
    for error in [ADDRESS_NOT_AVAILABLE, NETWORK_UNREACHABLE, NO_BUFFERS] {
        let id = format!("m{error}");
        node.faults().begin(Fault::always(FaultKind::Connect).with_parameter(error)).unwrap();
        assert_eq!(node.submit(&id, "unsafe", "").await.status(), 202);
        assert!(endpoint.is_idle_for(Duration::from_millis(400)).await);
        node.faults().end(FaultKind::Connect).unwrap();
        let call = timeout(Duration::from_millis(600), endpoint.next_call()).await.expect("no backoff");
        assert_eq!(call.id(), id);
        // The connection is not kept: the next message needs another one.
        call.reply(response("200 OK", "Connection: close\r\n", ""));
    }
}

/// Guards against a start that fails with a socket that cannot be bound for a moment.
#[tokio::test]
async fn a_listener_is_bound_as_soon_as_the_system_allows() {
    let platform = Platform::start().await;
    let mut node = Node::start_with_faults(&platform, &[], |_| {}).await;
    node.kill();
    node.faults().begin(Fault::always(FaultKind::Bind).at_most(6)).unwrap();
    node.launch().await;
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
}

/// Guards against run-time checks that stop what is allowed: after failures, repeats and a restart none has found anything.
#[tokio::test]
async fn run_time_checks_find_nothing() {
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
