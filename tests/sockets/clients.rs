//! The side of the clients.
use super::harness::*;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What the sender says on the connection until it closes it.
async fn last_words(stream: &mut TcpStream) -> String {
    let mut said = Vec::new();
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut said)).await.expect("a close");
    String::from_utf8(said).unwrap()
}

/// Guards against changing what is carried: id, key and body go on as they came.
#[tokio::test]
async fn a_message_goes_on_unchanged() {
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

/// Guards against a panic, or a promise, on input that cannot be understood.
#[tokio::test]
async fn malformed_requests_are_turned_down_one_by_one() {
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
    let fine = with("", None);
    assert_eq!(node.request("POST /api", &fine, &vec![b'x'; 64 * 1024 + 1]).await.status(), 413);
    assert_eq!(node.request("GET /api", &fine, b"").await.status(), 405);
    assert_eq!(node.request("POST /nowhere", &fine, b"").await.status(), 404);
    assert_eq!(node.request("GARBAGE", "", b"").await.status(), 400);
    assert!(
        endpoint.is_idle_for(Duration::from_millis(100)).await,
        "a message that was turned down went out"
    );
    assert_eq!(node.request("POST /api", &fine, &vec![b'x'; 64 * 1024]).await.status(), 202);
    endpoint.next_call().await.ok();
}

/// Guards against holding more than the settings allow: the door refuses, and opens again once messages end.
#[tokio::test]
async fn a_full_house_refuses_at_the_door() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    // Steps are so far apart that the messages gather before the module looks at them.
    let few = |config: &mut serde_json::Value| {
        config["settings"]["limits"]["most_held"] = json!(3);
        config["settings"]["period"] = json!(2_000_000);
    };
    let node = Node::start_with(&platform, &[entry], few).await;
    for id in ["m1", "m2", "m3"] {
        assert_eq!(node.submit(id, "unsafe", "").await.status(), 202);
    }
    assert_eq!(node.submit("m4", "unsafe", "").await.status(), 503);
    // The module sheds one for the next to come; the others are delivered.
    let delivered = [endpoint.next_call().await, endpoint.next_call().await];
    assert!(delivered.iter().all(|call| call.id() != "m4"), "a refused message went out");
    delivered.into_iter().for_each(Call::ok);
    let mut n = 5;
    while node.submit(&format!("m{n}"), "unsafe", "").await.status() == 503 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        n += 1;
        assert!(n < 400, "the door stayed shut");
    }
    endpoint.next_call().await.ok();
}

/// Guards against a full disk: the sender refuses what the journal cannot hold, and goes on.
#[tokio::test]
async fn a_full_disk_refuses() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let small = |config: &mut serde_json::Value| config["limits"]["disk_mb"] = json!(0.1);
    let node = Node::start_with(&platform, &[entry], small).await;
    let headers = "X-Txn: big\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n";
    assert_eq!(node.request("POST /api", headers, &[b'x'; 40_000]).await.status(), 503);
    assert_eq!(node.submit("small", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "small");
    call.ok();
}

/// Guards against clients that wait for ever: one that says nothing, a head or a body that does not go on, and
/// a body far too long each get an error or a close soon, and the last hears the error though it still sends.
#[tokio::test]
async fn clients_that_do_not_go_on_are_let_go() {
    let platform = Platform::start().await;
    let node = Node::start(&platform, &[]).await;
    let head = "POST /api HTTP/1.1\r\nHost: a\r\n";
    let begun = std::time::Instant::now();
    let mut waiting = Vec::new();
    for part in ["", head, &format!("{head}Content-Length: 10\r\n\r\nfive!")] {
        let mut stream = TcpStream::connect(node.address).await.unwrap();
        stream.write_all(part.as_bytes()).await.unwrap();
        waiting.push(stream);
    }
    for mut stream in waiting {
        let said = last_words(&mut stream).await;
        assert!(said.is_empty() || said.starts_with("HTTP/1.1 4"), "{said}");
    }
    assert!(begun.elapsed() < Duration::from_secs(12), "{:?}", begun.elapsed());
    let long = 60_000_000;
    let (read, mut write) = TcpStream::connect(node.address).await.unwrap().into_split();
    write.write_all(format!("{head}Content-Length: {long}\r\n\r\n").as_bytes()).await.unwrap();
    let sending = tokio::spawn(async move {
        let part = vec![b'x'; 1 << 20];
        let mut sent = 0;
        while sent < long && write.write_all(&part).await.is_ok() {
            sent += part.len();
        }
    });
    timeout(TEST_TIMEOUT, sending).await.expect("an end of the sending").unwrap();
    let mut stream = read;
    let mut said = [0; 12];
    timeout(TEST_TIMEOUT, stream.read_exact(&mut said)).await.expect("an answer").unwrap();
    assert_eq!(&said, b"HTTP/1.1 413");
}

/// Guards against a second request hidden in a body: with a length and a coding, each side may read another
/// body out of the same bytes. Nothing of it goes on.
#[tokio::test]
async fn a_body_of_two_lengths_is_turned_down() {
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
        let said = last_words(&mut stream).await;
        assert!(said.starts_with("HTTP/1.1 4") && said.matches("HTTP/1.1").count() == 1, "{said}");
    }
    assert!(
        endpoint.is_idle_for(Duration::from_millis(200)).await,
        "a message that was turned down went out"
    );
}

/// Guards against a house full of connections that ask nothing: they make room, and newcomers are served.
#[tokio::test]
async fn a_house_full_of_silent_clients_serves_newcomers() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let few = |config: &mut serde_json::Value| config["limits"]["sockets"] = json!(128);
    let node =
        Node::start_with(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")], few)
            .await;
    let mut silent = Vec::new();
    for n in 0..300 {
        silent.push(TcpStream::connect(node.address).await.unwrap());
        if n % 50 == 0 {
            assert_eq!(node.submit(&format!("m{n}"), "keyed", "").await.status(), 202);
            endpoint.next_call().await.ok();
        }
    }
    assert_eq!(last_words(&mut silent[0]).await, "");
}

/// Guards against taking on what can never be delivered, and against delivering once more what is over: a
/// destination that nobody lists is refused, and the id of a message that ended is known for a while.
#[tokio::test]
async fn unknown_destinations_and_known_ids_go_nowhere() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let elsewhere = "X-Txn: m1\r\nX-Lane: unsafe\r\nX-Remaining: 5\r\nX-Envelope: dest=8\r\n";
    assert_eq!(node.request("POST /api", elsewhere, b"").await.status(), 503);
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    // The next of a key goes out only when the one before is over; so is the first message by then.
    for id in ["k1", "k2"] {
        assert_eq!(node.submit(id, "ordered", "k").await.status(), 202);
        endpoint.next_call().await.ok();
    }
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    assert!(endpoint.is_idle_for(Duration::from_millis(300)).await, "a message went out after its end");
}
