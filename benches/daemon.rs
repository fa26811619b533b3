//! Measures the daemon end to end on loopback with 100 and 20,000 pending messages for a server that answered
//! with a long Retry-After: throughput of 64 closed-loop clients, latency from submission to arrival at 4,000
//! messages per second, CPU time and memory. The baseline of each run is a plain hyper proxy on one thread
//! that forwards the same requests without a journal or scheduling. Other numbers of pending messages can be
//! given as arguments.
//!
//! With the argument `durability`: compares the throughput with a journal that survives a process crash, with
//! a journal that survives a machine crash, and the rate of plain appends of the same size with fdatasync.
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
const BODY_BYTES: usize = 500;
const WARM_UP: Duration = Duration::from_secs(1);
const MEASURED: Duration = Duration::from_secs(5);
/// Pause of each client between two messages, for a total of 4,000 messages per second.
const PACED: Duration = Duration::from_micros(1_000_000 * CLIENTS as u64 / 4_000);
/// The destination whose server answers at once.
const LIVE: u64 = 1;
/// The destination whose server answers 503 with a Retry-After of an hour.
const UNAVAILABLE: u64 = 2;

/// Counters and latencies, shared by the clients and the server.
struct Measurements {
    base: Instant,
    arrivals: AtomicU64,
    /// Time from sending a message to the daemon until the server receives it.
    latencies: Mutex<Histogram<u64>>,
    /// Time from sending a message to the daemon until its response.
    response_times: Mutex<Histogram<u64>>,
}

impl Measurements {
    fn new() -> Arc<Self> {
        let histogram = || Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds"));
        let (latencies, response_times) = (histogram(), histogram());
        Arc::new(Self { base: Instant::now(), arrivals: AtomicU64::new(0), latencies, response_times })
    }

    fn now(&self) -> u64 {
        self.base.elapsed().as_micros() as u64
    }

