//! Handovers: a new process takes over from the running one.
use super::harness::*;
use super::raw_connections::RawClient;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{Instant, timeout};

/// Guards against a handover that loses, duplicates or reorders messages, forgets a requested wait or an
/// endpoint in maintenance, or leaves a client of the old process without a response.
#[tokio::test]
async fn a_handover_keeps_messages_waits_maintenance_and_clients() {
    let (mut first, mut second, platform) =
        (TestServer::start().await, TestServer::start().await, Platform::start().await);
    let entries = [
        endpoint_entry("s-1", first.address, "batching", "SERVING"),
        endpoint_entry("s-2", second.address, "batching", "SERVING"),
    ];
    let mut node = Node::start(&platform, &entries).await;
    // s-1 is in maintenance, and s-2 requests a wait that is longer than the handover.
    assert_eq!(node.admin_request("POST /maintenance/enter", "s-1").await.status(), 200);
    assert_eq!(node.submit("told", "keyed", "").await.status(), 202);
    let responded_at = Instant::now();
    second.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 4\r\n", ""));
    node.wait_for_metrics("both endpoints are down", |f| f["hosts_down"] == 2).await;
    for id in ["k1", "k2", "k3"] {
        assert_eq!(node.submit(id, "ordered", "k").await.status(), 202);
    }
    let mut idle_client = TcpStream::connect(node.address).await.unwrap();
    idle_client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    assert_eq!(HttpMessage::read(&mut idle_client).await.unwrap().status(), 200);
    let mut old = node.replace().await;
    assert!(
        first.is_idle_for(Duration::from_millis(50)).await,
        "the new process called an endpoint in maintenance"
    );
    assert_eq!(node.admin_request("GET /status", "").await.status(), 200);
    assert_eq!(old.admin_request("GET /status", "").await.status(), 503);
    // The old process forwards the request of a client that is still connected, and closes its connection.
    idle_client
        .write_all(
            b"POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: late\r\nX-Lane: keyed\r\nX-Remaining: 30\r\n\
              X-Envelope: dest=7\r\nIdempotency-Key: i\r\nContent-Length: 4\r\n\r\nlate",
        )
        .await
        .unwrap();
    let forwarded = HttpMessage::read(&mut idle_client).await.expect("no response from the new process");
    assert_eq!((forwarded.status(), forwarded.header("connection")), (202, Some("close")));
    assert_eq!(node.submit("k4", "ordered", "k").await.status(), 202);
    assert!(old.exits_successfully().await, "the old process must exit once its last client is gone");
    let mut delivered = Vec::new();
    while delivered.len() < 6 {
        let call = second.next_call().await;
        assert!(
            responded_at.elapsed() >= Duration::from_secs(4),
            "a call before the end of the requested wait"
        );
        let mut ids: Vec<String> = match call.request.header("x-txn") {
            Some(id) => vec![id.to_owned()],
            None => {
                let items = call.request.json();
                items.as_array().unwrap().iter().map(|i| i["id"].as_str().unwrap().to_owned()).collect()
            }
        };
        let results: Vec<_> = ids.iter().map(|id| serde_json::json!({"id": id, "state": "ok"})).collect();
        call.reply(response("200 OK", "", &serde_json::json!(results).to_string()));
        delivered.append(&mut ids);
    }
    let of_key: Vec<_> = delivered.iter().filter(|id| id.starts_with('k')).collect();
    assert_eq!(of_key, ["k1", "k2", "k3", "k4"]);
    delivered.sort();
    assert_eq!(delivered, ["k1", "k2", "k3", "k4", "late", "told"]);
    assert!(second.is_idle_for(Duration::from_millis(300)).await, "a message was sent twice");
}

/// Guards against two concurrent calls with a message: its call is open during the handover, and is closed
/// before the new process sends it again.
#[tokio::test]
async fn closes_a_call_that_outlasts_the_handover_before_sending_it_again() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("slow", "keyed", "").await.status(), 202);
    let open_call = endpoint.next_call().await;
    let mut old = node.replace().await;
    assert!(old.exits_successfully().await);
    let second_call = endpoint.next_call().await;
    assert_eq!(
        (second_call.id(), second_call.request.header("idempotency-key")),
        ("slow", Some("idem-slow"))
    );
    assert_ne!(second_call.connection, open_call.connection);
    second_call.ok();
    node.wait_for_metrics("the message is delivered once", |f| f["calls"]["keyed"]["success"] == 1).await;
}

