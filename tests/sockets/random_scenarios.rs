//! Seeded random scenarios against the real process. The connections of a client and two endpoints are cut,
//! reset, delayed or left hanging at random bytes. Signals, handovers, changes of the endpoint list, silence
//! of discovery, broken watches and lost notifications come at random instants. The [checker](super::checker)
//! looks for violated rules; each report names the seed.
//!
//! A plain test run plays a few seeds. To play more: `MICADRUM_SEEDS=1..500 cargo test --test sockets
//! random_scenarios`.
use super::checker::{CallOutcome, DeliveryChecker};
use super::harness::{HttpMessage, Node, Platform, TEST_TIMEOUT, endpoint_entry};
use super::raw_connections::RawClient;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// The time within which a message is to be delivered.
const REMAINING: Duration = Duration::from_secs(7);
/// The longest wait for activity at an endpoint before the next step.
const ACTIVITY_WAIT: Duration = Duration::from_millis(250);

struct Random(RefCell<ChaCha8Rng>);

impl Random {
    fn below(&self, n: u32) -> u32 {
        self.0.borrow_mut().next_u32() % n
    }
}

/// The state that the tasks of a scenario share.
struct Scenario {
    seed: u64,
    random: Random,
    checker: RefCell<DeliveryChecker>,
    /// Notified of each activity at an endpoint.
    activity: Notify,
    /// Once true, the endpoints deliver each message.
    fault_free: Cell<bool>,
    /// Draws where requests are cut, apart from all other choices.
    cuts: Random,
    /// Descriptions of requests that were cut and got no response.
    unanswered: RefCell<Vec<String>>,
}

/// A request of which the first piece is written.
struct HalfRequest {
    client: RawClient,
    id: String,
    rest: String,
}

/// Sends the first piece of a request, cut at any byte.
async fn begin_submission(scenario: &Scenario, to: SocketAddr, id: String) -> Option<HalfRequest> {
    let mut client = RawClient(TcpStream::connect(to).await.ok()?);
    let text = RawClient::request_text(&id, "keyed", "");
    scenario.checker.borrow_mut().record_submission(&id, "keyed", "", Duration::from_secs(30));
    let (first, rest) = text.split_at(1 + scenario.cuts.below(text.len() as u32 - 1) as usize);
    client.0.write_all(first.as_bytes()).await.ok()?;
    Some(HalfRequest { client, id, rest: rest.to_owned() })
}

/// Sends the rest of a request, and records its response. `interruption` describes what came between the pieces
/// if a response is due.
async fn finish_submission(scenario: &Scenario, half: HalfRequest, interruption: Option<&str>) {
    let HalfRequest { mut client, id, rest } = half;
    let was_open = client.0.write_all(rest.as_bytes()).await.is_ok();
    let response = timeout(TEST_TIMEOUT, HttpMessage::read(&mut client.0)).await.ok().flatten();
    if let (true, None, Some(interruption)) = (was_open, &response, interruption) {
        let text = format!("no response to {id}, cut {} bytes before its end by {interruption}", rest.len());
        scenario.unanswered.borrow_mut().push(text);
    }
    scenario.checker.borrow_mut().record_response(&id, response.map(|response| response.status()));
}

/// Accepts the connections to an endpoint, and serves each in a task of its own.
async fn serve_endpoint(scenario: Rc<Scenario>, name: &'static str, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve_connection(scenario.clone(), name, stream));
    }
}

