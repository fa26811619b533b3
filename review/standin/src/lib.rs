//! Stand-ins for the cases under `review/`: clients, endpoints and the platform's agent, all on loopback. They use
//! only the standard library. Each case is a program in `src/bin/`.
use std::collections::HashMap;
use std::fmt;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The record of a run: what was sent, answered and run, with the seconds since its start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(format!("record: {error}")));
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: fmt::Arguments<'_>) {
        let line = format!("{:9.4} {text}\n", self.now());
        let _ = self.0 .1.lock().unwrap().write_all(line.as_bytes());
    }
}

#[macro_export]
macro_rules! note {
    ($record:expr, $($text:tt)*) => { $record.line(format_args!($($text)*)) };
}

/// The processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case with exit code 2: it could not run. Ends the processes that it started.
pub fn cannot_run(why: impl fmt::Display) -> ! {
    eprintln!("the case could not run: {why}");
    for id in RUNNING.lock().unwrap_or_else(|error| error.into_inner()).drain(..) {
        // SAFETY: kill has no memory effects. Nobody has waited for the process, so the id is still its own.
        unsafe { kill(id as i32, SIGKILL) };
    }
    std::process::exit(2);
}

/// Whether the run includes the disruption: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The folders of a case: the repository's root and the case's own folder, as run.sh passes them.
pub struct Folders {
    pub root: PathBuf,
    pub case: PathBuf,
    pub temporary: PathBuf,
}

impl Folders {
    pub fn from_arguments() -> Self {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        let mut next = || arguments.next().unwrap_or_else(|| cannot_run("arguments: ROOT CASE TEMPORARY"));
        Self { root: next(), case: next(), temporary: next() }
    }
}

/// A message of HTTP/1.1: its start line, header fields and body.
pub struct HttpMessage {
    pub start: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A stream that is read message by message.
pub struct HttpStream {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpStream {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads the next message; `None` at the end of the stream.
    pub fn read(&mut self) -> io::Result<Option<HttpMessage>> {
        let head_end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length: usize = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let end = head_end + 4 + length;
        while self.buffer.len() < end {
            if !self.fill()? {
                return Ok(None);
            }
        }
        let body = self.buffer[head_end + 4..end].to_vec();
        self.buffer.drain(..end);
        Ok(Some(HttpMessage { start, fields, body }))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Returns the values of a text field in flat JSON, in order.
pub fn json_texts(json: &[u8], name: &str) -> Vec<String> {
    let text = String::from_utf8_lossy(json).into_owned();
    let key = format!("\"{name}\":");
    let mut values = Vec::new();
    let mut rest = text.as_str();
    while let Some(at) = rest.find(&key) {
        rest = rest[at + key.len()..].trim_start();
        if let Some(value) = rest.strip_prefix('"').and_then(|value| value.split('"').next()) {
            values.push(value.to_owned());
        }
    }
    values
}

/// A response with these extra header lines (each ends with CRLF) and body.
pub fn response(status: &str, extra: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// One endpoint in the agent's list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub cell: u64,
    pub phase: &'static str,
}

impl Member {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":{},\
             \"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":0}}",
            self.id, self.address, self.zone, self.kind, self.cell, self.phase
        )
    }
}

fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

/// A notice that the platform has received.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: String,
    pub state: String,
    pub at: f64,
}

struct AgentState {
    revision: u64,
    members: Vec<Member>,
    notices: Vec<Notice>,
}

/// The platform's agent: it serves the list of endpoints and takes notices.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
    record: Record,
}

impl Agent {
    pub fn start(members: Vec<Member>, record: &Record) -> Self {
        let listener = listen();
        let state = AgentState { revision: 1, members, notices: Vec::new() };
        let agent = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let served = agent.clone();
        accept_each(listener, move |stream| served.serve(stream));
        agent
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.state.0.lock().unwrap().notices.clone()
    }

