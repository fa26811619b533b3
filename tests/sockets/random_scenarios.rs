//! Days drawn from a seed against the real process: a client, an agent and two endpoints whose connections are cut, reset,
//! held back and silent at drawn bytes; signals, next processes and changes of the list that come after drawn happenings; an
//! agent that falls silent, a watch that breaks, a platform that acknowledges nothing for a while. Judged by `ledger`; what
//! it says of a broken rule names the seed.
//!
//! Some seeds are played with all tests. More of them: `MICADRUM_SEEDS=1..500 cargo test --test sockets generated`.
use super::checker::{Ledger, Told};
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

/// How long a message may be delivered.
const REMAINING: Duration = Duration::from_secs(7);
/// A drawn happening that does not come is not waited for longer.
const HAPPENS: Duration = Duration::from_millis(250);

struct Dice(RefCell<ChaCha8Rng>);

impl Dice {
    fn below(&self, n: u32) -> u32 {
        self.0.borrow_mut().next_u32() % n
    }
}

/// What all parts of a day share.
struct Day {
    seed: u64,
    dice: Dice,
    ledger: RefCell<Ledger>,
    /// Told when something happened at an endpoint.
    happened: Notify,
    /// Once set, endpoints do nothing but deliver.
    calm: Cell<bool>,
}

/// Lets a process's calls come to an endpoint.
async fn endpoint(day: Rc<Day>, name: &'static str, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(connection(day.clone(), name, stream));
    }
}

async fn connection(day: Rc<Day>, name: &'static str, mut stream: TcpStream) {
    loop {
        let calm = day.calm.get();
        // Now and then it breaks before a request has come whole.
        if !calm && day.dice.below(12) == 0 {
            let mut some = vec![0; 1 + day.dice.below(60) as usize];
            if stream.read(&mut some).await.is_ok_and(|read| read > 0) {
                // What may have come whole counts as if it had: the sender cannot know better.
                let mut rest = [0; 4096];
                let _ = stream.try_read(&mut rest);
                day.happened.notify_waiters();
            }
            if day.dice.below(2) == 0 {
                let _ = stream.set_zero_linger();
            }
            return;
        }
        let Some(request) = HttpMessage::read(&mut stream).await else { return };
        let id = request.header("x-txn").expect("one message a call").to_owned();
        let call = day.ledger.borrow_mut().began(&id, name, &stream);
        day.happened.notify_waiters();
        let what = if day.calm.get() { 0 } else { day.dice.below(16) };
        let ended = |told: Told| day.ledger.borrow_mut().answered(call, &id, told);
        let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        match what {
            0..8 => {
                if what > 4 {
                    let slow = sleep(Duration::from_millis(u64::from(day.dice.below(300))));
                    let mut more = [0; 1];
                    tokio::select! {
                        () = slow => {}
                        _ = stream.read(&mut more) => { ended(Told::Nothing); return }
                    }
                }
                ended(Told::Delivered);
                if stream.write_all(ok.as_bytes()).await.is_err() {
                    return;
                }
            }
            8 => {
                ended(Told::Error);
                let _ = stream
                    .write_all(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
                    .await;
            }
            9 | 10 => {
                let wait = 100 + u64::from(day.dice.below(500));
                ended(Told::Wait(Duration::from_millis(wait)));
                let text = format!(
                    "HTTP/1.1 429 Too Many Requests\r\nRetry-After: {}.{:03}\r\nContent-Length: 0\r\n\r\n",
                    wait / 1000,
                    wait % 1000
                );
                let _ = stream.write_all(text.as_bytes()).await;
            }
            11 => {
                ended(Told::Refused);
                let _ =
                    stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
            }
            12 => {
                ended(Told::Nothing);
                if day.dice.below(2) == 0 {
                    let _ = stream.set_zero_linger();
                }
                return;
            }
            13 => {
                // Half of an answer; with a whole first line of 200 it is delivered.
                let cut = 1 + day.dice.below(ok.len() as u32 - 1) as usize;
                ended(if cut > 12 { Told::Delivered } else { Told::Nothing });
                let _ = stream.write_all(&ok.as_bytes()[..cut]).await;
                return;
            }
            _ => {
                // It hangs until the sender gives it up.
                let mut scrap = [0; 64];
                while stream.read(&mut scrap).await.is_ok_and(|read| read > 0) {}
                ended(Told::Nothing);
                return;
            }
        }
        day.happened.notify_waiters();
    }
}

async fn submit(day: &Day, to: SocketAddr, id: &str, class: &'static str, key: &str) {
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Entity: {key}\r\n\
         X-Remaining: {}\r\nX-Envelope: dest=7\r\nIdempotency-Key: idem-{id}\r\nContent-Length: {}\r\n\r\n{id}",
        REMAINING.as_secs(),
        id.len()
    );
    let Ok(stream) = TcpStream::connect(to).await else { return };
    let mut client = RawClient(stream);
    day.ledger.borrow_mut().handed_in(id, class, key, REMAINING);
    // Some go in the midst of it, and hear nothing.
    let cut =
        if day.dice.below(10) == 0 { day.dice.below(text.len() as u32 + 1) as usize } else { text.len() };
    let _ = client.0.write_all(&text.as_bytes()[..cut]).await;
    if cut < text.len() || day.dice.below(20) == 0 {
        if day.dice.below(2) == 0 {
            client.reset();
        }
        return;
    }
    // A process that is killed just now says nothing.
    let said = timeout(TEST_TIMEOUT, HttpMessage::read(&mut client.0)).await.expect("an answer or an end");
    day.ledger.borrow_mut().heard(id, said.map(|said| said.status()));
}

