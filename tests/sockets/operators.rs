//! The operators' door, endpoints taken out by hand, and settings that change.
use super::world::*;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Guards against figures that count another process, another class or the wrong end, and against a door that says yes
/// to what it does not know.
#[tokio::test]
async fn figures_tell_what_became_of_each_message() {
    let (mut endpoint, mut platform) = (Peer::start().await, Platform::start().await);
    let gone = member("s-9", endpoint.address, "single", "DRAINING");
    let mut node =
        Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING"), gone]).await;
    let figures = node.figures().await;
    let none = json!({"success": 0, "busy": 0, "failure": 0});
    assert_eq!(figures["calls"], json!({"keyed": none, "ordered": none, "unsafe": none}));
    assert_eq!((&figures["hosts_listed"], &figures["hosts_down"]), (&json!(2), &json!(1)));
    assert_eq!(node.hand_in("m1", "keyed", "").await.status(), 202);
    endpoint.call().await.ok();
    assert_eq!(node.hand_in("m2", "unsafe", "").await.status(), 202);
    endpoint.call().await.reply(answer("500 Internal Server Error", "", ""));
    assert_eq!(platform.notice().await["id"], json!("m2"));
    assert_eq!(node.hand_in("m3", "ordered", "k").await.status(), 202);
    let out = endpoint.call().await;
    let figures = node.figures_where("three written", |f| f["backend_calls"] == 3).await;
    assert_eq!(figures["calls"]["keyed"], json!({"success": 1, "busy": 0, "failure": 0}));
    assert_eq!(figures["calls"]["unsafe"], json!({"success": 0, "busy": 0, "failure": 1}));
    assert_eq!(figures["inflight"], 1);
    out.ok();
    node.figures_where("none held", |f| f["inflight"] == 0 && f["calls"]["ordered"]["success"] == 1).await;
    for (what, body, status) in [
        ("GET /status", "", 200),
        ("GET /status/other", "", 404),
        ("POST /status", "", 405),
        ("POST /maintenance/enter", "s-0", 404),
        ("POST /maintenance/exit", "s-0", 404),
        ("POST /maintenance/enter", "", 400),
    ] {
        assert_eq!(node.operator(what, body).await.status(), status, "{what} {body}");
    }
    node.kill();
    node.begin().await;
    assert_eq!(node.figures().await["calls"]["keyed"]["success"], 0, "another process, another count");
}

/// Guards against callers that keep others out by never finishing their calls.
#[tokio::test]
async fn callers_that_never_finish_hold_nobody_up() {
    let platform = Platform::start().await;
    let node = Node::start(&platform, &[]).await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut stream = TcpStream::connect(node.management).await.unwrap();
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
        assert_eq!(node.operator("GET /status", "").await.status(), 200);
        assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
    }
}

/// Guards against work for an endpoint that is out by hand, whatever the list says and over a kill, and against one that
/// never comes back, or needs as many calls back as it had out.
#[tokio::test]
async fn an_endpoint_that_is_out_by_hand_stays_out() {
    let (mut first, mut second, platform) =
        (Peer::start().await, Peer::start().await, Platform::start().await);
    let members = [
        member("s-1", first.address, "batching", "SERVING"),
        member("s-2", second.address, "batching", "SERVING"),
    ];
    let mut node = Node::start(&platform, &members).await;
    for _ in 0..2 {
        assert_eq!(node.operator("POST /maintenance/enter", "s-1").await.status(), 200);
    }
    platform.tell(&members);
    node.figures_where("one is down", |f| f["hosts_down"] == 1).await;
    for n in 0..6 {
        if n == 3 {
            node.kill();
            node.begin().await;
        }
        assert_eq!(node.hand_in(&format!("m{n}"), "keyed", "").await.status(), 202);
        second.call().await.ok();
    }
    assert!(first.quiet(Duration::from_millis(50)).await, "work for what is out by hand");
    assert_eq!(node.operator("POST /maintenance/exit", "s-1").await.status(), 200);
    assert_eq!(node.operator("POST /maintenance/enter", "s-2").await.status(), 200);
    assert_eq!(node.hand_in("back", "keyed", "").await.status(), 202);
    first.call().await.ok();
    assert!(second.quiet(Duration::from_millis(50)).await);
}

/// Guards against half a configuration that is taken, a class that vanishes with its messages, in this process or the
/// next, and an attempt too many after the number allowed went down.
#[tokio::test]
async fn settings_change_whole_and_messages_keep_their_class() {
    let (mut endpoint, mut platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "batching", "SERVING")]).await;
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
        let failed = node.figures_where("turned down", |f| f["reconfig_failed"] == n + 1).await;
        assert_eq!(failed["reconfig_ok"], 0, "{text}");
    }
    // Two wait: one has had three attempts, of six; then only three are allowed, and its class is gone.
    assert_eq!(node.hand_in("spent", "keyed", "").await.status(), 202);
    for _ in 0..3 {
        endpoint.call().await.reply(answer("503 Service Unavailable", "Retry-After: 0.6\r\n", ""));
    }
    assert_eq!(node.hand_in("old", "ordered", "k").await.status(), 202);
    node.reload_changed(|config| {
        let lanes = config["settings"]["lanes"].as_array_mut().unwrap();
        let mut strict = lanes[2].clone();
        (strict["name"], strict["repeat"]) = (json!("strict"), json!("fragile"));
        *lanes = vec![lanes[0].clone(), strict];
        config["settings"]["limits"]["max_attempts"] = json!(3);
    });
    let figures = node.figures_where("taken", |f| f["reconfig_ok"] == 1).await;
    assert_eq!(figures["calls"]["strict"]["success"], 0);
    assert_eq!(platform.notice().await["id"], json!("spent"));
    assert_eq!(node.hand_in("gone", "ordered", "k").await.status(), 400);
    assert_eq!(node.hand_in("new", "strict", "k").await.status(), 202);
    let out = timeout(PATIENCE, endpoint.call()).await.unwrap();
    assert_eq!(out.id(), "old", "in the order in which they were taken");
    node.kill();
    drop(out);
    node.begin().await;
    // The class of before is known to the next process: it may be repeated, and goes first.
    let call = endpoint.call().await;
    assert_eq!(call.id(), "old");
    call.ok();
    let call = endpoint.call().await;
    assert_eq!(call.id(), "new");
    call.ok();
}

/// Guards against a connection that is kept by the settings of the start, and met closed by the next call: endpoints close
/// idle ones sooner since the reload.
#[tokio::test]
async fn connections_are_kept_for_as_long_as_the_new_settings_say() {
    let (mut endpoint, platform) = (Peer::start().await, Platform::start().await);
    let mut node = Node::start(&platform, &[member("s-1", endpoint.address, "single", "SERVING")]).await;
    let mut connections = Vec::new();
    for id in ["m1", "m2", "m3"] {
        if id == "m3" {
            node.reload_changed(|config| config["settings"]["limits"]["conn_idle"] = json!(1));
            node.figures_where("taken", |figures| figures["reconfig_ok"] == 1).await;
        }
        assert_eq!(node.hand_in(id, "keyed", "").await.status(), 202);
        let call = endpoint.call().await;
        connections.push(call.connection);
        call.ok();
        node.figures_where("an end", |figures| figures["inflight"] == 0).await;
    }
    assert_eq!(connections, [0, 0, 1]);
}