    /// Changes the list, under the next revision.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Member>)) {
        let mut state = self.state.0.lock().unwrap();
        change(&mut state.members);
        state.revision += 1;
        self.state.1.notify_all();
    }

    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.revision, true, &state.members)
    }

    fn serve(&self, stream: TcpStream) {
        let mut http = HttpStream::new(stream);
        while let Ok(Some(request)) = http.read() {
            let answer = if request.start.starts_with("POST /v1/notices") {
                self.take_notices(&request.body);
                b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()
            } else {
                response("200 OK", "Content-Type: application/json\r\n", &self.list(&request.start))
            };
            if http.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn take_notices(&self, body: &[u8]) {
        for line in body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let field = |name| json_texts(line, name).into_iter().next().unwrap_or_default();
            let notice = Notice { id: field("id"), state: field("state"), at: self.record.now() };
            note!(self.record, "platform: notice id={} state={}", notice.id, notice.state);
            self.state.0.lock().unwrap().notices.push(notice);
        }
    }

    fn list(&self, start: &str) -> String {
        let query = |name: &str| -> Option<u64> {
            let target = start.split(' ').nth(1)?;
            let pairs = target.split_once('?')?.1.split('&');
            pairs.filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name)?.1.parse().ok()
        };
        let mut state = self.state.0.lock().unwrap();
        let Some(from) = query("from") else { return list_json(state.revision, true, &state.members) };
        let until = Instant::now() + Duration::from_millis(query("hold_ms").unwrap_or(0).min(60_000));
        while state.revision == from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return list_json(from, false, &[]);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        list_json(state.revision, true, &state.members)
    }
}

/// A call that has come to an endpoint.
pub struct EndpointCall {
    pub path: String,
    pub ids: Vec<String>,
    pub body: Vec<u8>,
}

/// Starts an endpoint, which answers each call with what `answer` returns.
pub fn start_endpoint(answer: impl Fn(&EndpointCall) -> Vec<u8> + Send + Sync + 'static) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    accept_each(listener, move |stream| {
        let mut http = HttpStream::new(stream);
        while let Ok(Some(request)) = http.read() {
            let path = request.start.split(' ').nth(1).unwrap_or_default().to_owned();
            let ids = match path.as_str() {
                "/hook/batch" => json_texts(&request.body, "id"),
                _ => vec![request.field("x-txn").to_owned()],
            };
            let call = EndpointCall { path, ids, body: request.body };
            if http.stream.write_all(&answer(&call)).is_err() {
                return;
            }
        }
    });
    address
}

/// The answer to a call whose messages all have run.
pub fn all_ok(call: &EndpointCall) -> Vec<u8> {
    if call.path != "/hook/batch" {
        return response("200 OK", "", "");
    }
    let items: Vec<String> =
        call.ids.iter().map(|id| format!("{{\"id\":\"{id}\",\"state\":\"ok\"}}")).collect();
    response("200 OK", "", &format!("[{}]", items.join(",")))
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(format!("listen: {error}")))
}

fn accept_each(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// Returns a free address on loopback.
pub fn free_address() -> SocketAddr {
    listen().local_addr().unwrap()
}

/// The settings of a small deployment. `batch` is the most messages in one call to an endpoint of kind `bank`.
pub fn settings(senders: usize, batch: usize, slots: usize) -> String {
    format!(
        "{{\"azs\":[\"east\",\"west\"],\"zone\":\"east\",\"discovery\":\"pushed\",\"fleet_size\":{senders},\
         \"kinds\":[\"bank\",\"fleet\"],\"lanes\":[\
         {{\"name\":\"charge\",\"aim\":2500000,\"hard_limit\":16000000,\"worth\":1.0,\"late_value\":0.3,\
         \"repeat\":\"fragile\",\"group\":\"all\",\"key_ttl\":5000000,\"stream\":false}},\
         {{\"name\":\"trip-record\",\"aim\":2500000,\"hard_limit\":20000000,\"worth\":1.0,\"late_value\":0.3,\
         \"repeat\":\"dedup\",\"group\":\"all\",\"key_ttl\":5000000,\"fifo_by_key\":true,\"stream\":false}}],\
         \"limits\":{{\"cancel\":true,\"connect_timeout\":1500000,\"conn_idle\":5000000,\"max_attempts\":6,\
         \"most_held\":285,\"probes\":false}},\
         \"invariants\":{{\"drain_grace\":1000000,\"cold_share\":0.19,\"ramp_time\":11000000,\
         \"overload_factor\":2.0,\"fall\":1500000,\"order_settle\":0,\"must_ask_in\":10000000}},\
         \"specifics\":{{\"bundle_max\":[{batch},1],\"kind_apart\":[true,false],\"decay\":\"even\",\
         \"max_calls\":{slots}}},\
         \"tenants\":[{{\"name\":\"north\",\"portion\":1.0,\"allowance_per_s\":60.0}}],\"over_share_worth\":0.05,\
         \"period\":5000,\"report\":{{\"how\":\"answers\",\"names\":[\"x0\",\"x1\"]}},\"weights\":\"none\"}}"
    )
}

/// A running sender. Dropping it kills its process.
pub struct Sender {
    pub listen: SocketAddr,
    child: Child,
}

/// The parts of a sender that outlast its process.
pub struct SenderHome<'a> {
    pub folders: &'a Folders,
    pub name: &'static str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub record: &'a Record,
}