/// One day; what is wrong with it.
async fn play(seed: u64) -> Vec<String> {
    let dice = Dice(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
    let day = Rc::new(Day {
        seed,
        dice,
        ledger: RefCell::default(),
        happened: Notify::new(),
        calm: Cell::new(false),
    });
    let mut platform = Platform::start().await;
    let (mut notices, of) = (platform.take_notifications(), day.clone());
    spawn_local(async move {
        while let Some(notice) = notices.recv().await {
            of.ledger.borrow_mut().noticed(&notice);
        }
    });
    let mut entries = Vec::new();
    for name in ["s-1", "s-2"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        entries.push((name, listener.local_addr().unwrap()));
        spawn_local(endpoint(day.clone(), name, listener));
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
        match day.dice.below(14) {
            0..5 => {
                for _ in 0..=day.dice.below(4) {
                    let class = ["unsafe", "keyed", "ordered", "ordered"][day.dice.below(4) as usize];
                    let (id, key) = (format!("m{n}"), format!("k{}", day.dice.below(2)));
                    n += 1;
                    // Messages of a key are handed in one after the other.
                    submit(&day, node.address, &id, class, &key).await;
                }
            }
            5 => {
                let out = day.dice.below(2) as usize;
                let mut phases = ["SERVING"; 2];
                phases[out] = "DRAINING";
                platform.update_endpoints(&list(phases));
                day.ledger.borrow_mut().listed(phases.map(|phase| phase == "SERVING"));
            }
            6 => {
                platform.update_endpoints(&list(["SERVING"; 2]));
                day.ledger.borrow_mut().listed([true; 2]);
            }
            7 => node.reload(&platform),
            8 => {
                // What is told once the agent is back counts at once.
                platform.set_silent(true);
                let _ = timeout(HAPPENS, day.happened.notified()).await;
                let out = day.dice.below(2) as usize;
                let mut phases = ["SERVING"; 2];
                phases[out] = "DRAINING";
                platform.update_endpoints(&list(phases));
                platform.set_silent(false);
                day.ledger.borrow_mut().listed(phases.map(|phase| phase == "SERVING"));
            }
            9 => platform.break_watch(),
            10 => {
                // A notice that is owed meanwhile goes again.
                platform.drops_notifications.store(true, Ordering::SeqCst);
                let _ = timeout(HAPPENS, day.happened.notified()).await;
                platform.drops_notifications.store(false, Ordering::SeqCst);
                day.ledger.borrow_mut().excused();
            }
            11 => {
                let mut old = node.replace().await;
                assert!(
                    old.exits_successfully().await,
                    "seed {seed}: the process before did not end in good order"
                );
            }
            12 => {
                node.terminate();
                let (of, to, id) = (day.clone(), node.address, format!("m{n}"));
                n += 1;
                clients.spawn_local(async move { submit(&of, to, &id, "unsafe", "").await });
                // Killed in the midst of it, or left to end by itself.
                if day.dice.below(2) == 0 {
                    assert!(node.exits_successfully().await, "seed {seed}: it did not end in good order");
                } else {
                    let _ = timeout(HAPPENS, day.happened.notified()).await;
                }
                restart(&day, &mut node, &mut clients).await;
            }
            _ => restart(&day, &mut node, &mut clients).await,
        }
        let _ = timeout(HAPPENS, day.happened.notified()).await;
    }
    day.calm.set(true);
    platform.update_endpoints(&list(["SERVING"; 2]));
    day.ledger.borrow_mut().listed([true; 2]);
    // All that is owed has its end within its time, and what the restarts took of it.
    let all = timeout(TEST_TIMEOUT, async {
        while !day.ledger.borrow().all_over() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    let done = all.await.is_ok();
    let mut wrong = day.ledger.borrow_mut().verdict();
    if !done {
        wrong.push(format!("Lost: {:?}", day.ledger.borrow().open()));
    }
    wrong.iter_mut().for_each(|line| *line = format!("seed {}: {line}", day.seed));
    wrong
}

/// Kills the process, if it has not ended, and begins the next one.
async fn restart(day: &Day, node: &mut Node, clients: &mut JoinSet<()>) {
    node.kill();
    // Whoever still waits for the process before hears an end.
    while clients.join_next().await.is_some() {}
    day.ledger.borrow_mut().restarted();
    node.launch().await;
    day.ledger.borrow_mut().excused();
}

/// Plays days side by side, so many at once; what is wrong with them.
fn days(seeds: impl Iterator<Item = u64>, at_once: usize) -> Vec<String> {
    let seeds = std::sync::Mutex::new(seeds.collect::<Vec<u64>>().into_iter());
    let one = || {
        let mut wrong = Vec::new();
        loop {
            let Some(seed) = seeds.lock().unwrap().next() else { return wrong };
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            wrong.extend(LocalSet::new().block_on(&runtime, play(seed)));
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..at_once).map(|_| scope.spawn(one)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Guards against what no test above thought of: whatever ends when, each message that was taken on has one end, and none
/// of the rules is broken.
#[test]
fn drawn_days_break_no_rule() {
    let seeds = std::env::var("MICADRUM_SEEDS").ok().map(|text| {
        let (from, to) = text.split_once("..").expect("MICADRUM_SEEDS=FROM..TO");
        from.parse().unwrap()..to.parse::<u64>().unwrap()
    });
    let seeds = seeds.unwrap_or(1..17);
    println!("seeds {seeds:?}");
    let wrong = days(seeds, 8);
    assert!(wrong.is_empty(), "play one again with MICADRUM_SEEDS=SEED..SEED+1:\n{}", wrong.join("\n"));
}
