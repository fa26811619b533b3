//! A next process that takes the place of the one at work.
use super::harness::*;
use super::raw_connections::RawClient;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{Instant, timeout};

/// Guards against a place that is given with messages lost, doubled or out of order, a told wait or an endpoint out by
/// hand forgotten, and a client of the old process that finds nobody.
#[tokio::test]
async fn a_next_process_takes_the_place_with_all_that_is_owed() {
    let (mut first, mut second, platform) =
        (TestServer::start().await, TestServer::start().await, Platform::start().await);
    let entries = [
        endpoint_entry("s-1", first.address, "batching", "SERVING"),
        endpoint_entry("s-2", second.address, "batching", "SERVING"),
    ];
    let mut node = Node::start(&platform, &entries).await;
    // s-2 is told to wait for longer than the handover takes; then s-1 alone is in service, and k1 out to it.
    assert_eq!(node.admin_request("POST /maintenance/enter", "s-1").await.status(), 200);
    assert_eq!(node.submit("told", "keyed", "").await.status(), 202);
    let told = Instant::now();
    second.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 4\r\n", ""));
    node.wait_for_metrics("both are avoided", |f| f["hosts_down"] == 2).await;
    for id in ["k1", "k2", "k3"] {
        assert_eq!(node.submit(id, "ordered", "k").await.status(), 202);
    }
    let mut at_rest = TcpStream::connect(node.address).await.unwrap();
    at_rest.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    assert_eq!(HttpMessage::read(&mut at_rest).await.unwrap().status(), 200);
    let mut old = node.replace().await;
    assert!(
        first.is_idle_for(Duration::from_millis(50)).await,
        "work for what is out by hand, in the next process"
    );
    assert_eq!(node.admin_request("GET /status", "").await.status(), 200);
    assert_eq!(old.admin_request("GET /status", "").await.status(), 503);
    // A client that is still connected to the old process is passed on, and sent elsewhere.
    at_rest
        .write_all(
            b"POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: late\r\nX-Lane: keyed\r\nX-Remaining: 30\r\n\
              X-Envelope: dest=7\r\nIdempotency-Key: i\r\nContent-Length: 4\r\n\r\nlate",
        )
        .await
        .unwrap();
    let passed_on = HttpMessage::read(&mut at_rest).await.expect("an answer from the next process");
    assert_eq!((passed_on.status(), passed_on.header("connection")), (202, Some("close")));
    assert_eq!(node.submit("k4", "ordered", "k").await.status(), 202);
    assert!(old.exits_successfully().await, "with its last client gone it ends by itself");
    let mut delivered = Vec::new();
    while delivered.len() < 6 {
        let call = second.next_call().await;
        assert!(told.elapsed() >= Duration::from_secs(4), "the wait was told to both");
        let mut ids: Vec<String> = match call.request.header("x-txn") {
            Some(id) => vec![id.to_owned()],
            None => {
                let items = call.request.json();
                items.as_array().unwrap().iter().map(|i| i["id"].as_str().unwrap().to_owned()).collect()
            }
        };
        let ends: Vec<_> = ids.iter().map(|id| serde_json::json!({"id": id, "state": "ok"})).collect();
        call.reply(response("200 OK", "", &serde_json::json!(ends).to_string()));
        delivered.append(&mut ids);
    }
    let of_key: Vec<_> = delivered.iter().filter(|id| id.starts_with('k')).collect();
    assert_eq!(of_key, ["k1", "k2", "k3", "k4"]);
    delivered.sort();
    assert_eq!(delivered, ["k1", "k2", "k3", "k4", "late", "told"]);
    assert!(second.is_idle_for(Duration::from_millis(300)).await, "a message went out twice");
}

/// Guards against a call that is out when the place is given, and out a second time while it is open.
#[tokio::test]
async fn a_call_that_outlasts_the_handover_is_closed_before_it_goes_again() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("slow", "keyed", "").await.status(), 202);
    let out = endpoint.next_call().await;
    let mut old = node.replace().await;
    assert!(old.exits_successfully().await);
    let again = endpoint.next_call().await;
    assert_eq!((again.id(), again.request.header("idempotency-key")), ("slow", Some("idem-slow")));
    assert_ne!(again.connection, out.connection);
    again.ok();
    node.wait_for_metrics("delivered once", |f| f["calls"]["keyed"]["success"] == 1).await;
}

