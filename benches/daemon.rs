//! The daemon end to end on loopback, with 100 and with 20,000 messages held for a partner that told a long wait:
//! messages a second with 64 clients that wait for nothing but their answer, time from hand-in to arrival at 4,000 a
//! second, processor time and memory. In the same run, beside it, what a plain hyper proxy on one thread does with the
//! same requests, which neither keeps nor decides anything. Other counts of messages held are taken as arguments.
//!
//! With the argument `durability`: the same clients against a journal that outlasts the process, one that outlasts the
//! machine, and a plain append with fdatasync of as many bytes, one after the other.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

const CLIENTS: usize = 64;
const BODY: usize = 500;
const WARM_UP: Duration = Duration::from_secs(1);
const MEASURED: Duration = Duration::from_secs(5);
/// Pause of each client between two messages, so that all together hand in 4,000 a second.
const PACED: Duration = Duration::from_micros(1_000_000 * CLIENTS as u64 / 4_000);
/// The destinations: one whose partner answers at once, and one whose partner tells a wait of an hour.
const LIVE: u64 = 1;
const SHUT: u64 = 2;

/// What the partner saw.
struct Seen {
    base: Instant,
    counts: AtomicU64,
    latencies: Mutex<Histogram<u64>>,
    /// From a hand-in to its answer.
    answers: Mutex<Histogram<u64>>,
}

impl Seen {
    fn new() -> Arc<Self> {
        let histogram = || Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds in order"));
        let (latencies, answers) = (histogram(), histogram());
        Arc::new(Self { base: Instant::now(), counts: AtomicU64::new(0), latencies, answers })
    }

    fn now(&self) -> u64 {
        self.base.elapsed().as_micros() as u64
    }

    /// A call came; its id tells when it was handed in.
    fn arrived(&self, head: &str) {
        self.counts.fetch_add(1, Ordering::Relaxed);
        let sent = header(head, "x-txn").and_then(|id| id.split('-').next()?.parse().ok()).unwrap_or(0);
        let latency = self.now().saturating_sub(sent);
        self.latencies.lock().expect("no test panics with it").saturating_record(latency);
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().skip(1).filter_map(|line| line.split_once(": "));
    fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}

/// Reads a head, and passes over the body; none at the connection's end.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length: usize = header(&head, "content-length").map_or(0, |l| l.parse().unwrap_or(0));
            while buffer.len() < end + 4 + length {
                stream.read_buf(buffer).await.ok().filter(|read| *read > 0)?;
            }
            buffer.drain(..end + 4 + length);
            return Some(head);
        }
        stream.read_buf(buffer).await.ok().filter(|read| *read > 0)?;
    }
}

/// A server in a thread of its own; none from `answer` keeps the client waiting.
fn stand_in(answer: impl Fn(&str) -> Option<String> + Send + 'static) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    listener.set_nonblocking(true).expect("a listener that does not block");
    on_a_thread(move || async move {
        let (listener, answer) = (TcpListener::from_std(listener).expect("a listener"), Rc::new(answer));
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            spawn_local(async move {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(head) = read(&mut stream, &mut buffer).await {
                    match answer(&head) {
                        Some(text) => {
                            if stream.write_all(text.as_bytes()).await.is_err() {
                                return;
                            }
                        }
                        None => std::future::pending().await,
                    }
                }
            });
        }
    });
    address
}

fn on_a_thread<F: Future<Output = ()>>(
    task: impl FnOnce() -> F + Send + 'static,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, task());
    })
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn partner(seen: Arc<Seen>) -> SocketAddr {
    stand_in(move |head| {
        seen.arrived(head);
        Some(OK.to_owned())
    })
}