impl SenderHome<'_> {
    fn folder(&self) -> PathBuf {
        self.folders.temporary.join(self.name)
    }

    /// Writes the configuration file.
    pub fn configure(&self, known: &str, settings: &str) {
        self.write_configuration("config.json", "", known, settings);
    }

    /// Writes a configuration file for a process with the second address `management`.
    pub fn configure_with_management(&self, file: &str, management: SocketAddr, known: &str, settings: &str) {
        self.write_configuration(file, &format!("\"management\":\"{management}\","), known, settings);
    }

    fn write_configuration(&self, file: &str, management: &str, known: &str, settings: &str) {
        let folder = self.folder();
        std::fs::create_dir_all(folder.join("state")).unwrap_or_else(|error| cannot_run(error));
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",{management}\"discovery\":\"{}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\
             \"known\":{known},\"settings\":{settings}}}",
            self.name, self.listen, self.discovery
        );
        let new = folder.join(format!("{file}.new"));
        std::fs::write(&new, config).unwrap_or_else(|error| cannot_run(error));
        std::fs::rename(new, folder.join(file)).unwrap_or_else(|error| cannot_run(error));
    }

    /// Starts the program, and waits until it is ready.
    pub fn start(&self) -> Sender {
        let mut sender = self.spawn("config.json");
        let until = Instant::now() + Duration::from_secs(10);
        while !answers_200(self.listen, "/-/ready") {
            if sender.has_ended() || Instant::now() > until {
                cannot_run(format!("{} did not get ready", self.name));
            }
            thread::sleep(Duration::from_millis(20));
        }
        note!(self.record, "platform: {} is ready", self.name);
        sender
    }

    /// Starts the program with the `run` command of the deploy file and the configuration `file`.
    pub fn spawn(&self, file: &str) -> Sender {
        let deploy = std::fs::read_to_string(self.folders.root.join("deploy/balancer.toml"))
            .unwrap_or_else(|error| cannot_run(error));
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.unwrap_or_else(|| cannot_run("deploy/balancer.toml has no run"));
        let folder = self.folder();
        let scratch = folder.join("tmp");
        std::fs::create_dir_all(&scratch).unwrap_or_else(|error| cannot_run(error));
        let log = File::options().create(true).append(true).open(folder.join("log"));
        let log = log.unwrap_or_else(|error| cannot_run(error));
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(&self.folders.root)
            .env("PROXY_NAME", self.name)
            .env("PROXY_LISTEN", self.listen.to_string())
            .env("PROXY_DISCOVERY", self.discovery.to_string())
            .env("PROXY_STATE", folder.join("state"))
            .env("PROXY_CONFIG", folder.join(file))
            .env("TMPDIR", scratch)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(format!("start: {error}")));
        RUNNING.lock().unwrap().push(child.id());
        note!(self.record, "platform: started {} pid={}", self.name, child.id());
        Sender { listen: self.listen, child }
    }

    /// Returns what the sender's processes have logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder().join("log")).unwrap_or_default()
    }
}

impl Sender {
    pub fn signal(&self, signal: i32) {
        // SAFETY: kill has no memory effects; the child has not been waited for, so its id is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            self.forget();
        }
        has_ended
    }

    fn forget(&self) {
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }

    /// Waits until the process has ended, for `timeout` at most.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while !self.has_ended() {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(2));
        }
        true
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            self.forget();
            let _ = self.child.wait();
        }
    }
}

