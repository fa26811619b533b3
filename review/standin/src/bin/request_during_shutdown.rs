//! Case 1: requests that arrive in two pieces while a sender ends after SIGTERM.
//!
//! Four senders; three of them are restarted as planned, one every 7 s: SIGTERM, SIGKILL 3.7 s later if the process
//! still runs, the next start 0.6 s after that. Clients keep their connections and hand in one message at a time; each
//! request arrives in two pieces, cut at a random byte, 60 to 200 ms apart. New connections to a sender come for
//! 0.3 s after its SIGTERM, and again when it is ready.
//!
//! A request is lost if its connection was open when its last byte was written, and then ended with no answer. Not
//! counted: the first request on a connection, a connection that ended within 30 ms of the last byte, and a client
//! that gave up after 400 ms. With TROUBLE=0 no sender is restarted.
use review_standin::*;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NAMES: [&str; 4] = ["n1", "n2", "n3", "n4"];
const RESTARTED: usize = 3;
const CLIENTS_OF_EACH: u64 = 24;
/// A request whose connection ends sooner after its last byte may have crossed the end of the connection.
const CROSSING: Duration = Duration::from_millis(30);
const KILL_AFTER: Duration = Duration::from_millis(3700);
const START_AFTER: Duration = Duration::from_millis(4300);
const RESTART_EVERY: Duration = Duration::from_secs(7);

/// What the clients of one sender share.
#[derive(Clone)]
struct Shared {
    address: SocketAddr,
    record: Record,
    /// Whether clients open new connections to the sender.
    accepts_new: Arc<AtomicBool>,
    stops: Arc<AtomicBool>,
    counts: Arc<Mutex<Counts>>,
    next_id: Arc<AtomicU64>,
}

#[derive(Default)]
struct Counts {
    answered: usize,
    gave_up: usize,
    not_counted: usize,
    lost: usize,
}

struct Connection {
    http: HttpStream,
    /// Whether it has carried an answer.
    is_used: bool,
}

fn main() {
    let folders = Folders::from_arguments();
    let record = Record::create(&folders.case.join("record.txt"));
    let members = ["east", "west"].into_iter().enumerate().map(|(number, zone)| {
        let record = record.clone();
        let address = start_endpoint(move |call| {
            thread::sleep(Duration::from_millis(130));
            note!(record, "endpoint s-{number}: ran {}", call.ids.join(" "));
            all_ok(call)
        });
        Member { id: format!("s-{number}"), address, zone, kind: "fleet", cell: 1, phase: "SERVING" }
    });
    let agent = Agent::start(members.collect(), &record);
    let homes = NAMES.map(|name| SenderHome {
        folders: &folders,
        name,
        listen: free_address(),
        discovery: agent.address,
        record: &record,
    });
    for home in &homes {
        home.configure(&agent.known(), &settings(homes.len(), 5, 17));
    }
    let mut senders: Vec<Sender> = homes.iter().map(SenderHome::start).collect();
    let (stops, counts, next_id) = <(Arc<AtomicBool>, Arc<Mutex<Counts>>, Arc<AtomicU64>)>::default();
    let shared = homes.each_ref().map(|home| Shared {
        address: home.listen,
        record: record.clone(),
        accepts_new: Arc::new(AtomicBool::new(true)),
        stops: stops.clone(),
        counts: counts.clone(),
        next_id: next_id.clone(),
    });
    let clients: Vec<_> = (0..homes.len() as u64 * CLIENTS_OF_EACH)
        .map(|number| {
            let shared = shared[number as usize % homes.len()].clone();
            thread::spawn(move || run_client(number, &shared))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    for number in 0..RESTARTED {
        let begun = Instant::now();
        if has_trouble() {
            restart(&homes[number], &mut senders[number], &shared[number], &record);
        }
        thread::sleep(RESTART_EVERY.saturating_sub(begun.elapsed()));
    }
    stops.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let Counts { answered, gave_up, not_counted, lost } = *counts.lock().unwrap();
    note!(record, "verdict: lost={lost} answered={answered} gave_up={gave_up} not_counted={not_counted}");
    println!("lost={lost} answered={answered} gave_up={gave_up} not_counted={not_counted}");
    drop(senders);
    if answered < 100 {
        cannot_run("too few requests were answered");
    }
    std::process::exit(i32::from(lost > 0));
}

/// Restarts a sender as planned.
fn restart(home: &SenderHome<'_>, sender: &mut Sender, shared: &Shared, record: &Record) {
    let begun = Instant::now();
    sender.signal(SIGTERM);
    note!(record, "platform: SIGTERM to {}", home.name);
    thread::sleep(Duration::from_millis(300));
    shared.accepts_new.store(false, Ordering::Relaxed);
    if !sender.wait(KILL_AFTER.saturating_sub(begun.elapsed())) {
        sender.signal(SIGKILL);
        note!(record, "platform: SIGKILL to {}", home.name);
        sender.wait(Duration::from_secs(2));
    }
    note!(record, "platform: the process of {} has ended", home.name);
    thread::sleep(START_AFTER.saturating_sub(begun.elapsed()));
    *sender = home.start();
    shared.accepts_new.store(true, Ordering::Relaxed);
}

/// Hands messages in, one after another, until the run stops.
fn run_client(number: u64, shared: &Shared) {
    let mut seed = number * 7919 + 17;
    let mut kept: Option<Connection> = None;
    while !shared.stops.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(600 + random(&mut seed) % 1100));
        kept = kept.filter(|connection| is_open(&connection.http));
        if kept.is_none() && shared.accepts_new.load(Ordering::Relaxed) {
            kept = connect(shared.address).ok().map(|http| Connection { http, is_used: false });
        }
        kept = kept.and_then(|connection| request_in_pieces(connection, shared, &mut seed));
    }
}