struct Daemon {
    process: Child,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Daemon {
    fn start(live: SocketAddr, shut: SocketAddr, operator: &str) -> Self {
        let platform = stand_in(|head| match head.starts_with("POST") {
            true => Some("HTTP/1.1 204 No Content\r\n\r\n".to_owned()),
            false => None,
        });
        let member = |id: &str, address: SocketAddr, cell: u64| {
            json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "single",
                "cell": cell, "phase": "SERVING", "size": 1.0, "up_since_ms": 0})
        };
        let config: Value = json!({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": platform.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 2000, "sockets": 4096, "disk_mb": 400},
            "known": {"revision": 1, "complete": true,
                "members": [member("live", live, LIVE), member("shut", shut, SHUT)]},
            "settings": {
                "azs": ["a"], "zone": "a", "discovery": "pushed", "fleet_size": 1, "kinds": ["single"],
                "lanes": [{"name": "charge", "aim": 2_000_000, "hard_limit": 30_000_000, "worth": 1.0,
                    "late_value": 0.3, "repeat": "dedup", "group": "all", "key_ttl": 20_000_000}],
                "limits": {"cancel": true, "connect_timeout": 1_500_000, "conn_idle": 5_000_000,
                    "max_attempts": 6, "most_held": 100_000, "probes": false},
                "invariants": {"drain_grace": 1_000_000, "cold_share": 0.2, "ramp_time": 9_000_000,
                    "overload_factor": 2.0, "fall": 1_500_000, "order_settle": 0, "must_ask_in": 10_000_000},
                "specifics": {"bundle_max": [1], "kind_apart": [true], "decay": "even", "max_calls": 256},
                "period": 1000, "report": {"how": "answers", "names": []}, "weights": "none"
            }
        });
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("config.json");
        std::fs::write(&file, config.to_string()).expect("a file");
        let of_operators = folder.path().join("operator.toml");
        std::fs::write(&of_operators, operator).expect("a file");
        let mut process = Command::new(env!("CARGO_BIN_EXE_micadrum"))
            .env("PROXY_CONFIG", &file)
            .env("MICADRUM_OPERATOR", of_operators)
            .env("PROXY_STATE", folder.path())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon");
        let log = BufReader::new(process.stderr.take().expect("its log"));
        let mut lines = log.lines().map_while(Result::ok);
        let listens = lines.find_map(|line| line.strip_prefix("listening on ").map(str::to_owned));
        std::thread::spawn(move || lines.for_each(drop));
        let address = listens.expect("a daemon that listens").parse().expect("an address");
        Self { process, address, _folder: folder }
    }

    /// Resident memory, in bytes.
    fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.expect("the process lives");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a resident size");
        line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") * 1024
    }

    /// Processor time so far, in ticks of 10 ms.
    fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id())).expect("it lives");
        let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
        fields[11..13].iter().map(|ticks| ticks.parse::<u64>().expect("a number")).sum()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // In good order, so that a profiler round it can write down what it saw.
        let _ = Command::new("kill").arg(self.process.id().to_string()).status();
        let _ = self.process.wait();
    }
}

/// Hands in one message; the status of the answer.
async fn hand_in(stream: &mut TcpStream, buffer: &mut Vec<u8>, id: &str, to: u64) -> Option<u16> {
    let mut request = format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: charge\r\nX-Remaining: 3600\r\n\
         X-Envelope: dest={to}\r\nIdempotency-Key: i{id}\r\nContent-Length: {BODY}\r\n\r\n"
    );
    request.extend(std::iter::repeat_n('x', BODY));
    stream.write_all(request.as_bytes()).await.ok()?;
    let head = read(stream, buffer).await?;
    head.split(' ').nth(1)?.parse().ok()
}

/// Clients that each hand in one message after the other until `end`, or `each` of them; how many were turned away.
fn load(at: SocketAddr, to: u64, seen: &Arc<Seen>, end: Instant, each: usize, pause: Duration) -> u64 {
    let (refused, seen) = (Arc::new(AtomicU64::new(0)), seen.clone());
    let turned_away = refused.clone();
    let clients = on_a_thread(move || async move {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (seen, refused) = (seen.clone(), refused.clone());
                spawn_local(async move {
                    let mut stream = TcpStream::connect(at).await.expect("a connection");
                    let _ = stream.set_nodelay(true);
                    let mut buffer = Vec::new();
                    for n in 0..each {
                        if Instant::now() >= end {
                            return;
                        }
                        tokio::time::sleep(pause).await;
                        let id = format!("{}-{client}-{n}-{to}", seen.now());
                        let asked = Instant::now();
                        let status = hand_in(&mut stream, &mut buffer, &id, to).await;
                        let mut answers = seen.answers.lock().expect("no test panics with it");
                        answers.saturating_record(asked.elapsed().as_micros() as u64);
                        drop(answers);
                        if !matches!(status, Some(200 | 202)) {
                            refused.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                })
            })
            .collect();
        for client in clients {
            client.await.expect("a client that ends well");
        }
    });
    clients.join().expect("clients that end well");
    turned_away.load(Ordering::Relaxed)
}

