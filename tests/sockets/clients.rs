//! The side of the clients.
use super::world::*;
use serde_json::json;
use std::time::Duration;

/// Guards against changing what is carried: id, key and body go on as they came.
#[tokio::test]
async fn a_message_goes_on_unchanged() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.request("GET /-/ready", "", b"").await.status(), 200);
    let headers = "X-Txn: ab12\r\nX-Lane: keyed\r\nX-Org: acme\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n\
                   Idempotency-Key: once\r\n";
    let body = [0, 255, b'\r', b'\n', b'\r', b'\n', 7];
    assert_eq!(node.request("POST /api", headers, &body).await.status(), 202);
    let call = endpoint.call().await;
    assert_eq!(call.http.first, "POST /hook HTTP/1.1");
    assert_eq!((call.id(), call.http.header("idempotency-key")), ("ab12", Some("once")));
    assert_eq!(call.http.body, body);
    let remaining: f64 = call.http.header("x-remaining").unwrap().parse().unwrap();
    assert!(remaining > 0.0 && remaining <= 30.0, "{remaining}");
    call.ok();
}

/// Guards against a panic, or a promise, on input that cannot be understood.
#[tokio::test]
async fn malformed_requests_are_turned_down_one_by_one() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
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
        let answer = node.request("POST /api", &with(name, value), b"body").await;
        assert_eq!(answer.status(), 400, "{name}: {value:?}");
    }
    let fine = with("", None);
    assert_eq!(node.request("POST /api", &fine, &vec![b'x'; 64 * 1024 + 1]).await.status(), 413);
    assert_eq!(node.request("GET /api", &fine, b"").await.status(), 405);
    assert_eq!(node.request("POST /nowhere", &fine, b"").await.status(), 404);
    assert_eq!(node.request("GARBAGE", "", b"").await.status(), 400);
    assert!(endpoint.quiet(Duration::from_millis(100)).await, "a message that was turned down went out");
    assert_eq!(node.request("POST /api", &fine, &vec![b'x'; 64 * 1024]).await.status(), 202);
    endpoint.call().await.ok();
}

/// Guards against holding more than the settings allow: the door refuses, and opens again once messages end.
#[tokio::test]
async fn a_full_house_refuses_at_the_door() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    // Steps are so far apart that the messages gather before the module looks at them.
    let few = |config: &mut serde_json::Value| {
        config["settings"]["limits"]["most_held"] = json!(3);
        config["settings"]["period"] = json!(2_000_000);
    };
    let node = Node::start_with(&platform, &[member], few).await;
    for id in ["m1", "m2", "m3"] {
        assert_eq!(node.hand_in(id, "unsafe", "").await.status(), 202);
    }
    assert_eq!(node.hand_in("m4", "unsafe", "").await.status(), 503);
    // The module sheds one for the next to come; the others are delivered.
    let delivered = [endpoint.call().await, endpoint.call().await];
    assert!(delivered.iter().all(|call| call.id() != "m4"), "a refused message went out");
    delivered.into_iter().for_each(Call::ok);
    let mut n = 5;
    while node.hand_in(&format!("m{n}"), "unsafe", "").await.status() == 503 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        n += 1;
        assert!(n < 400, "the door stayed shut");
    }
    endpoint.call().await.ok();
}

/// Guards against a full disk: the sender refuses what the journal cannot hold, and goes on.
#[tokio::test]
async fn a_full_disk_refuses() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let member = member("s-1", endpoint.address, "single", "SERVING");
    let small = |config: &mut serde_json::Value| config["limits"]["disk_mb"] = json!(0.1);
    let node = Node::start_with(&platform, &[member], small).await;
    let headers = "X-Txn: big\r\nX-Lane: unsafe\r\nX-Remaining: 30\r\nX-Envelope: dest=7\r\n";
    assert_eq!(node.request("POST /api", headers, &[b'x'; 40_000]).await.status(), 503);
    assert_eq!(node.hand_in("small", "unsafe", "").await.status(), 202);
    let call = endpoint.call().await;
    assert_eq!(call.id(), "small");
    call.ok();
}
