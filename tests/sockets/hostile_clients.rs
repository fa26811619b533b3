//! Clients that make the sender hold as much as they can, that send without a pause, or that leave.
use super::handover::take_over_unconfirmed;
use super::harness::*;
use serde_json::json;
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