/// Guards against a sender without a working process after the new process ends at any point of the handover,
/// or after an unknown client connects to the handover socket.
#[tokio::test]
async fn the_old_process_continues_after_a_failed_handover() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    for (n, hello) in
        ["", "micadrum", "micadrum handover 9", "GET / HTTP/1.1\r\n\r\n....."].iter().enumerate()
    {
        let mut unknown_client = connect_to_handover(&node).await;
        unknown_client.write_all(hello.as_bytes()).await.unwrap();
        assert_eq!(node.submit(&format!("s{n}"), "keyed", "").await.status(), 202);
        endpoint.next_call().await.ok();
    }
    // The new process ends before it reads, after the length with the listening socket, or after a part of
    // the payload.
    for (n, read_lengths) in [vec![], vec![8], vec![8, 56]].into_iter().enumerate() {
        let mut new_process = connect_to_handover(&node).await;
        new_process.write_all(b"micadrum handover 2").await.unwrap();
        for bytes in read_lengths {
            let read = timeout(TEST_TIMEOUT, new_process.read_exact(&mut vec![0; bytes])).await;
            read.expect("no handover payload in time").unwrap();
        }
        drop(new_process);
        let id = format!("m{n}");
        let mut attempts = 0;
        // Clients wait or are refused until the old process has resumed.
        while node.submit(&id, "keyed", "").await.status() != 202 {
            attempts += 1;
            assert!(attempts < 100, "{id} was not accepted");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let call = endpoint.next_call().await;
        assert_eq!(call.id(), id);
        call.ok();
    }
    let metrics = node.wait_for_metrics("all messages are delivered", |f| f["inflight"] == 0).await;
    assert_eq!(metrics["hosts_listed"], 1);
    assert_eq!(metrics["calls"]["keyed"]["success"], 7, "the process must keep its counts");
}

/// Guards against forgetting a wait that is requested while the old process waits for its open calls before
/// the handover.
#[tokio::test]
async fn keeps_a_wait_requested_during_a_failed_handover() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    // With this period the response and the start of the handover fall between two decisions.
    let slow = |config: &mut serde_json::Value| config["settings"]["period"] = serde_json::json!(500_000);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[entry], slow).await;
    assert_eq!(node.submit("told", "keyed", "").await.status(), 202);
    let call = endpoint.next_call().await;
    let mut new_process = connect_to_handover(&node).await;
    new_process.write_all(b"micadrum handover 2").await.unwrap();
    // By now the old process waits for the open call.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let responded_at = Instant::now();
    call.reply(response("429 Too Many Requests", "Retry-After: 3\r\n", ""));
    timeout(TEST_TIMEOUT, new_process.read_exact(&mut [0; 8]))
        .await
        .expect("no handover payload in time")
        .unwrap();
    drop(new_process);
    let call = endpoint.next_call().await;
    assert!(responded_at.elapsed() >= Duration::from_secs(3), "after {:?}", responded_at.elapsed());
    call.ok();
}

/// Plays a new process that has received the start of the handover payload and has not confirmed it.
pub async fn take_over_unconfirmed(node: &Node) -> UnixStream {
    let mut new_process = connect_to_handover(node).await;
    new_process.write_all(b"micadrum handover 2").await.unwrap();
    timeout(TEST_TIMEOUT, new_process.read_exact(&mut [0; 8]))
        .await
        .expect("no handover payload in time")
        .unwrap();
    new_process
}

