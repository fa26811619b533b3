//! Clients that make the sender hold as much as they can, that send without a pause, or that leave.
use super::handover::take_over_unconfirmed;
use super::harness::*;
use super::raw_connections::RawClient;
use serde_json::json;
use std::io::{Read, Write};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// The memory limit of the sender, in megabytes.
const MEMORY_MB: u64 = 32;
/// Clients that send large requests at the same time.
const LARGE_REQUESTS: usize = 315;
/// So many of them are sent before the process has read them.
const REQUESTS_AT_ONCE: usize = 20;

/// Returns the greatest size that the process of `node` has had in memory, in kilobytes.
fn peak_memory_kb(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.pid())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

fn small_machine(config: &mut serde_json::Value) {
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
}

/// Returns a request with many short header fields and a large body.
fn large_request(id: usize) -> Vec<u8> {
    let fields: String = (0..85).map(|field| format!("a{field}: b\r\n")).collect();
    let mut request = format!(
        "POST /api HTTP/1.1\r\nHost: a\r\n{fields}X-Txn: large-{id}\r\nX-Lane: keyed\r\nX-Remaining: 30\r\n\
         X-Envelope: dest=7\r\nIdempotency-Key: {id}\r\nContent-Length: 64000\r\n\r\n"
    );
    request.push_str(&"x".repeat(64_000));
    request.into_bytes()
}

/// Guards against a process that passes its memory limit because requests that were read completely no longer
/// count: hundreds of large ones wait for a response during a handover.
#[tokio::test]
async fn large_requests_that_wait_for_a_response_stay_within_the_memory_limit() {
    let platform = Platform::start().await;
    let node = Node::start_with(&platform, &[], small_machine).await;
    let mut clients = Vec::new();
    for _ in 0..LARGE_REQUESTS {
        let mut client = TcpStream::connect(node.address).await.unwrap();
        client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        assert_eq!(HttpMessage::read(&mut client).await.unwrap().status(), 200);
        clients.push(client);
    }
    let _new_process = take_over_unconfirmed(&node).await;
    let mut responses = JoinSet::new();
    for (id, mut client) in clients.into_iter().enumerate() {
        client.write_all(&large_request(id)).await.unwrap();
        if id % REQUESTS_AT_ONCE == 0 {
            // The process has read what was sent before, once it has responded to this.
            assert_eq!(node.admin_request("GET /status", "").await.status(), 503);
        }
        responses.spawn(async move {
            timeout(TEST_TIMEOUT, HttpMessage::read(&mut client))
                .await
                .expect("no response")
                .unwrap()
                .status()
        });
    }
    while let Some(status) = responses.join_next().await {
        let status = status.unwrap();
        assert!(status >= 500, "a request was answered with {status} during the handover");
    }
    let peak = peak_memory_kb(&node);
    assert!(peak * 1024 < MEMORY_MB * 1_000_000, "{peak} kB");
}

/// A request that the process answers at once.
const READY_REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\n\r\n";
/// Requests that another client makes while one sends without a pause.
const OTHER_REQUESTS: usize = 60;
/// The responses to the client without a pause in that time. If it is served until the system reports other
/// input, after 61 polls with 16 requests each, it gets 58,560.
const MAX_RESPONSES: usize = 20_000;

/// Guards against a client that sends small requests on one connection without a pause, and keeps the process
/// from seeing the requests of all others.
#[tokio::test]
async fn a_client_that_sends_without_a_pause_gets_its_share_of_turns() {
    let platform = Platform::start().await;
    let node = Node::start_with(&platform, &[], small_machine).await;
    let greedy = std::net::TcpStream::connect(node.address).unwrap();
    let (mut requests, mut responses) = (greedy.try_clone().unwrap(), greedy.try_clone().unwrap());
    let writer = std::thread::spawn(move || {
        let many = READY_REQUEST.repeat(600);
        while requests.write_all(&many).is_ok() {}
    });
    let received = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counter = received.clone();
    let reader = std::thread::spawn(move || {
        let mut buffer = vec![0; 1 << 20];
        while let Ok(bytes @ 1..) = responses.read(&mut buffer) {
            let is_start_of_response = |bytes: &&[u8]| bytes == b"HTTP";
            let count = buffer[..bytes].windows(4).filter(is_start_of_response).count();
            counter.fetch_add(count, std::sync::atomic::Ordering::Relaxed);
        }
    });
    while received.load(std::sync::atomic::Ordering::Relaxed) < 5_000 {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    let mut other = TcpStream::connect(node.address).await.unwrap();
    let mut counts = Vec::new();
    for _ in 0..=OTHER_REQUESTS {
        other.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        assert_eq!(HttpMessage::read(&mut other).await.unwrap().status(), 200);
        counts.push(received.load(std::sync::atomic::Ordering::Relaxed));
    }
    greedy.shutdown(std::net::Shutdown::Both).unwrap();
    writer.join().unwrap();
    reader.join().unwrap();
    let served = counts[OTHER_REQUESTS] - counts[0];
    assert!(served <= MAX_RESPONSES, "{served} responses while another client got {OTHER_REQUESTS}");
}

/// Sends a signal to the process of `node`.
fn signal(node: &Node, name: &str) {
    let kill = format!("kill -{name} {}", node.pid());
    assert!(std::process::Command::new("sh").args(["-c", &kill]).status().unwrap().success());
}

/// Guards against sending messages of clients that had closed their connections before the process read the
/// requests, and against a second effect when such a client submits its message again elsewhere.
#[tokio::test]
async fn unread_requests_on_closed_connections_are_not_sent() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let request = |id: &str| RawClient::request_text(id, "unsafe", "");
    let mut kept = TcpStream::connect(node.address).await.unwrap();
    kept.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    assert_eq!(HttpMessage::read(&mut kept).await.unwrap().status(), 200);
    signal(&node, "STOP");
    // The clients are not accepted, or accepted and not read, before they leave.
    for client in 0..10 {
        let mut leaving = TcpStream::connect(node.address).await.unwrap();
        leaving.write_all(request(&format!("left-{client}")).as_bytes()).await.unwrap();
    }
    let pipelined: String = (0..10).map(|number| request(&format!("pipelined-{number}"))).collect();
    kept.write_all(pipelined.as_bytes()).await.unwrap();
    drop(kept);
    signal(&node, "CONT");
    let mut responded = Vec::new();
    for id in ["left-0", "pipelined-9", "new"] {
        responded.push(node.submit(id, "unsafe", "").await.status());
    }
    assert_eq!(responded, [202, 202, 202]);
    let mut sent = Vec::new();
    for _ in 0..3 {
        let call = endpoint.next_call().await;
        sent.push(call.id().to_owned());
        call.ok();
    }
    sent.sort();
    assert_eq!(sent, ["left-0", "new", "pipelined-9"], "only what was submitted again is sent");
    assert!(
        endpoint.is_idle_for(std::time::Duration::from_millis(300)).await,
        "a message was sent without a client"
    );
}