/// Returns whether the sender has not ended the connection.
fn is_open(http: &HttpStream) -> bool {
    let _ = http.stream.set_nonblocking(true);
    let peeked = http.stream.peek(&mut [0]);
    let _ = http.stream.set_nonblocking(false);
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Sends a request in two pieces, and judges how it ends. Returns the connection if it stays open.
fn request_in_pieces(mut connection: Connection, shared: &Shared, seed: &mut u64) -> Option<Connection> {
    let (record, http) = (&shared.record, &mut connection.http);
    let id = format!("{:016x}", 0xa000_0000_0000_0000 + shared.next_id.fetch_add(1, Ordering::Relaxed));
    let message =
        Message { id, class: "charge", key: None, dest: 1, remaining: 15.0, body: vec![b'x'; 4096] };
    let (mut request, body) = message.request();
    request.extend_from_slice(&body);
    let cut = 1 + random(seed) as usize % (request.len() - 2);
    http.stream.write_all(&request[..cut]).ok()?;
    thread::sleep(Duration::from_millis(60 + random(seed) % 141));
    let id = &message.id;
    if !is_open(http) || http.stream.write_all(&request[cut..]).is_err() {
        note!(record, "client: {id} connection ended before the last byte, cut at {cut}");
        shared.counts.lock().unwrap().not_counted += 1;
        return None;
    }
    let written = Instant::now();
    note!(record, "client: {id} last byte written to {}, cut at {cut} of {}", shared.address, request.len());
    let _ = http.stream.set_read_timeout(Some(Duration::from_millis(400)));
    let answer = http.read();
    let waited = written.elapsed();
    let mut counts = shared.counts.lock().unwrap();
    match answer {
        Ok(Some(answer)) => {
            counts.answered += 1;
            note!(record, "client: {id} answered {}", answer.status());
            connection.is_used = true;
            Some(connection).filter(|_| answer.field("connection") != "close")
        }
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            counts.gave_up += 1;
            note!(record, "client: {id} no answer within 400 ms");
            None
        }
        ended => {
            let how = ended.err().map_or("closed".to_owned(), |error| error.to_string());
            let is_lost = waited >= CROSSING && connection.is_used;
            counts.lost += usize::from(is_lost);
            counts.not_counted += usize::from(!is_lost);
            let verdict = if is_lost { "LOST: " } else { "not counted: " };
            note!(
                record,
                "client: {id} {verdict}no answer, connection ended {waited:?} after the last byte, {how}"
            );
            None
        }
    }
}
