//! The operators' door, endpoints taken out by hand, and settings that change.
use super::harness::*;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Guards against figures that count another process, another class or the wrong end, and against a door that says yes
/// to what it does not know.
#[tokio::test]
async fn figures_tell_what_became_of_each_message() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let gone = endpoint_entry("s-9", endpoint.address, "single", "DRAINING");
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING"), gone]).await;
    let metrics = node.metrics().await;
    let none = json!({"success": 0, "busy": 0, "failure": 0});
    assert_eq!(metrics["calls"], json!({"keyed": none, "ordered": none, "unsafe": none}));
    assert_eq!((&metrics["hosts_listed"], &metrics["hosts_down"]), (&json!(2), &json!(1)));
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    endpoint.next_call().await.ok();
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    assert_eq!(platform.next_notification().await["id"], json!("m2"));
    assert_eq!(node.submit("m3", "ordered", "k").await.status(), 202);
    let out = endpoint.next_call().await;
    let metrics = node.wait_for_metrics("three written", |f| f["backend_calls"] == 3).await;
    assert_eq!(metrics["calls"]["keyed"], json!({"success": 1, "busy": 0, "failure": 0}));
    assert_eq!(metrics["calls"]["unsafe"], json!({"success": 0, "busy": 0, "failure": 1}));
    assert_eq!(metrics["inflight"], 1);
    out.ok();
    node.wait_for_metrics("none held", |f| f["inflight"] == 0 && f["calls"]["ordered"]["success"] == 1).await;
    for (what, body, status) in [
        ("GET /status", "", 200),
        ("GET /status/other", "", 404),
        ("POST /status", "", 405),
        ("POST /maintenance/enter", "s-0", 404),
        ("POST /maintenance/exit", "s-0", 404),
        ("POST /maintenance/enter", "", 400),
    ] {
        assert_eq!(node.admin_request(what, body).await.status(), status, "{what} {body}");
    }
    node.kill();
    node.launch().await;
    assert_eq!(node.metrics().await["calls"]["keyed"]["success"], 0, "another process, another count");
}

/// Guards against callers that keep others out by never finishing their calls.
#[tokio::test]
async fn callers_that_never_finish_hold_nobody_up() {
    let platform = Platform::start().await;
    let node = Node::start(&platform, &[]).await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut stream = TcpStream::connect(node.admin_address).await.unwrap();
        if n % 2 == 0 {
            stream
                .write_all(b"POST /maintenance/enter HTTP/1.1\r\nContent-Length: 9\r\n\r\ns")
                .await
                .unwrap();
        }
        silent.push(stream);
    }
    for _ in 0..5 {
        let asked = Instant::now();
        assert_eq!(node.admin_request("GET /status", "").await.status(), 200);
        assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
    }
}

/// Guards against work for an endpoint that is out by hand, whatever the list says and over a kill, and against one that
/// never comes back, or needs as many calls back as it had out.
#[tokio::test]
async fn an_endpoint_that_is_out_by_hand_stays_out() {
    let (mut first, mut second, platform) =
        (TestServer::start().await, TestServer::start().await, Platform::start().await);
    let entries = [
        endpoint_entry("s-1", first.address, "batching", "SERVING"),
        endpoint_entry("s-2", second.address, "batching", "SERVING"),
    ];
    let mut node = Node::start(&platform, &entries).await;
    for _ in 0..2 {
        assert_eq!(node.admin_request("POST /maintenance/enter", "s-1").await.status(), 200);
    }
    platform.update_endpoints(&entries);
    node.wait_for_metrics("one is down", |f| f["hosts_down"] == 1).await;
    for n in 0..6 {
        if n == 3 {
            node.kill();
            node.launch().await;
        }
        assert_eq!(node.submit(&format!("m{n}"), "keyed", "").await.status(), 202);
        second.next_call().await.ok();
    }
    assert!(first.is_idle_for(Duration::from_millis(50)).await, "work for what is out by hand");
    assert_eq!(node.admin_request("POST /maintenance/exit", "s-1").await.status(), 200);
    assert_eq!(node.admin_request("POST /maintenance/enter", "s-2").await.status(), 200);
    assert_eq!(node.submit("back", "keyed", "").await.status(), 202);
    first.next_call().await.ok();
    assert!(second.is_idle_for(Duration::from_millis(50)).await);
}

