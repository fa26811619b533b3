//! The admin endpoint: metrics, maintenance of endpoints, and reloads of the settings.
use super::harness::*;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Guards against metrics that count a message for the wrong process, class or result, and against accepting
/// unknown requests.
#[tokio::test]
async fn metrics_count_each_message_by_class_and_result() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let draining = endpoint_entry("s-9", endpoint.address, "single", "DRAINING");
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING"), draining])
            .await;
    let metrics = node.metrics().await;
    let no_calls = json!({"success": 0, "busy": 0, "failure": 0});
    assert_eq!(metrics["calls"], json!({"keyed": no_calls, "ordered": no_calls, "unsafe": no_calls}));
    assert_eq!((&metrics["hosts_listed"], &metrics["hosts_down"]), (&json!(2), &json!(1)));
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    endpoint.next_call().await.ok();
    assert_eq!(node.submit("m2", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("500 Internal Server Error", "", ""));
    assert_eq!(platform.next_notification().await["id"], json!("m2"));
    assert_eq!(node.submit("m3", "ordered", "k").await.status(), 202);
    let open_call = endpoint.next_call().await;
    let metrics = node.wait_for_metrics("three calls have been sent", |f| f["backend_calls"] == 3).await;
    assert_eq!(metrics["calls"]["keyed"], json!({"success": 1, "busy": 0, "failure": 0}));
    assert_eq!(metrics["calls"]["unsafe"], json!({"success": 0, "busy": 0, "failure": 1}));
    assert_eq!(metrics["inflight"], 1);
    open_call.ok();
    node.wait_for_metrics("all messages have ended", |f| {
        f["inflight"] == 0 && f["calls"]["ordered"]["success"] == 1
    })
    .await;
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
    assert_eq!(
        node.metrics().await["calls"]["keyed"]["success"],
        0,
        "the counts of the killed process were kept"
    );
}

/// Guards against callers that block others by never finishing their requests.
#[tokio::test]
async fn unfinished_requests_do_not_delay_others() {
    let platform = Platform::start().await;
    let node = Node::start(&platform, &[]).await;
    let mut idle_callers = Vec::new();
    for n in 0..40 {
        let mut stream = TcpStream::connect(node.admin_address).await.unwrap();
        if n % 2 == 0 {
            stream
                .write_all(b"POST /maintenance/enter HTTP/1.1\r\nContent-Length: 9\r\n\r\ns")
                .await
                .unwrap();
        }
        idle_callers.push(stream);
    }
    for _ in 0..5 {
        let requested_at = Instant::now();
        assert_eq!(node.admin_request("GET /status", "").await.status(), 200);
        assert!(requested_at.elapsed() < Duration::from_secs(1), "{:?}", requested_at.elapsed());
    }
}

/// Guards against calls to an endpoint in maintenance, after a list update and a kill too, and against an
/// endpoint that stays out after one exit although it was entered twice.
#[tokio::test]
async fn an_endpoint_in_maintenance_receives_no_calls_until_its_exit() {
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
    node.wait_for_metrics("one endpoint is down", |f| f["hosts_down"] == 1).await;
    for n in 0..6 {
        if n == 3 {
            node.kill();
            node.launch().await;
        }
        assert_eq!(node.submit(&format!("m{n}"), "keyed", "").await.status(), 202);
        second.next_call().await.ok();
    }
    assert!(first.is_idle_for(Duration::from_millis(50)).await, "a call to an endpoint in maintenance");
    assert_eq!(node.admin_request("POST /maintenance/exit", "s-1").await.status(), 200);
    assert_eq!(node.admin_request("POST /maintenance/enter", "s-2").await.status(), 200);
    assert_eq!(node.submit("back", "keyed", "").await.status(), 202);
    first.next_call().await.ok();
    assert!(second.is_idle_for(Duration::from_millis(50)).await);
}

/// Guards against applying a part of a faulty configuration, against losing messages whose class is removed,
/// in this process or the next, and against exceeding a lowered limit of attempts.
#[tokio::test]
async fn a_reload_is_applied_completely_and_held_messages_keep_their_class() {
    let (mut endpoint, mut platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "batching", "SERVING")]).await;
    let edited_config = |path: &[&str], value: Option<Value>| {
        let mut config = node.config();
        let (key, parents) = path.split_last().unwrap();
        let container = parents.iter().fold(&mut config, |value, key| match key.parse::<usize>() {
            Ok(index) => &mut value[index],
            Err(_) => &mut value[*key],
        });
        match value {
            Some(value) => container[*key] = value,
            None => drop(container.as_object_mut().unwrap().remove(*key)),
        }
        config.to_string()
    };
    let texts = [
        String::new(),
        node.config().to_string()[..900].to_owned(),
        edited_config(&["limits", "cores"], None),
        edited_config(&["settings", "lanes", "1", "key_ttl"], None),
        edited_config(&["settings", "lanes", "0", "hard_limit"], Some(json!(0))),
        edited_config(&["settings", "lanes", "0", "hard_limit"], Some(json!(-5))),
        edited_config(&["settings", "lanes", "0", "hard_limit"], Some(json!("x"))),
        edited_config(&["settings", "limits", "max_attempts"], Some(json!(0))),
        edited_config(&["settings", "kinds"], Some(json!(["other"]))),
        edited_config(&["settings", "specifics", "decay"], Some(json!("by_thirds"))),
    ];
    for (n, text) in texts.iter().enumerate() {
        node.reload_text(text);
        let failed =
            node.wait_for_metrics("the configuration is rejected", |f| f["reconfig_failed"] == n + 1).await;
        assert_eq!(failed["reconfig_ok"], 0, "{text}");
    }
    // Two messages wait. The reload allows three attempts, which one has used, and removes the classes of
    // both.
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
    let metrics = node.wait_for_metrics("the reload is applied", |f| f["reconfig_ok"] == 1).await;
    assert_eq!(metrics["calls"]["strict"]["success"], 0);
    assert_eq!(platform.next_notification().await["id"], json!("spent"));
    assert_eq!(node.submit("gone", "ordered", "k").await.status(), 400);
    assert_eq!(node.submit("new", "strict", "k").await.status(), 202);
    let open_call = timeout(TEST_TIMEOUT, endpoint.next_call()).await.unwrap();
    assert_eq!(open_call.id(), "old", "messages of a key are sent in the order of their acceptance");
    node.kill();
    drop(open_call);
    node.launch().await;
    // The next process still knows the removed class: its message may be repeated, and is sent first.
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "old");
    call.ok();
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "new");
    call.ok();
}

/// Guards against keeping idle connections by the settings before a reload, for longer than endpoints may
/// keep them now.
#[tokio::test]
async fn a_reload_changes_how_long_idle_connections_are_kept() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut connections = Vec::new();
    for id in ["m1", "m2", "m3"] {
        if id == "m3" {
            node.reload_with(|config| config["settings"]["limits"]["conn_idle"] = json!(1));
            node.wait_for_metrics("the reload is applied", |metrics| metrics["reconfig_ok"] == 1).await;
        }
        assert_eq!(node.submit(id, "keyed", "").await.status(), 202);
        let call = endpoint.next_call().await;
        connections.push(call.connection);
        call.ok();
        node.wait_for_metrics("no message is held", |metrics| metrics["inflight"] == 0).await;
    }
    assert_eq!(connections, [0, 0, 1]);
}