async fn serve_connection(scenario: Rc<Scenario>, name: &'static str, mut stream: TcpStream) {
    loop {
        let fault_free = scenario.fault_free.get();
        // Close some connections before a request has been read completely.
        if !fault_free && scenario.random.below(12) == 0 {
            let mut partial = vec![0; 1 + scenario.random.below(60) as usize];
            if stream.read(&mut partial).await.is_ok_and(|read| read > 0) {
                // Read the rest: a request that arrived completely may have run as far as the sender can
                // know.
                let mut rest = [0; 4096];
                let _ = stream.try_read(&mut rest);
                scenario.activity.notify_waiters();
            }
            if scenario.random.below(2) == 0 {
                let _ = stream.set_zero_linger();
            }
            return;
        }
        let Some(request) = HttpMessage::read(&mut stream).await else { return };
        let id = request.header("x-txn").expect("a call carries no X-Txn").to_owned();
        let call = scenario.checker.borrow_mut().record_call(&id, name, &stream);
        scenario.activity.notify_waiters();
        let behavior = if scenario.fault_free.get() { 0 } else { scenario.random.below(16) };
        let record = |outcome: CallOutcome| scenario.checker.borrow_mut().record_outcome(call, &id, outcome);
        let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        match behavior {
            0..8 => {
                if behavior > 4 {
                    let delay = sleep(Duration::from_millis(u64::from(scenario.random.below(300))));
                    let mut byte = [0; 1];
                    tokio::select! {
                        () = delay => {}
                        _ = stream.read(&mut byte) => { record(CallOutcome::NoResponse); return }
                    }
                }
                record(CallOutcome::Delivered);
                if stream.write_all(ok.as_bytes()).await.is_err() {
                    return;
                }
            }
            8 => {
                record(CallOutcome::Error);
                let _ = stream
                    .write_all(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
                    .await;
            }
            9 | 10 => {
                let wait = 100 + u64::from(scenario.random.below(500));
                record(CallOutcome::RetryAfter(Duration::from_millis(wait)));
                let text = format!(
                    "HTTP/1.1 429 Too Many Requests\r\nRetry-After: {}.{:03}\r\nContent-Length: 0\r\n\r\n",
                    wait / 1000,
                    wait % 1000
                );
                let _ = stream.write_all(text.as_bytes()).await;
            }
            11 => {
                record(CallOutcome::Refused);
                let _ =
                    stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
            }
            12 => {
                record(CallOutcome::NoResponse);
                if scenario.random.below(2) == 0 {
                    let _ = stream.set_zero_linger();
                }
                return;
            }
            13 => {
                // Send a part of the response. It reports delivery if it contains the complete status line.
                let cut = 1 + scenario.random.below(ok.len() as u32 - 1) as usize;
                record(if cut > 12 { CallOutcome::Delivered } else { CallOutcome::NoResponse });
                let _ = stream.write_all(&ok.as_bytes()[..cut]).await;
                return;
            }
            _ => {
                // Leave the call without a response until the sender closes the connection.
                let mut buffer = [0; 64];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
                record(CallOutcome::NoResponse);
                return;
            }
        }
        scenario.activity.notify_waiters();
    }
}

async fn submit(scenario: &Scenario, to: SocketAddr, id: &str, class: &'static str, key: &str) {
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Entity: {key}\r\n\
         X-Remaining: {}\r\nX-Envelope: dest=7\r\nIdempotency-Key: idem-{id}\r\nContent-Length: {}\r\n\r\n{id}",
        REMAINING.as_secs(),
        id.len()
    );
    let Ok(stream) = TcpStream::connect(to).await else { return };
    let mut client = RawClient(stream);
    scenario.checker.borrow_mut().record_submission(id, class, key, REMAINING);
    // Some clients disconnect before they have sent all, and receive no response.
    let cut = if scenario.random.below(10) == 0 {
        scenario.random.below(text.len() as u32 + 1) as usize
    } else {
        text.len()
    };
    let _ = client.0.write_all(&text.as_bytes()[..cut]).await;
    if cut < text.len() || scenario.random.below(20) == 0 {
        if scenario.random.below(2) == 0 {
            client.reset();
        }
        return;
    }
    // A process that is killed meanwhile sends no response.
    let response = timeout(TEST_TIMEOUT, HttpMessage::read(&mut client.0))
        .await
        .expect("neither a response nor a close in time");
    scenario.checker.borrow_mut().record_response(id, response.map(|response| response.status()));
}