/// Returns whether a GET of `path` at `address` is answered with 200.
pub fn answers_200(address: SocketAddr, path: &str) -> bool {
    let ask = || -> io::Result<u16> {
        let mut http = connect(address)?;
        http.stream.set_read_timeout(Some(Duration::from_millis(1000)))?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
        http.stream.write_all(request.as_bytes())?;
        Ok(http.read()?.map_or(0, |answer| answer.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

/// A message of a client.
#[derive(Clone)]
pub struct Message {
    pub id: String,
    pub class: &'static str,
    pub key: Option<String>,
    pub dest: u64,
    pub remaining: f64,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the head and the body of the request that hands the message in.
    pub fn request(&self) -> (Vec<u8>, Vec<u8>) {
        let key = self.key.as_ref().map_or(String::new(), |key| format!("X-Entity: {key}\r\n"));
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {}\r\nX-Org: north\r\n{key}\
             X-Remaining: {:.3}\r\nIdempotency-Key: {id}{id}\r\nX-Envelope: dest={}\r\nContent-Length: {}\r\n\r\n",
            self.class,
            self.remaining,
            self.dest,
            self.body.len(),
            id = self.id,
        );
        (head.into_bytes(), self.body.clone())
    }

    /// Hands the message in on a connection; returns the status of the answer, or `None` without one within the
    /// 400 ms that a client waits.
    pub fn hand_in(&self, http: &mut HttpStream) -> Option<u16> {
        let (mut request, body) = self.request();
        request.extend_from_slice(&body);
        http.stream.set_read_timeout(Some(Duration::from_millis(400))).ok()?;
        http.stream.write_all(&request).ok()?;
        http.read().ok().flatten().map(|answer| answer.status())
    }
}

/// Opens a client's connection.
pub fn connect(address: SocketAddr) -> io::Result<HttpStream> {
    TcpStream::connect_timeout(&address, Duration::from_millis(400)).map(HttpStream::new)
}

/// Returns the next number of a small deterministic generator.
pub fn random(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
    *state >> 33
}

/// Hands messages in at the same time, each on a connection of its own, spread over the senders. Returns the ids of
/// those that were taken on.
pub fn hand_in_together(messages: Vec<Message>, senders: &[SocketAddr], record: &Record) -> Vec<String> {
    let handing_in: Vec<_> = messages
        .into_iter()
        .enumerate()
        .map(|(number, message)| {
            let (address, record) = (senders[number % senders.len()], record.clone());
            thread::spawn(move || {
                let status = connect(address).ok().and_then(|mut http| message.hand_in(&mut http));
                note!(record, "client: {} bytes={} answered {status:?}", message.id, message.body.len());
                Some(message.id).filter(|_| status == Some(202))
            })
        })
        .collect();
    handing_in.into_iter().filter_map(|message| message.join().ok().flatten()).collect()
}

/// What a bank's endpoint has seen.
#[derive(Default)]
pub struct BankCounts {
    /// Calls turned away as too large or with too many messages.
    pub turned_away: usize,
    /// The messages of those calls.
    pub messages_turned_away: usize,
    /// The messages that have run.
    pub ran: std::collections::HashSet<String>,
}

/// Starts an endpoint of a bank that takes 130 ms for a call. It answers 413 to a call with more messages than
/// `max_messages` returns, and to a body of over 64 KiB; such a call doesn't run.
pub fn start_bank(
    max_messages: impl Fn() -> usize + Send + Sync + 'static,
    record: &Record,
) -> (SocketAddr, Arc<Mutex<BankCounts>>) {
    let counts = Arc::<Mutex<BankCounts>>::default();
    let (shared, record) = (counts.clone(), record.clone());
    let address = start_endpoint(move |call| {
        let (bytes, messages, ids) = (call.body.len(), call.ids.len(), call.ids.join(" "));
        if bytes > 64 * 1024 || messages > max_messages() {
            let mut counts = shared.lock().unwrap();
            counts.turned_away += 1;
            counts.messages_turned_away += messages;
            note!(record, "bank: 413, not run: messages={messages} bytes={bytes} {ids}");
            return response("413 Content Too Large", "", "");
        }
        thread::sleep(Duration::from_millis(130));
        note!(record, "bank: ran messages={messages} bytes={bytes} {ids}");
        shared.lock().unwrap().ran.extend(call.ids.iter().cloned());
        all_ok(call)
    });
    (address, counts)
}

/// Judges a run: the rule is broken if calls were turned away and messages of them, though taken on, ended as failed
/// without having run. Prints and records the verdict, and returns the exit code.
pub fn judge_bank(accepted: &[String], bank: &BankCounts, agent: &Agent, record: &Record) -> i32 {
    let notices = agent.notices();
    let failed = |id: &&String| notices.iter().any(|notice| notice.id == **id && notice.state == "failed");
    let failed: Vec<&String> = accepted.iter().filter(|id| !bank.ran.contains(*id)).filter(failed).collect();
    let verdict = format!(
        "calls_over_the_limit={} messages_in_them={} taken_on={} ran={} failed_without_having_run={}",
        bank.turned_away,
        bank.messages_turned_away,
        accepted.len(),
        bank.ran.len(),
        failed.len()
    );
    note!(record, "verdict: {verdict}");
    println!("{verdict}");
    if accepted.len() < 40 {
        cannot_run("too few messages were taken on");
    }
    i32::from(bank.turned_away > 0 && !failed.is_empty())
}