/// Connects to the handover socket, which exists shortly before the process listens on it.
async fn connect_to_handover(node: &Node) -> UnixStream {
    let socket = node.journal_path().with_file_name("handover.sock");
    let connected = timeout(TEST_TIMEOUT, async {
        loop {
            match UnixStream::connect(&socket).await {
                Ok(stream) => return stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    });
    connected.await.expect("no process accepted a connection to the handover socket")
}

/// Guards against ignoring a SIGHUP that arrives during a handover in which the new process ends early.
#[tokio::test]
async fn applies_a_sighup_received_during_a_failed_handover() {
    let (endpoint, mut other) = (TestServer::start().await, TestServer::start().await);
    let platform = Platform::start().await;
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let new_process = take_over_unconfirmed(&node).await;
    node.reload(&Platform::served_by_test(other.address));
    // Leave time for the signal to arrive during the handover.
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(new_process);
    let call = other.next_call().await;
    assert!(call.request.start_line.starts_with("GET /api/targets"), "{}", call.request.start_line);
    node.wait_for_metrics("the reload is applied", |metrics| metrics["reconfig_ok"] == 1).await;
}

/// Guards against an exit without responses to clients after a SIGTERM that arrives during a handover in
/// which the new process ends early.
#[tokio::test]
async fn shuts_down_gracefully_after_a_sigterm_during_a_failed_handover() {
    let (endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let new_process = take_over_unconfirmed(&node).await;
    let responded_at = Instant::now();
    node.terminate();
    let mut client = RawClient::connect(node.address).await;
    client.send(&RawClient::request_text("m1", "keyed", "")).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(new_process);
    let client_response = client.response().await.expect("the connection ended without a response");
    assert!([202, 503].contains(&client_response.status()), "{}", client_response.start_line);
    drop(client);
    assert!(node.exits_successfully().await);
    assert!(
        responded_at.elapsed() < Duration::from_millis(3_700),
        "exited only {:?} after SIGTERM",
        responded_at.elapsed()
    );
}

/// Returns the number of connections to a Unix socket, without its listener.
fn connection_count(socket: &std::path::Path) -> usize {
    let all = std::fs::read_to_string("/proc/net/unix").unwrap();
    all.lines().filter(|line| line.ends_with(socket.to_str().unwrap())).count().saturating_sub(1)
}

/// Guards against a new process that misses a configuration change: the old process receives the SIGHUP,
/// before or after it hands over.
#[tokio::test]
async fn the_new_process_applies_a_sighup_sent_to_the_old_one() {
    for after_handover in [false, true] {
        let (mut endpoint, mut other) = (TestServer::start().await, TestServer::start().await);
        let platform = Platform::start().await;
        let mut node =
            Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
        let (pid, socket) = (node.pid(), node.journal_path().with_file_name("handover.sock"));
        // An idle client keeps the old process running, and an open call delays the handover by a second.
        let mut idle_client = TcpStream::connect(node.address).await.unwrap();
        idle_client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        assert_eq!(HttpMessage::read(&mut idle_client).await.unwrap().status(), 200);
        assert_eq!(node.submit("slow", "keyed", "").await.status(), 202);
        let open_call = endpoint.next_call().await;
        let mut config = node.config();
        config["discovery"] = serde_json::json!(other.address.to_string());
        let file = node.state_path("config.json");
        let send_sighup = || {
            std::fs::write(&file, config.to_string()).unwrap();
            let sent = std::process::Command::new("sh").args(["-c", &format!("kill -HUP {pid}")]).status();
            assert!(sent.unwrap().success());
        };
        let signal_during_handover = async {
            while connection_count(&socket) == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            if !after_handover {
                send_sighup();
            }
        };
        let (mut old, ()) = tokio::join!(node.replace(), signal_during_handover);
        if after_handover {
            send_sighup();
        }
        let call = timeout(TEST_TIMEOUT, async {
            loop {
                let call = other.next_call().await;
                if call.request.start_line.starts_with("GET /api/targets") {
                    return call;
                }
            }
        });
        // The old process may have sent a watch to the new address as well, before the handover.
        let first = call.await.expect("no watch at the new address in time");
        node.wait_for_metrics("the reload is applied once", |metrics| metrics["reconfig_ok"] == 1).await;
        drop((first, open_call, idle_client));
        assert!(old.exits_successfully().await);
        // The exit of the old process causes no second reload.
        let call = endpoint.next_call().await;
        assert_eq!(call.id(), "slow");
        call.ok();
        let metrics =
            node.wait_for_metrics("the message is delivered", |f| f["calls"]["keyed"]["success"] == 1).await;
        assert_eq!(metrics["reconfig_ok"], 1);
    }
}

/// Guards against two processes that use one journal: a process that can neither lock the state folder nor
/// take it over changes nothing, and exits with an error after a timeout.
#[tokio::test]
async fn a_locked_state_folder_is_left_unchanged() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    let open_call = endpoint.next_call().await;
    node.kill();
    drop(open_call);
    // The test holds the lock, and there is no handover socket to connect to.
    let file = std::fs::File::options().write(true).open(node.state_path("lock")).unwrap();
    rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive).unwrap();
    let journal = std::fs::read(node.journal_path()).unwrap();
    let (code, log) = node.launch_expecting_exit().await;
    assert_eq!(code, Some(1));
    assert!(log.contains("another process is running in this folder"), "{log}");
    assert_eq!(std::fs::read(node.journal_path()).unwrap(), journal, "the journal was changed");
    assert!(endpoint.is_idle_for(Duration::from_millis(20)).await);
    // The lock is released while a process waits for it.
    let launch = node.launch();
    let release = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        drop(file);
    };
    tokio::join!(launch, release);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
    node.wait_for_metrics("the message is delivered", |f| f["calls"]["keyed"]["success"] == 1).await;
}

/// Guards against two processes that start at the same time and both serve: one takes over from the other,
/// together with the lock of the state folder.
#[tokio::test]
async fn of_two_processes_that_start_together_one_takes_over_from_the_other() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start(&platform, &[entry]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    node.wait_for_metrics("the message is delivered", |f| f["calls"]["unsafe"]["success"] == 1).await;
    node.kill();
    let mut other = node.without_process();
    tokio::join!(node.launch(), other.launch());
    assert_eq!(node.address, other.address, "both processes must serve the same address");
    // The process that handed over exits by itself; the other one serves.
    let (mut first, mut second) = (node, other);
    let exit = timeout(TEST_TIMEOUT, async {
        loop {
            if let Some(exit) = first.poll_exit() {
                std::mem::swap(&mut first, &mut second);
                return exit;
            }
            if let Some(exit) = second.poll_exit() {
                return exit;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(exit.await.expect("neither process exited in time"));
    assert_eq!(first.submit("m2", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m2");
    call.ok();
    assert!(endpoint.is_idle_for(Duration::from_millis(50)).await, "a message was sent twice");
    // The remaining process holds the lock.
    let file = std::fs::File::options().write(true).open(first.state_path("lock")).unwrap();
    let lock = rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive);
    assert_eq!(lock, Err(rustix::io::Errno::WOULDBLOCK));
}