/// Guards against a sender that is left with nobody at work: the next process ends at any point of the handover, or who
/// calls is none.
#[tokio::test]
async fn a_next_process_that_ends_on_the_way_leaves_the_old_one_at_work() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let node = Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    for (n, hello) in
        ["", "micadrum", "micadrum handover 9", "GET / HTTP/1.1\r\n\r\n....."].iter().enumerate()
    {
        let mut stranger = caller(&node).await;
        stranger.write_all(hello.as_bytes()).await.unwrap();
        assert_eq!(node.submit(&format!("s{n}"), "keyed", "").await.status(), 202);
        endpoint.next_call().await.ok();
    }
    // It ends before it reads, after the length that brings the listening socket, or after some of the rest.
    for (n, reads) in [vec![], vec![8], vec![8, 56]].into_iter().enumerate() {
        let mut next = caller(&node).await;
        next.write_all(b"micadrum handover 2").await.unwrap();
        for bytes in reads {
            let read = timeout(TEST_TIMEOUT, next.read_exact(&mut vec![0; bytes])).await;
            read.expect("what the old process leaves").unwrap();
        }
        drop(next);
        let id = format!("m{n}");
        let mut tries = 0;
        // Until the old process is at work again, clients wait or are refused.
        while node.submit(&id, "keyed", "").await.status() != 202 {
            tries += 1;
            assert!(tries < 100, "nobody took {id} on");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let call = endpoint.next_call().await;
        assert_eq!(call.id(), id);
        call.ok();
    }
    let metrics = node.wait_for_metrics("all delivered", |f| f["inflight"] == 0).await;
    assert_eq!(metrics["hosts_listed"], 1);
    assert_eq!(metrics["calls"]["keyed"]["success"], 7, "it is one process: its counts go on");
}

/// Guards against a wait that is told by the last answer before the place is given, and that nobody keeps.
#[tokio::test]
async fn a_wait_told_while_the_old_process_settles_is_kept() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    // The next step is far away, so that the answer and the end of the settling fall between two.
    let slow = |config: &mut serde_json::Value| config["settings"]["period"] = serde_json::json!(500_000);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let node = Node::start_with(&platform, &[entry], slow).await;
    assert_eq!(node.submit("told", "keyed", "").await.status(), 202);
    let call = endpoint.next_call().await;
    let mut next = caller(&node).await;
    next.write_all(b"micadrum handover 2").await.unwrap();
    // By now it settles, for as long as this call is out.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let told = Instant::now();
    call.reply(response("429 Too Many Requests", "Retry-After: 3\r\n", ""));
    timeout(TEST_TIMEOUT, next.read_exact(&mut [0; 8])).await.expect("a place that is given").unwrap();
    drop(next);
    let call = endpoint.next_call().await;
    assert!(told.elapsed() >= Duration::from_secs(3), "after {:?}", told.elapsed());
    call.ok();
}

/// A next process that the test stands for: it has been given the place, and has not said that it took it.
async fn given(node: &Node) -> UnixStream {
    let mut next = caller(node).await;
    next.write_all(b"micadrum handover 2").await.unwrap();
    timeout(TEST_TIMEOUT, next.read_exact(&mut [0; 8])).await.expect("a place that is given").unwrap();
    next
}