    /// Records the arrival of a call. Its id starts with the time at which the client sent it.
    fn record_arrival(&self, head: &str) {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let sent = header(head, "x-txn").and_then(|id| id.split('-').next()?.parse().ok()).unwrap_or(0);
        let latency = self.now().saturating_sub(sent);
        self.latencies.lock().expect("no thread panics while holding the lock").saturating_record(latency);
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().skip(1).filter_map(|line| line.split_once(": "));
    fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}

/// Reads the next message, returns its head and skips its body. Returns `None` when the connection is closed.
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

/// Starts a server on its own thread. When `answer` returns `None`, the request is never answered.
fn start_answering(answer: impl Fn(&str) -> Option<String> + Send + 'static) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    listener.set_nonblocking(true).expect("a non-blocking listener");
    spawn_runtime(move || async move {
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

fn spawn_runtime<F: Future<Output = ()>>(
    task: impl FnOnce() -> F + Send + 'static,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(|| {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build the runtime");
        LocalSet::new().block_on(&runtime, task());
    })
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn start_server(measurements: Arc<Measurements>) -> SocketAddr {
    start_answering(move |head| {
        measurements.record_arrival(head);
        Some(OK.to_owned())
    })
}

struct Daemon {
    process: Child,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Daemon {
    fn start(live: SocketAddr, unavailable: SocketAddr, operator: &str) -> Self {
        let platform = start_answering(|head| match head.starts_with("POST") {
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
                "members": [member("live", live, LIVE), member("shut", unavailable, UNAVAILABLE)]},
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
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let file = folder.path().join("config.json");
        std::fs::write(&file, config.to_string()).expect("write config.json");
        let operator_file = folder.path().join("operator.toml");
        std::fs::write(&operator_file, operator).expect("write operator.toml");
        let mut process = Command::new(env!("CARGO_BIN_EXE_micadrum"))
            .env("PROXY_CONFIG", &file)
            .env("MICADRUM_OPERATOR", operator_file)
            .env("PROXY_STATE", folder.path())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the daemon");
        let log = BufReader::new(process.stderr.take().expect("piped stderr"));
        let mut lines = log.lines().map_while(Result::ok);
        let listen_address = lines.find_map(|line| line.strip_prefix("listening on ").map(str::to_owned));
        std::thread::spawn(move || lines.for_each(drop));
        let address = listen_address.expect("the daemon listens").parse().expect("an address");
        Self { process, address, _folder: folder }
    }

    /// Returns the resident memory in bytes.
    fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.expect("the process is running");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a VmRSS line");
        line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") * 1024
    }

    /// Returns the CPU time used so far, in ticks of 10 ms.
    fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id()))
            .expect("the process is running");
        let fields: Vec<&str> =
            stat.rsplit(')').next().expect("fields after the command name").split_whitespace().collect();
        fields[11..13].iter().map(|ticks| ticks.parse::<u64>().expect("a number")).sum()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // SIGTERM rather than SIGKILL, so that a profiler that wraps the process can write its report.
        let _ = Command::new("kill").arg(self.process.id().to_string()).status();
        let _ = self.process.wait();
    }
}

/// Sends one message to the daemon and returns the status of the response.
async fn send_message(stream: &mut TcpStream, buffer: &mut Vec<u8>, id: &str, to: u64) -> Option<u16> {
    let mut request = format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: charge\r\nX-Remaining: 3600\r\n\
         X-Envelope: dest={to}\r\nIdempotency-Key: i{id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    request.extend(std::iter::repeat_n('x', BODY_BYTES));
    stream.write_all(request.as_bytes()).await.ok()?;
    let head = read(stream, buffer).await?;
    head.split(' ').nth(1)?.parse().ok()
}

/// Runs clients that each send messages sequentially until `end`, at most `each` messages per client. Returns
/// the number of messages that the daemon did not accept.
fn load(
    at: SocketAddr,
    to: u64,
    measurements: &Arc<Measurements>,
    end: Instant,
    each: usize,
    pause: Duration,
) -> u64 {
    let (rejected, measurements) = (Arc::new(AtomicU64::new(0)), measurements.clone());
    let total_rejected = rejected.clone();
    let clients = spawn_runtime(move || async move {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (measurements, rejected) = (measurements.clone(), rejected.clone());
                spawn_local(async move {
                    let mut stream = TcpStream::connect(at).await.expect("connect");
                    let _ = stream.set_nodelay(true);
                    let mut buffer = Vec::new();
                    for n in 0..each {
                        if Instant::now() >= end {
                            return;
                        }
                        tokio::time::sleep(pause).await;
                        let id = format!("{}-{client}-{n}-{to}", measurements.now());
                        let requested = Instant::now();
                        let status = send_message(&mut stream, &mut buffer, &id, to).await;
                        let mut response_times = measurements
                            .response_times
                            .lock()
                            .expect("no thread panics while holding the lock");
                        response_times.saturating_record(requested.elapsed().as_micros() as u64);
                        drop(response_times);
                        if !matches!(status, Some(200 | 202)) {
                            rejected.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                })
            })
            .collect();
        for client in clients {
            client.await.expect("the client does not panic");
        }
    });
    clients.join().expect("the clients do not panic");
    total_rejected.load(Ordering::Relaxed)
}

/// Starts a proxy that forwards each request and its response.
fn start_proxy(to: SocketAddr) -> SocketAddr {
    type Idle = Rc<RefCell<Vec<client::SendRequest<Full<Bytes>>>>>;
    async fn forward(request: Request<Incoming>, to: SocketAddr, idle: Idle) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.expect("read the body of the request").to_bytes();
        let reused = idle.borrow_mut().pop();
        let mut connection = match reused {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect(to).await.expect("connect");
                let _ = stream.set_nodelay(true);
                let (requests, connection) =
                    client::handshake(TokioIo::new(stream)).await.expect("HTTP/1.1 handshake");
                spawn_local(connection);
                requests
            }
        };
        connection.ready().await.expect("an open connection");
        let answer = connection.send_request(Request::from_parts(head, Full::new(body))).await;
        let (head, body) = answer.expect("receive the response").into_parts();
        let body = body.collect().await.expect("read the body of the response").to_bytes();
        idle.borrow_mut().push(connection);
        Response::from_parts(head, Full::new(body))
    }
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    listener.set_nonblocking(true).expect("a non-blocking listener");
    spawn_runtime(move || async move {
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

/// Runs the load, prints the results and returns the throughput in messages per second.
fn measure(
    name: &str,
    at: SocketAddr,
    measurements: &Arc<Measurements>,
    daemon: Option<&Daemon>,
    pause: Duration,
) -> f64 {
    let end = Instant::now() + WARM_UP + MEASURED;
    let watched = measurements.clone();
    let clients = std::thread::spawn(move || load(at, LIVE, &watched, end, usize::MAX, pause));
    std::thread::sleep(WARM_UP);
    let (count, ticks) = (measurements.arrivals.load(Ordering::Relaxed), daemon.map(Daemon::ticks));
    measurements.latencies.lock().expect("no thread panics while holding the lock").reset();
    measurements.response_times.lock().expect("no thread panics while holding the lock").reset();
    let began = Instant::now();
    std::thread::sleep(MEASURED.saturating_sub(Duration::from_millis(100)));
    let (took, count) = (began.elapsed(), measurements.arrivals.load(Ordering::Relaxed) - count);
    let spent = daemon.map(Daemon::ticks).zip(ticks).map(|(now, then)| (now - then) * 10_000);
    let rejected = clients.join().expect("the clients do not panic");
    let latencies = measurements.latencies.lock().expect("no thread panics while holding the lock");
    let rate = count as f64 / took.as_secs_f64();
    let quantile = |q: f64| latencies.value_at_quantile(q) as f64 / 1000.0;
    let each =
        spent.map_or(String::new(), |spent| format!(", {:.1} us of CPU each", spent as f64 / count as f64));
    println!(
        "{name}: {rate:.0} messages/s; p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms; {rejected} rejected{each}",
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
    );
    let response_times = measurements.response_times.lock().expect("no thread panics while holding the lock");
    let quantile = |q: f64| response_times.value_at_quantile(q) as f64 / 1000.0;
    println!("  responses: p50 {:.2} ms, p99 {:.2} ms", quantile(0.5), quantile(0.99));
    rate
}

/// Measures sequential appends with fdatasync and returns their number per second.
fn plain_syncs() -> f64 {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let mut file = std::fs::File::create(folder.path().join("plain")).expect("create a file");
    let (begun, mut syncs) = (Instant::now(), 0);
    while begun.elapsed() < MEASURED {
        std::io::Write::write_all(&mut file, &[b'x'; BODY_BYTES]).expect("append to the file");
        file.sync_data().expect("fdatasync");
        syncs += 1;
    }
    f64::from(syncs) / begun.elapsed().as_secs_f64()
}

/// Compares the throughput of a journal that survives a process crash with one that survives a machine crash.
fn durability() {
    let rates = ["process", "machine"].map(|outlasts| {
        let measurements = Measurements::new();
        let at = start_server(measurements.clone());
        let daemon = Daemon::start(at, at, &format!("[durability]\noutlasts = \"{outlasts}\"\n"));
        measure(outlasts, daemon.address, &measurements, Some(&daemon), Duration::ZERO)
    });
    println!(
        "machine / process: {:.2}; plain append and fdatasync: {:.0} per second",
        rates[1] / rates[0],
        plain_syncs()
    );
}

fn main() {
    if std::env::args().any(|argument| argument == "durability") {
        return durability();
    }
    let measurements = Measurements::new();
    let at = start_proxy(start_server(measurements.clone()));
    let through_proxy = measure("plain hyper proxy", at, &measurements, None, Duration::ZERO);
    measure("plain hyper proxy, paced", at, &measurements, None, PACED);
    let requested: Vec<usize> = std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    for held in if requested.is_empty() { vec![100, 20_000] } else { requested } {
        let measurements = Measurements::new();
        let unavailable = start_answering(|_| {
            Some(
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n"
                    .to_owned(),
            )
        });
        let daemon = Daemon::start(start_server(measurements.clone()), unavailable, "");
        let far = Instant::now() + Duration::from_secs(600);
        let before = daemon.memory();
        let rejected =
            load(daemon.address, UNAVAILABLE, &measurements, far, held / CLIENTS + 1, Duration::ZERO);
        assert_eq!(rejected, 0, "all messages are accepted");
        let each = daemon.memory().saturating_sub(before) / (held / CLIENTS * CLIENTS) as u64;
        measure(&format!("daemon, {held} held, paced"), daemon.address, &measurements, Some(&daemon), PACED);
        let name = format!("daemon, {held} held");
        let rate = measure(&name, daemon.address, &measurements, Some(&daemon), Duration::ZERO);
        println!("  {} delivered in total", measurements.arrivals.load(Ordering::Relaxed));
        println!(
            "  {:.2} of the proxy's rate; {each} resident bytes per held message with a body of {BODY_BYTES} bytes",
            rate / through_proxy
        );
    }
}
