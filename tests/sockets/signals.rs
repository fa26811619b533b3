//! SIGTERM, SIGHUP and SIGKILL at named bytes: of a client's request, of a call, of a notice.
use super::harness::*;
use super::raw_connections::*;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// No planned end takes longer: the platform kills 3.7 s after SIGTERM.
const KILLED: Duration = Duration::from_millis(3_700);

async fn closing(node: &Node) {
    while node.request("GET /-/ready", "", b"").await.status() == 200 {}
}

/// Guards against a client that is left without an answer as its request is half read at SIGTERM, and against one that is
/// told yes of a message that nobody delivers.
#[tokio::test]
async fn a_request_that_is_half_read_at_sigterm_is_answered() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let text = RawClient::request_text("half", "keyed", "");
    // In the head, and in the body.
    for cut in [20, text.len() - 2] {
        let mut client = RawClient::connect(node.address).await;
        client.send(&text[..cut]).await;
        node.terminate();
        closing(&node).await;
        client.send(&text[cut..]).await;
        let said = client.response().await.expect("an answer").status();
        assert!([202, 503].contains(&said), "{said}");
        if said == 202 {
            let call = endpoint.next_call().await;
            assert_eq!(call.id(), "half");
            call.ok();
        }
        assert!(node.exits_successfully().await);
        assert!(endpoint.is_idle_for(Duration::from_millis(20)).await);
        // What is over stays so: the next is another message.
        std::fs::remove_file(node.journal_path()).unwrap();
        node.launch().await;
    }
}

/// Guards against a message that goes out once more, or a kill that comes before the process ends by itself, as an endpoint
/// stops in the midst of a call at SIGTERM: before its answer for good, or within it and then goes on.
#[tokio::test]
async fn a_call_that_is_out_at_sigterm_ends_as_it_would() {
    let (endpoint, mut platform) = (RawServer::start().await, Platform::start().await);
    // No call is given up before the process ends.
    let patient = |config: &mut serde_json::Value| config["settings"]["lanes"][0]["aim"] = json!(10_000_000);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start_with(&platform, &[entry], patient).await;
    assert_eq!(node.submit("half", "unsafe", "").await.status(), 202);
    let mut connection = endpoint.accept().await;
    assert_eq!(connection.request().await.header("x-txn"), Some("half"));
    node.terminate();
    closing(&node).await;
    let (first, rest) = OK_RESPONSE.split_at(10);
    connection.send(first).await;
    connection.send(rest).await;
    assert!(node.exits_successfully().await, "with nothing owed it ends by itself");
    node.launch().await;
    // One hangs through all of it: its process ends in time, and what may have run is not sent again.
    assert_eq!(node.submit("hangs", "unsafe", "").await.status(), 202);
    let mut connection = endpoint.accept().await;
    assert_eq!(connection.request().await.header("x-txn"), Some("hangs"), "the one before is over");
    let begun = Instant::now();
    node.terminate();
    assert!(node.exits_successfully().await);
    assert!(begun.elapsed() < KILLED, "{:?}", begun.elapsed());
    node.launch().await;
    assert_eq!(platform.next_notification().await, json!({"id": "hangs", "state": "failed"}));
    assert!(endpoint.is_idle_for(Duration::from_millis(50)).await, "it may have run");
}

/// Guards against an end that the platform never hears, as SIGTERM, then SIGHUP, then a kill come while its notice is out.
#[tokio::test]
async fn a_notice_that_is_out_at_the_end_goes_again() {
    let (mut endpoint, mut agent) = (TestServer::start().await, TestServer::start().await);
    let platform = Platform::served_by_test(agent.address);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    // Watches are left without an answer.
    let notice = async |agent: &mut TestServer| {
        let next = async {
            loop {
                let call = agent.next_call().await;
                if call.request.start_line.starts_with("POST /v1/notices") {
                    return call;
                }
            }
        };
        timeout(TEST_TIMEOUT, next).await.expect("a notice")
    };
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    let unanswered = notice(&mut agent).await;
    node.terminate();
    closing(&node).await;
    node.reload(&platform);
    node.kill();
    drop(unanswered);
    node.launch().await;
    let again = notice(&mut agent).await;
    assert_eq!(again.request.json(), json!({"id": "m1", "state": "failed"}));
    again.reply(response("204 No Content", "", ""));
    assert!(endpoint.is_idle_for(Duration::from_millis(50)).await, "it may have run");
}

/// Guards against clients that go on sending on every connection until the kill and hear neither an answer nor a close that
/// tells them that the request never ran; and against a yes of what is then lost.
#[tokio::test]
async fn clients_that_send_until_the_kill_hear_an_answer_or_a_close() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("out", "unsafe", "").await.status(), 202);
    let out = endpoint.next_call().await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        clients.push(RawClient::connect(node.address).await);
    }
    // Several at once on one connection: each answer comes in turn, and none after the one that says it closes.
    let piped: Vec<String> =
        (0..3).map(|n| RawClient::request_text(&format!("piped{n}"), "keyed", "")).collect();
    let mut pipe = RawClient::connect(node.address).await;
    node.terminate();
    pipe.send(&piped.concat()).await;
    let mut taken = vec!["out".to_owned()];
    // Answers may come several in one piece; none comes after the one that says that it closes.
    let said = pipe.read_until_close().await;
    let said: Vec<&str> = said.split("HTTP/1.1 ").skip(1).collect();
    let closes = |said: &&str| said.contains("connection: close");
    assert!(said.iter().position(closes).is_some_and(|at| at + 1 == said.len()), "{said:?}");
    let yes = said.iter().enumerate().filter(|(_, said)| said.starts_with("202"));
    taken.extend(yes.map(|(n, _)| format!("piped{n}")));
    closing(&node).await;
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&RawClient::request_text(&format!("late{n}"), "keyed", "")).await;
        let said = client.response().await.expect("an answer while the process lives");
        assert_eq!(said.header("connection"), Some("close"));
        taken.extend((said.status() == 202).then(|| format!("late{n}")));
    }
    node.kill();
    drop(out);
    node.launch().await;
    let mut came: Vec<String> = Vec::new();
    while came.len() + 1 < taken.len() {
        let call = endpoint.next_call().await;
        if !came.contains(&call.id().to_owned()) {
            came.push(call.id().to_owned());
        }
        call.ok();
    }
    came.push("out".to_owned());
    came.sort();
    taken.sort();
    assert_eq!(came, taken, "all that was said yes to, and nothing else");
}
