//! Requests of clients: valid, malformed, slow and too many.
use super::harness::*;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Reads until the sender closes the connection, and returns all of it.
async fn read_until_close(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut received)).await.expect("no close in time");
    String::from_utf8(received).unwrap()
}

/// Guards against changing a message on its way: ID, idempotency key and body are forwarded as received.
#[tokio::test]
async fn forwards_a_message_unchanged() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    let headers = "X-Txn: ab12\r\nX-Lane: keyed\r\nX-Org: acme\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n\
                   Idempotency-Key: once\r\n";
    let body = [0, 255, b'\r', b'\n', b'\r', b'\n', 7];
    assert_eq!(node.request("POST /api", headers, &body).await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.request.start_line, "POST /hook HTTP/1.1");
    assert_eq!((call.id(), call.request.header("idempotency-key")), ("ab12", Some("once")));
    assert_eq!(call.request.body, body);
    let remaining: f64 = call.request.header("x-remaining").unwrap().parse().unwrap();
    assert!(remaining > 0.0 && remaining <= 30.0, "{remaining}");
    call.ok();
}

/// Guards against a panic on malformed requests, and against accepting them.
#[tokio::test]
async fn refuses_malformed_requests() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let good = [
        ("X-Txn", "m"),
        ("X-Lane", "keyed"),
        ("X-Org", "acme"),
        ("X-Remaining", "5"),
        ("X-Envelope", "dest=7"),
        ("Idempotency-Key", "k"),
    ];
    let with = |name: &str, value: Option<&str>| -> String {
        let fields = good.iter().filter_map(|(n, v)| match (*n == name, value) {
            (true, None) => None,
            (true, Some(other)) => Some(format!("{n}: {other}\r\n")),
            (false, _) => Some(format!("{n}: {v}\r\n")),
        });
        fields.collect()
    };
    let long = "x".repeat(5_000);
    let bad = [
        ("X-Txn", None),
        ("X-Txn", Some(long.as_str())),
        ("X-Txn", Some("\u{e9}")),
        ("X-Lane", None),
        ("X-Lane", Some("no-such-class")),
        ("X-Org", Some("nobody")),
        ("X-Remaining", None),
        ("X-Remaining", Some("soon")),
        ("X-Remaining", Some("NaN")),
        ("X-Remaining", Some("-1")),
        ("X-Remaining", Some("0")),
        ("X-Envelope", None),
        ("X-Envelope", Some("dest=-3")),
        ("X-Envelope", Some("cell=7")),
        ("Idempotency-Key", None),
    ];
    for (name, value) in bad {
        let response = node.request("POST /api", &with(name, value), b"body").await;
        assert_eq!(response.status(), 400, "{name}: {value:?}");
    }
    let valid = with("", None);
    assert_eq!(node.request("POST /api", &valid, &vec![b'x'; 64 * 1024 + 1]).await.status(), 413);
    assert_eq!(node.request("GET /api", &valid, b"").await.status(), 405);
    assert_eq!(node.request("POST /nowhere", &valid, b"").await.status(), 404);
    assert_eq!(node.request("GARBAGE", "", b"").await.status(), 400);
    assert!(endpoint.is_idle_for(Duration::from_millis(100)).await, "a refused message was sent");
    assert_eq!(node.request("POST /api", &valid, &vec![b'x'; 64 * 1024]).await.status(), 202);
    endpoint.next_call().await.ok();
}

/// Guards against holding more messages than the settings allow: further ones are refused until messages end.
#[tokio::test]
async fn refuses_messages_at_the_limit_and_accepts_them_after_others_end() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    // With this period the messages collect before the next decision.
    let small_limit = |config: &mut serde_json::Value| {
        config["settings"]["limits"]["most_held"] = json!(3);
        config["settings"]["period"] = json!(2_000_000);
    };
    let node = Node::start_with(&platform, &[entry], small_limit).await;
    for id in ["m1", "m2", "m3"] {
        assert_eq!(node.submit(id, "unsafe", "").await.status(), 202);
    }
    assert_eq!(node.submit("m4", "unsafe", "").await.status(), 503);
    // One of the held messages is dropped to make room; the others are delivered.
    let delivered = [endpoint.next_call().await, endpoint.next_call().await];
    assert!(delivered.iter().all(|call| call.id() != "m4"), "a refused message was sent");
    delivered.into_iter().for_each(Call::ok);
    let mut n = 5;
    while node.submit(&format!("m{n}"), "unsafe", "").await.status() == 503 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        n += 1;
        assert!(n < 400, "no message was accepted after others had ended");
    }
    endpoint.next_call().await.ok();
}

/// Guards against accepting a message that does not fit into the journal, and against a sender that stops
/// serving then.
#[tokio::test]
async fn refuses_a_message_that_exceeds_the_disk_limit() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let small_disk = |config: &mut serde_json::Value| config["limits"]["disk_mb"] = json!(0.1);
    let node = Node::start_with(&platform, &[entry], small_disk).await;
    let headers = "X-Txn: big\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n";
    assert_eq!(node.request("POST /api", headers, &[b'x'; 40_000]).await.status(), 503);
    assert_eq!(node.submit("small", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "small");
    call.ok();
}