/// Plays the scenario of a seed, and returns the violations found.
async fn run_scenario(seed: u64) -> Vec<String> {
    let random = Random(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
    let scenario = Rc::new(Scenario {
        seed,
        random,
        checker: RefCell::default(),
        activity: Notify::new(),
        fault_free: Cell::new(false),
        cuts: Random(RefCell::new(ChaCha8Rng::seed_from_u64(!seed))),
        unanswered: RefCell::default(),
    });
    let mut platform = Platform::start().await;
    let (mut notifications, shared) = (platform.take_notifications(), scenario.clone());
    spawn_local(async move {
        while let Some(notification) = notifications.recv().await {
            shared.checker.borrow_mut().record_notification(&notification);
        }
    });
    let mut entries = Vec::new();
    for name in ["s-1", "s-2"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        entries.push((name, listener.local_addr().unwrap()));
        spawn_local(serve_endpoint(scenario.clone(), name, listener));
    }
    let list =
        |phases: [&str; 2]| [0, 1].map(|n| endpoint_entry(entries[n].0, entries[n].1, "single", phases[n]));
    let mut node = Node::start_with(&platform, &list(["SERVING"; 2]), |config| {
        config["settings"]["lanes"][0]["aim"] = json!(300_000);
        config["settings"]["lanes"][1]["aim"] = json!(300_000);
        config["settings"]["lanes"][2]["aim"] = json!(300_000);
    })
    .await;
    let mut n = 0;
    let mut clients = JoinSet::new();
    for _ in 0..12 {
        match scenario.random.below(14) {
            0..5 => {
                for _ in 0..=scenario.random.below(4) {
                    let class = ["unsafe", "keyed", "ordered", "ordered"][scenario.random.below(4) as usize];
                    let (id, key) = (format!("m{n}"), format!("k{}", scenario.random.below(2)));
                    n += 1;
                    // Submit messages of a key one after the other, so that their order is known.
                    submit(&scenario, node.address, &id, class, &key).await;
                }
            }
            5 => {
                let draining = scenario.random.below(2) as usize;
                let mut phases = ["SERVING"; 2];
                phases[draining] = "DRAINING";
                platform.update_endpoints(&list(phases));
                scenario.checker.borrow_mut().record_serving(phases.map(|phase| phase == "SERVING"));
            }
            6 => {
                platform.update_endpoints(&list(["SERVING"; 2]));
                scenario.checker.borrow_mut().record_serving([true; 2]);
            }
            7 => node.reload(&platform),
            8 => {
                // The change counts from the instant at which discovery responds again.
                platform.set_silent(true);
                let _ = timeout(ACTIVITY_WAIT, scenario.activity.notified()).await;
                let draining = scenario.random.below(2) as usize;
                let mut phases = ["SERVING"; 2];
                phases[draining] = "DRAINING";
                platform.update_endpoints(&list(phases));
                platform.set_silent(false);
                scenario.checker.borrow_mut().record_serving(phases.map(|phase| phase == "SERVING"));
            }
            9 => platform.break_watch(),
            10 => {
                // The sender repeats notifications that were not acknowledged.
                platform.drops_notifications.store(true, Ordering::SeqCst);
                let _ = timeout(ACTIVITY_WAIT, scenario.activity.notified()).await;
                platform.drops_notifications.store(false, Ordering::SeqCst);
                scenario.checker.borrow_mut().allow_late_ends();
            }
            11 => {
                let half = begin_submission(&scenario, node.address, format!("m{n}")).await;
                n += 1;
                let mut old = node.replace().await;
                if let Some(half) = half {
                    finish_submission(&scenario, half, Some("a handover")).await;
                }
                assert!(
                    old.exits_successfully().await,
                    "seed {seed}: the replaced process exited with a failure"
                );
            }
            12 => {
                let is_killed = scenario.random.below(2) == 1;
                let half = begin_submission(&scenario, node.address, format!("m{n}")).await;
                n += 1;
                node.terminate();
                let (shared, to, id) = (scenario.clone(), node.address, format!("m{n}"));
                n += 1;
                clients.spawn_local(async move { submit(&shared, to, &id, "unsafe", "").await });
                if let Some(half) = half {
                    let shared = scenario.clone();
                    let pause = Duration::from_millis(u64::from(scenario.cuts.below(900)));
                    clients.spawn_local(async move {
                        sleep(pause).await;
                        let interruption = (!is_killed).then_some("SIGTERM");
                        finish_submission(&shared, half, interruption).await;
                    });
                }
                // Wait for the process to exit, or kill it during the shutdown.
                if !is_killed {
                    assert!(
                        node.exits_successfully().await,
                        "seed {seed}: the process exited with a failure after SIGTERM"
                    );
                } else {
                    let _ = timeout(ACTIVITY_WAIT, scenario.activity.notified()).await;
                }
                restart(&scenario, &mut node, &mut clients).await;
            }
            _ => restart(&scenario, &mut node, &mut clients).await,
        }
        let _ = timeout(ACTIVITY_WAIT, scenario.activity.notified()).await;
    }
    scenario.fault_free.set(true);
    platform.update_endpoints(&list(["SERVING"; 2]));
    scenario.checker.borrow_mut().record_serving([true; 2]);
    // Each accepted message ends by its deadline, plus the time that restarts took.
    let completion = timeout(TEST_TIMEOUT, async {
        while !scenario.checker.borrow().all_finished() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    let all_finished = completion.await.is_ok();
    let mut violations = scenario.checker.borrow_mut().take_violations();
    if !all_finished {
        violations.push(format!("Lost: {:?}", scenario.checker.borrow().unfinished()));
    }
    violations.append(&mut scenario.unanswered.borrow_mut());
    violations.iter_mut().for_each(|line| *line = format!("seed {}: {line}", scenario.seed));
    violations
}

/// Kills the process, if it is still running, and launches the next one.
async fn restart(scenario: &Scenario, node: &mut Node, clients: &mut JoinSet<()>) {
    node.kill();
    // Clients that still wait for the killed process see their connection close.
    while clients.join_next().await.is_some() {}
    scenario.checker.borrow_mut().record_restart();
    node.launch().await;
    scenario.checker.borrow_mut().allow_late_ends();
}

/// Plays the scenarios of `seeds`, `at_once` of them in parallel, and returns the violations found.
fn run_scenarios(seeds: impl Iterator<Item = u64>, at_once: usize) -> Vec<String> {
    let seeds = std::sync::Mutex::new(seeds.collect::<Vec<u64>>().into_iter());
    let run_next = || {
        let mut violations = Vec::new();
        loop {
            let Some(seed) = seeds.lock().unwrap().next() else { return violations };
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            violations.extend(LocalSet::new().block_on(&runtime, run_scenario(seed)));
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..at_once).map(|_| scope.spawn(run_next)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Guards against combinations of faults that no other test covers: each accepted message ends exactly once,
/// and no delivery rule is violated.
#[test]
fn random_scenarios_violate_no_rule() {
    let seeds = std::env::var("MICADRUM_SEEDS").ok().map(|text| {
        let (from, to) = text.split_once("..").expect("MICADRUM_SEEDS must have the form FROM..TO");
        from.parse().unwrap()..to.parse::<u64>().unwrap()
    });
    let seeds = seeds.unwrap_or(1..17);
    println!("seeds {seeds:?}");
    let violations = run_scenarios(seeds, 8);
    assert!(violations.is_empty(), "replay one with MICADRUM_SEEDS=SEED..SEED+1:\n{}", violations.join("\n"));
}