/// Who calls where a next process asks. The socket is there a moment before somebody listens at it.
async fn caller(node: &Node) -> UnixStream {
    let socket = node.journal_path().with_file_name("handover.sock");
    let connected = timeout(TEST_TIMEOUT, async {
        loop {
            match UnixStream::connect(&socket).await {
                Ok(stream) => return stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    });
    connected.await.expect("a process that listens for the next")
}

/// Guards against settings that nobody follows: the process was told of them while it gave its place, and the next one
/// ended on the way.
#[tokio::test]
async fn a_sighup_while_the_place_is_given_in_vain_is_followed() {
    let (endpoint, mut other) = (TestServer::start().await, TestServer::start().await);
    let platform = Platform::start().await;
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let next = given(&node).await;
    node.reload(&Platform::served_by_test(other.address));
    // By now it has heard it; if not, it hears it at work.
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(next);
    let call = other.next_call().await;
    assert!(call.request.start_line.starts_with("GET /api/targets"), "{}", call.request.start_line);
    node.wait_for_metrics("the file was taken", |metrics| metrics["reconfig_ok"] == 1).await;
}

/// Guards against clients whose process ends under them: it was told to wind down while it gave its place, and the next
/// one ended on the way.
#[tokio::test]
async fn a_sigterm_while_the_place_is_given_in_vain_is_an_end_in_good_order() {
    let (endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    let next = given(&node).await;
    let told = Instant::now();
    node.terminate();
    let mut client = RawClient::connect(node.address).await;
    client.send(&RawClient::request_text("m1", "keyed", "")).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(next);
    let said = client.response().await.expect("an answer, not an end");
    assert!([202, 503].contains(&said.status()), "{}", said.start_line);
    drop(client);
    assert!(node.exits_successfully().await);
    assert!(told.elapsed() < Duration::from_millis(3_700), "killed by then: {:?}", told.elapsed());
}

/// How many connections a Unix socket has, besides the one that listens.
fn connections(socket: &std::path::Path) -> usize {
    let all = std::fs::read_to_string("/proc/net/unix").unwrap();
    all.lines().filter(|line| line.ends_with(socket.to_str().unwrap())).count().saturating_sub(1)
}

/// Guards against a next process that stays with the settings of its start: it had read them, and the one at work was told
/// of others while it settled, or later, until it ended.
#[tokio::test]
async fn a_sighup_to_the_process_that_gives_its_place_is_followed_by_the_next() {
    for settled in [false, true] {
        let (mut endpoint, mut other) = (TestServer::start().await, TestServer::start().await);
        let platform = Platform::start().await;
        let mut node =
            Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
        let (pid, socket) = (node.pid(), node.journal_path().with_file_name("handover.sock"));
        // A client that stays keeps the old process, and a call that is out lets it settle for a second.
        let mut at_rest = TcpStream::connect(node.address).await.unwrap();
        at_rest.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        assert_eq!(HttpMessage::read(&mut at_rest).await.unwrap().status(), 200);
        assert_eq!(node.submit("slow", "keyed", "").await.status(), 202);
        let out = endpoint.next_call().await;
        let mut config = node.config();
        config["discovery"] = serde_json::json!(other.address.to_string());
        let file = node.state_path("config.json");
        let hang_up = || {
            std::fs::write(&file, config.to_string()).unwrap();
            let sent = std::process::Command::new("sh").args(["-c", &format!("kill -HUP {pid}")]).status();
            assert!(sent.unwrap().success());
        };
        let while_it_settles = async {
            while connections(&socket) == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            if !settled {
                hang_up();
            }
        };
        let (mut old, ()) = tokio::join!(node.replace(), while_it_settles);
        if settled {
            hang_up();
        }
        let call = timeout(TEST_TIMEOUT, async {
            loop {
                let call = other.next_call().await;
                if call.request.start_line.starts_with("GET /api/targets") {
                    return call;
                }
            }
        });
        // The old one may have come there as well, before it gave its place.
        let first = call.await.expect("the watch comes to the new address");
        node.wait_for_metrics("taken once", |metrics| metrics["reconfig_ok"] == 1).await;
        drop((first, out, at_rest));
        assert!(old.exits_successfully().await);
        // At the end of the old process the file is as it was read.
        let call = endpoint.next_call().await;
        assert_eq!(call.id(), "slow");
        call.ok();
        let metrics = node.wait_for_metrics("delivered", |f| f["calls"]["keyed"]["success"] == 1).await;
        assert_eq!(metrics["reconfig_ok"], 1);
    }
}

/// Guards against two processes at work on one journal: one that starts while another holds the folder, and is not yet or no
/// more to be asked for its place, waits for it, changes nothing there, and ends with one line if it stays.
#[tokio::test]
async fn a_folder_that_another_process_holds_is_left_alone() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(node.submit("m1", "keyed", "").await.status(), 202);
    let out = endpoint.next_call().await;
    node.kill();
    drop(out);
    // Held by somebody whom nobody can ask.
    let file = std::fs::File::options().write(true).open(node.state_path("lock")).unwrap();
    rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive).unwrap();
    let journal = std::fs::read(node.journal_path()).unwrap();
    let (code, log) = node.launch_expecting_exit().await;
    assert_eq!(code, Some(1));
    assert!(log.contains("another process is running in this folder"), "{log}");
    assert_eq!(std::fs::read(node.journal_path()).unwrap(), journal, "the journal is as it was");
    assert!(endpoint.is_idle_for(Duration::from_millis(20)).await);
    // One that lets go while it is waited for.
    let begun = node.launch();
    let lets_go = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        drop(file);
    };
    tokio::join!(begun, lets_go);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m1");
    call.ok();
    node.wait_for_metrics("delivered", |f| f["calls"]["keyed"]["success"] == 1).await;
}

/// Guards against two processes that are started at one instant and both serve: one takes the other's place, whichever comes
/// first, and the lock goes along.
#[tokio::test]
async fn of_two_processes_that_start_together_one_takes_the_others_place() {
    let (mut endpoint, platform) = (TestServer::start().await, Platform::start().await);
    let entry = endpoint_entry("s-1", endpoint.address, "single", "SERVING");
    let mut node = Node::start(&platform, &[entry]).await;
    assert_eq!(node.submit("m1", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    node.wait_for_metrics("delivered", |f| f["calls"]["unsafe"]["success"] == 1).await;
    node.kill();
    let mut other = node.without_process();
    tokio::join!(node.launch(), other.launch());
    assert_eq!(node.address, other.address, "clients come to one place");
    // The one whose place was taken ends by itself; the other serves.
    let (mut first, mut second) = (node, other);
    let ended = timeout(TEST_TIMEOUT, async {
        loop {
            if let Some(ended) = first.poll_exit() {
                std::mem::swap(&mut first, &mut second);
                return ended;
            }
            if let Some(ended) = second.poll_exit() {
                return ended;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(ended.await.expect("one of them ends"));
    assert_eq!(first.submit("m2", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "m2");
    call.ok();
    assert!(endpoint.is_idle_for(Duration::from_millis(50)).await, "a message went out twice");
    // It holds the lock that it was given.
    let file = std::fs::File::options().write(true).open(first.state_path("lock")).unwrap();
    let lock = rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive);
    assert_eq!(lock, Err(rustix::io::Errno::WOULDBLOCK));
}