/// Guards against clients that hold a connection forever by sending nothing or an incomplete request, and
/// against a client that is not answered with 413 while it sends a body over the limit.
#[tokio::test]
async fn closes_stalled_clients_and_refuses_oversized_bodies() {
    let platform = Platform::start().await;
    let node = Node::start(&platform, &[]).await;
    let head = "POST /api HTTP/1.1\r\nHost: a\r\n";
    let started = std::time::Instant::now();
    let mut waiting = Vec::new();
    for part in ["", head, &format!("{head}Content-Length: 10\r\n\r\nfive!")] {
        let mut stream = TcpStream::connect(node.address).await.unwrap();
        stream.write_all(part.as_bytes()).await.unwrap();
        waiting.push(stream);
    }
    for mut stream in waiting {
        let received = read_until_close(&mut stream).await;
        assert!(received.is_empty() || received.starts_with("HTTP/1.1 4"), "{received}");
    }
    assert!(started.elapsed() < Duration::from_secs(12), "{:?}", started.elapsed());
    let long = 60_000_000;
    let (read, mut write) = TcpStream::connect(node.address).await.unwrap().into_split();
    write.write_all(format!("{head}Content-Length: {long}\r\n\r\n").as_bytes()).await.unwrap();
    let upload = tokio::spawn(async move {
        let part = vec![b'x'; 1 << 20];
        let mut sent = 0;
        while sent < long && write.write_all(&part).await.is_ok() {
            sent += part.len();
        }
    });
    timeout(TEST_TIMEOUT, upload).await.expect("the upload did not end in time").unwrap();
    let mut stream = read;
    let mut received = [0; 12];
    timeout(TEST_TIMEOUT, stream.read_exact(&mut received)).await.expect("no response in time").unwrap();
    assert_eq!(&received, b"HTTP/1.1 413");
}

/// Guards against request smuggling: a request with both Content-Length and Transfer-Encoding is refused, and
/// nothing of it is sent.
#[tokio::test]
async fn refuses_a_body_with_both_a_length_and_a_transfer_encoding() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let fields = |id| {
        format!(
            "POST /api HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Remaining: 5\r\nX-Envelope: dest=7\r\n"
        )
    };
    let hidden = format!("{}Content-Length: 0\r\n\r\n", fields("hidden"));
    for order in [
        ["Content-Length: 5", "Transfer-Encoding: chunked"],
        ["Transfer-Encoding: chunked", "Content-Length: 5"],
    ] {
        let mut stream = TcpStream::connect(node.address).await.unwrap();
        let request = format!("{}{}\r\n{}\r\n\r\n0\r\n\r\n{hidden}", fields("open"), order[0], order[1]);
        stream.write_all(request.as_bytes()).await.unwrap();
        let received = read_until_close(&mut stream).await;
        assert!(
            received.starts_with("HTTP/1.1 4") && received.matches("HTTP/1.1").count() == 1,
            "{received}"
        );
    }
    assert!(endpoint.is_idle_for(Duration::from_millis(200)).await, "a refused message was sent");
}

/// Guards against idle connections that use up all sockets: some are closed, and new clients are served.
#[tokio::test]
async fn serves_new_clients_among_many_idle_connections() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let small_limit = |config: &mut serde_json::Value| config["limits"]["sockets"] = json!(128);
    let node = Node::start_with(
        &platform,
        &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")],
        small_limit,
    )
    .await;
    let mut idle_clients = Vec::new();
    for n in 0..300 {
        idle_clients.push(TcpStream::connect(node.address).await.unwrap());
        if n % 50 == 0 {
            assert_eq!(node.submit(&format!("m{n}"), "keyed", "").await.status(), 202);
            endpoint.next_call().await.ok();
        }
    }
    assert_eq!(read_until_close(&mut idle_clients[0]).await, "");
}

/// Guards against accepting a message for a destination without listed endpoints, and against delivering a
/// message again whose ID has ended recently.
#[tokio::test]
async fn refuses_unlisted_destinations_and_does_not_resend_known_ids() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let unlisted = "X-Txn: m1\r\nX-Lane: unsafe\r\nX-Remaining: 5\r\nX-Envelope: dest=8\r\n";
    assert_eq!(node.request("POST /api", unlisted, b"").await.status(), 503);
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    // The second message of the key is sent only after the first has ended; m1 has ended by then too.
    for id in ["k1", "k2"] {
        assert_eq!(node.submit(id, "ordered", "k").await.status(), 202);
        endpoint.next_call().await.ok();
    }
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    assert!(endpoint.is_idle_for(Duration::from_millis(300)).await, "a message was sent after it had ended");
}