/// A proxy that hands each request on and its answer back.
fn proxy(to: SocketAddr) -> SocketAddr {
    type Idle = Rc<RefCell<Vec<client::SendRequest<Full<Bytes>>>>>;
    async fn forward(request: Request<Incoming>, to: SocketAddr, idle: Idle) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.expect("a body").to_bytes();
        let kept = idle.borrow_mut().pop();
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect(to).await.expect("a connection");
                let _ = stream.set_nodelay(true);
                let (requests, connection) =
                    client::handshake(TokioIo::new(stream)).await.expect("a handshake");
                spawn_local(connection);
                requests
            }
        };
        connection.ready().await.expect("an open connection");
        let answer = connection.send_request(Request::from_parts(head, Full::new(body))).await;
        let (head, body) = answer.expect("an answer").into_parts();
        let body = body.collect().await.expect("its body").to_bytes();
        idle.borrow_mut().push(connection);
        Response::from_parts(head, Full::new(body))
    }
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    listener.set_nonblocking(true).expect("a listener that does not block");
    on_a_thread(move || async move {
        let (listener, idle) = (TcpListener::from_std(listener).expect("a listener"), Idle::default());
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let idle = idle.clone();
            let service = hyper::service::service_fn(move |request| {
                let idle = idle.clone();
                async move { Ok::<_, std::convert::Infallible>(forward(request, to, idle).await) }
            });
            spawn_local(server::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// Plays the load and prints a row; messages a second.
fn measure(name: &str, at: SocketAddr, seen: &Arc<Seen>, daemon: Option<&Daemon>, pause: Duration) -> f64 {
    let end = Instant::now() + WARM_UP + MEASURED;
    let watched = seen.clone();
    let clients = std::thread::spawn(move || load(at, LIVE, &watched, end, usize::MAX, pause));
    std::thread::sleep(WARM_UP);
    let (count, ticks) = (seen.counts.load(Ordering::Relaxed), daemon.map(Daemon::ticks));
    seen.latencies.lock().expect("no test panics with it").reset();
    seen.answers.lock().expect("no test panics with it").reset();
    let began = Instant::now();
    std::thread::sleep(MEASURED.saturating_sub(Duration::from_millis(100)));
    let (took, count) = (began.elapsed(), seen.counts.load(Ordering::Relaxed) - count);
    let spent = daemon.map(Daemon::ticks).zip(ticks).map(|(now, then)| (now - then) * 10_000);
    let refused = clients.join().expect("clients that end well");
    let latencies = seen.latencies.lock().expect("no test panics with it");
    let rate = count as f64 / took.as_secs_f64();
    let quantile = |q: f64| latencies.value_at_quantile(q) as f64 / 1000.0;
    let each = spent
        .map_or(String::new(), |spent| format!(", {:.1} us of processor each", spent as f64 / count as f64));
    println!(
        "{name}: {rate:.0} messages/s; p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms; {refused} turned away{each}",
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
    );
    let answers = seen.answers.lock().expect("no test panics with it");
    let quantile = |q: f64| answers.value_at_quantile(q) as f64 / 1000.0;
    println!("  answers: p50 {:.2} ms, p99 {:.2} ms", quantile(0.5), quantile(0.99));
    rate
}

/// Appends and syncs, one after the other: syncs a second.
fn plain_syncs() -> f64 {
    let folder = tempfile::tempdir().expect("a folder");
    let mut file = std::fs::File::create(folder.path().join("plain")).expect("a file");
    let (begun, mut syncs) = (Instant::now(), 0);
    while begun.elapsed() < MEASURED {
        std::io::Write::write_all(&mut file, &[b'x'; BODY]).expect("room");
        file.sync_data().expect("a sync");
        syncs += 1;
    }
    f64::from(syncs) / begun.elapsed().as_secs_f64()
}

/// What outlasting the machine costs.
fn durability() {
    let rates = ["process", "machine"].map(|outlasts| {
        let seen = Seen::new();
        let at = partner(seen.clone());
        let daemon = Daemon::start(at, at, &format!("[durability]\noutlasts = \"{outlasts}\"\n"));
        measure(outlasts, daemon.address, &seen, Some(&daemon), Duration::ZERO)
    });
    println!(
        "machine beside process: {:.2}; plain append and fdatasync: {:.0} a second",
        rates[1] / rates[0],
        plain_syncs()
    );
}

fn main() {
    if std::env::args().any(|argument| argument == "durability") {
        return durability();
    }
    let seen = Seen::new();
    let at = proxy(partner(seen.clone()));
    let through_proxy = measure("plain hyper proxy", at, &seen, None, Duration::ZERO);
    measure("plain hyper proxy, paced", at, &seen, None, PACED);
    let asked: Vec<usize> = std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    for held in if asked.is_empty() { vec![100, 20_000] } else { asked } {
        let seen = Seen::new();
        let shut = stand_in(|_| {
            Some(
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n"
                    .to_owned(),
            )
        });
        let daemon = Daemon::start(partner(seen.clone()), shut, "");
        let far = Instant::now() + Duration::from_secs(600);
        let before = daemon.memory();
        let refused = load(daemon.address, SHUT, &seen, far, held / CLIENTS + 1, Duration::ZERO);
        assert_eq!(refused, 0, "all are held");
        let each = daemon.memory().saturating_sub(before) / (held / CLIENTS * CLIENTS) as u64;
        measure(&format!("daemon, {held} held, paced"), daemon.address, &seen, Some(&daemon), PACED);
        let name = format!("daemon, {held} held");
        let rate = measure(&name, daemon.address, &seen, Some(&daemon), Duration::ZERO);
        println!("  {} delivered in all", seen.counts.load(Ordering::Relaxed));
        println!(
            "  {:.2} of the proxy's rate; {each} bytes resident a held message of {BODY}",
            rate / through_proxy
        );
    }
}