/// Guards against half a configuration that is taken, a class that vanishes with its messages, in this process or the
/// next, and an attempt too many after the number allowed went down.
#[tokio::test]
async fn settings_change_whole_and_messages_keep_their_class() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]).await;
    let cut = |path: &[&str], value: Option<Value>| {
        let mut config = node.config();
        let (last, above) = path.split_last().unwrap();
        let of = above.iter().fold(&mut config, |of, key| match key.parse::<usize>() {
            Ok(at) => &mut of[at],
            Err(_) => &mut of[*key],
        });
        match value {
            Some(value) => of[*last] = value,
            None => drop(of.as_object_mut().unwrap().remove(*last)),
        }
        config.to_string()
    };
    let texts = [
        String::new(),
        node.config().to_string()[..900].to_owned(),
        cut(&["limits", "cores"], None),
        cut(&["settings", "lanes", "1", "key_ttl"], None),
        cut(&["settings", "lanes", "0", "hard_limit"], Some(json!(0))),
        cut(&["settings", "lanes", "0", "hard_limit"], Some(json!(-5))),
        cut(&["settings", "lanes", "0", "hard_limit"], Some(json!("x"))),
        cut(&["settings", "limits", "max_attempts"], Some(json!(0))),
        cut(&["settings", "kinds"], Some(json!(["other"]))),
        cut(&["settings", "specifics", "decay"], Some(json!("by_thirds"))),
    ];
    for (n, text) in texts.iter().enumerate() {
        node.reload_text(text);
        let failed = node.wait_for_metrics("turned down", |f| f["reconfig_failed"] == n + 1).await;
        assert_eq!(failed["reconfig_ok"], 0, "{text}");
    }
    // Two wait: one has had three attempts, of six; then only three are allowed, and its class is gone.
    assert_eq!(node.submit("spent", "keyed", "").await.status(), 202);
    for _ in 0..3 {
        endpoint.next_call().await.reply(response("503 Service Unavailable", "Retry-After: 0.6\r\n", ""));
    }
    assert_eq!(node.submit("old", "ordered", "k").await.status(), 202);
    node.reload_with(|config| {
        let lanes = config["settings"]["lanes"].as_array_mut().unwrap();
        let mut strict = lanes[2].clone();
        (strict["name"], strict["repeat"]) = (json!("strict"), json!("fragile"));
        *lanes = vec![lanes[0].clone(), strict];
        config["settings"]["limits"]["max_attempts"] = json!(3);
    });
    let metrics = node.wait_for_metrics("taken", |f| f["reconfig_ok"] == 1).await;
    assert_eq!(metrics["calls"]["strict"]["success"], 0);
    assert_eq!(platform.next_notification().await["id"], json!("spent"));
    assert_eq!(node.submit("gone", "ordered", "k").await.status(), 400);
    assert_eq!(node.submit("new", "strict", "k").await.status(), 202);
    let out = timeout(TEST_TIMEOUT, endpoint.next_call()).await.unwrap();
    assert_eq!(out.id(), "old", "in the order in which they were taken");
    node.kill();
    drop(out);
    node.launch().await;
    // The class of before is known to the next process: it may be repeated, and goes first.
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "old");
    call.ok();
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "new");
    call.ok();
}

/// Guards against a connection that is kept by the settings of the start, and met closed by the next call: endpoints close
/// idle ones sooner since the reload.
#[tokio::test]
async fn connections_are_kept_for_as_long_as_the_new_settings_say() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut connections = Vec::new();
    for id in ["m1", "m2", "m3"] {
        if id == "m3" {
            node.reload_with(|config| config["settings"]["limits"]["conn_idle"] = json!(1));
            node.wait_for_metrics("taken", |metrics| metrics["reconfig_ok"] == 1).await;
        }
        assert_eq!(node.submit(id, "keyed", "").await.status(), 202);
        let call = endpoint.next_call().await;
        connections.push(call.connection);
        call.ok();
        node.wait_for_metrics("an end", |metrics| metrics["inflight"] == 0).await;
    }
    assert_eq!(connections, [0, 0, 1]);
}
