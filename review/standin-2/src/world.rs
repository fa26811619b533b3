//! The surroundings of a sender: its folder and configuration, the processes, the platform's agent, the
//! record of a run.
use crate::http::{self, Reply, Request, Response, answer};
use crate::json::Json;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn sleep_ms(milliseconds: u64) {
    thread::sleep(ms(milliseconds));
}

/// The record of a run: lines with the time since its start, on the screen and in a file.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    /// `None` once the verdict is written.
    file: Arc<Mutex<Option<File>>>,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(Some(File::create(path)?)));
        Ok(Self { start: Instant::now(), file })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let time = at.saturating_duration_since(self.start).as_secs_f64();
        let line = format!("{time:9.4} {}", text.as_ref());
        if let Some(file) = &mut *self.file.lock().unwrap() {
            let _ = writeln!(file, "{line}");
            println!("{line}");
        }
    }

    /// Writes the last line.
    fn close(&self, text: &str) {
        self.line(text);
        *self.file.lock().unwrap() = None;
    }
}

/// A case in progress: the repository, a temporary folder, the record.
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

impl Case {
    pub fn new(root: &Path, record: &Path) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(folder.join("state"))?;
        let record = Record::new(record)?;
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line(format!("trouble={}", u8::from(trouble)));
        Ok(Self { root: root.to_owned(), folder, record, trouble })
    }

    /// Ends the run with a verdict, and all processes that it started.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        let name = ["held", "broken", "could not run"][code as usize];
        self.record.close(&format!("verdict: {name}: {verdict}"));
        end_processes();
        let _ = fs::remove_dir_all(&self.folder);
        exit(code)
    }

    pub fn expect<T, E: std::fmt::Display>(&self, result: Result<T, E>, what: &str) -> T {
        result.unwrap_or_else(|error| self.end(CANNOT_RUN, &format!("{what}: {error}")))
    }

    /// Writes a configuration and returns its path.
    pub fn write_config(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        let new = self.folder.join(format!("{name}.new"));
        self.expect(fs::write(&new, text).and_then(|()| fs::rename(&new, &path)), "configuration");
        path
    }

    /// Starts the sender with the command of the deploy file, which replaces the shell by `exec`.
    pub fn start_sender(&self, config: &Path, log: &str) -> Sender {
        self.start_sender_with(config, None, log)
    }

    /// The same, with an operator's file.
    pub fn start_sender_with(&self, config: &Path, operator: Option<&Path>, log: &str) -> Sender {
        let deploy = self.expect(fs::read_to_string(self.root.join("deploy/balancer.toml")), "deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.unwrap_or_else(|| self.end(CANNOT_RUN, "no run command in the deploy file"));
        let log = File::create(self.folder.join(log)).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).current_dir(&self.root).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        command.env("PROXY_CONFIG", config).env("PROXY_STATE", self.folder.join("state"));
        command.env_remove("MICADRUM_TRACE").env_remove("MICADRUM_OPERATOR");
        command.envs(operator.map(|file| ("MICADRUM_OPERATOR", file)));
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = self.expect(command.spawn(), "starting the sender");
        self.record.line(format!("started a sender, process {}", child.id()));
        RUNNING.lock().unwrap().push(child.id());
        Sender { child }
    }

    /// Waits until the sender at `address` is ready.
    pub fn wait_ready(&self, address: SocketAddr) {
        let limit = Instant::now() + ms(30_000);
        while Instant::now() < limit {
            let ready = http::call(address, "GET", "/-/ready", "", b"", ms(400));
            if ready.is_ok_and(|response| response.status == 200) {
                return self.record.line("the sender is ready");
            }
            sleep_ms(10);
        }
        self.end(CANNOT_RUN, "the sender is not ready after 30 s")
    }

    /// Waits until a door for operators says yes.
    pub fn wait_status(&self, address: SocketAddr) -> bool {
        self.wait_status_while(address, || true)
    }

    /// The same, as long as `goes_on` returns true.
    pub fn wait_status_while(&self, address: SocketAddr, mut goes_on: impl FnMut() -> bool) -> bool {
        let limit = Instant::now() + ms(6_000);
        while Instant::now() < limit && goes_on() {
            let status = http::call(address, "GET", "/status", "", b"", ms(1_000));
            if status.is_ok_and(|response| response.status == 200) {
                self.record.line("the new process says yes on its second address");
                return true;
            }
            sleep_ms(5);
        }
        false
    }

    /// Adds the sender's log to the record.
    pub fn record_log(&self, name: &str) {
        let text = fs::read_to_string(self.folder.join(name)).unwrap_or_default();
        for line in text.lines().take(60) {
            self.record.line(format!("[{name}] {line}"));
        }
    }
}

/// A process of the sender.
pub struct Sender {
    pub child: Child,
}

impl Sender {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
        self.has_ended();
    }

    /// SIGTERM, and SIGKILL 3.7 s later if the process is still there.
    pub fn end_gracefully(&mut self) {
        self.signal(SIGTERM);
        let limit = Instant::now() + ms(3_700);
        while Instant::now() < limit && !self.has_ended() {
            sleep_ms(10);
        }
        if !self.has_ended() {
            self.kill();
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = self.child.try_wait().is_ok_and(|status| status.is_some());
        if has_ended {
            RUNNING.lock().unwrap().retain(|process| *process != self.child.id());
        }
        has_ended
    }
}

/// The processes that were started and not seen to end.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_processes() {
    for process in RUNNING.lock().unwrap().iter() {
        unsafe { kill(*process as i32, SIGKILL) };
    }
}

/// Ends the run as one that could not be carried out if it takes too long.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        println!("verdict: could not run: the run took over {seconds} s");
        end_processes();
        exit(CANNOT_RUN);
    });
}

/// Returns a loopback address that was free just now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub flavor: &'static str,
    pub cell: u32,
    pub phase: &'static str,
}

impl Member {
    fn json(&self) -> String {
        let Self { id, address, flavor, cell, phase } = self;
        format!(
            "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"a\",\"flavor\":\"{flavor}\",\
             \"cell\":{cell},\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

/// A notice that the platform has answered.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: String,
    pub state: String,
}

/// The agent on the sender's machine: the list, watches, notices.
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<AgentState>,
}

struct AgentState {
    list: Mutex<AgentList>,
    changed: Condvar,
    /// How much later the agent answers a request for the list, in milliseconds.
    delay_ms: AtomicU64,
    notices: Mutex<Vec<Notice>>,
    record: Record,
}

struct AgentList {
    members: Vec<(u64, Member)>,
    revision: u64,
}

impl Agent {
    pub fn start(members: &[Member], delay_ms: u64, record: &Record) -> Self {
        let (listener, address) = listen();
        let list = AgentList { members: members.iter().map(|m| (41, m.clone())).collect(), revision: 41 };
        let state = Arc::new(AgentState {
            list: Mutex::new(list),
            changed: Condvar::new(),
            delay_ms: AtomicU64::new(delay_ms),
            notices: Mutex::default(),
            record: record.clone(),
        });
        let served = state.clone();
        http::serve(listener, move |request| served.answer(request));
        Self { address, state }
    }

    /// Adds endpoints, or changes those with the same id.
    pub fn change(&self, members: &[Member]) {
        let mut list = self.state.list.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        for member in members {
            list.members.retain(|(_, known)| known.id != member.id);
            list.members.push((revision, member.clone()));
            let Member { id, address, cell, phase, .. } = member;
            self.state.record.line(format!("discovery: {id} at {address}, partner {cell}, is {phase}"));
        }
        self.state.changed.notify_all();
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.state.notices.lock().unwrap().clone()
    }
}

impl AgentState {
    fn answer(&self, request: &Request) -> Reply {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        match (request.method.as_str(), path) {
            ("POST", "/v1/notices") => self.take_notices(&request.body),
            ("GET", "/api/targets") => {
                let field = |name: &str| -> Option<u64> {
                    query.split('&').find_map(|pair| pair.strip_prefix(name))?.parse().ok()
                };
                let body = self.list(field("from="), field("hold_ms=").unwrap_or(0));
                sleep_ms(self.delay_ms.load(Ordering::Relaxed));
                Reply::Answer(200, String::new(), body)
            }
            _ => answer(404),
        }
    }

    fn list(&self, from: Option<u64>, hold_ms: u64) -> String {
        let list = self.list.lock().unwrap();
        let Some(from) = from else { return list.json(None) };
        let hold = ms(hold_ms.min(60_000));
        let (list, _) = self.changed.wait_timeout_while(list, hold, |list| list.revision <= from).unwrap();
        list.json(Some(from))
    }

    fn take_notices(&self, body: &[u8]) -> Reply {
        let text = String::from_utf8_lossy(body).into_owned();
        let mut taken = Vec::new();
        for line in text.lines() {
            let notice = Json::parse(line);
            let field = |name: &str| notice.as_ref().and_then(|notice| notice.get(name)?.text());
            let (Some(id), Some(state)) = (field("id"), field("state")) else { return answer(400) };
            taken.push(Notice { id: id.to_owned(), state: state.to_owned() });
        }
        for notice in taken {
            self.record.line(format!("notice {} {}", notice.id, notice.state));
            self.notices.lock().unwrap().push(notice);
        }
        answer(204)
    }
}

impl AgentList {
    fn json(&self, from: Option<u64>) -> String {
        let is_told = |changed: u64| from.is_none_or(|from| changed > from);
        // A whole list names no endpoint that is gone.
        let is_listed = |member: &Member| from.is_some() || member.phase != "DELETED";
        let members = self.members.iter().filter(|(changed, member)| is_told(*changed) && is_listed(member));
        let members: Vec<Member> = members.map(|(_, member)| member.clone()).collect();
        list_json(self.revision, from.is_none(), &members)
    }
}

/// A message as a client hands it in.
#[derive(Clone)]
pub struct Message {
    pub id: String,
    pub lane: &'static str,
    pub org: &'static str,
    pub entity: Option<String>,
    pub key: Option<String>,
    pub remaining: f64,
    pub dest: u32,
    pub body: Vec<u8>,
}

impl Message {
    pub fn new(id: String, lane: &'static str, org: &'static str, dest: u32, remaining: f64) -> Self {
        let body = format!("body of {id}").into_bytes();
        Self { id, lane, org, entity: None, key: None, remaining, dest, body }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let Self { id, lane, org, remaining, dest, .. } = self;
        let mut headers = format!(
            "X-Txn: {id}\r\nX-Lane: {lane}\r\nX-Org: {org}\r\nX-Remaining: {remaining:.3}\r\n\
             X-Envelope: dest={dest}\r\n"
        );
        if let Some(entity) = &self.entity {
            headers += &format!("X-Entity: {entity}\r\n");
        }
        if let Some(key) = &self.key {
            headers += &format!("Idempotency-Key: {key}\r\n");
        }
        http::request_bytes("POST", "/api", &headers, &self.body)
    }
}

/// A client with one kept connection.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
    record: Record,
    is_quiet: bool,
}

impl Client {
    pub fn new(address: SocketAddr, record: &Record) -> Self {
        Self { address, stream: None, buffer: Vec::new(), record: record.clone(), is_quiet: false }
    }

    /// A client that records only what was not taken on.
    pub fn quiet(address: SocketAddr, record: &Record) -> Self {
        Self { is_quiet: true, ..Self::new(address, record) }
    }

    /// Hands a message in, and waits 400 ms for the answer. A connection that the sender has closed between
    /// two requests is replaced once.
    pub fn hand_in(&mut self, message: &Message) -> io::Result<Response> {
        let had_connection = self.stream.is_some();
        let mut answered = self.try_hand_in(message);
        if answered.is_err() && had_connection {
            answered = self.try_hand_in(message);
        }
        let text = answered.as_ref().map_or_else(ToString::to_string, |answer| answer.status.to_string());
        if !self.is_quiet || text != "202" {
            self.record.line(format!("handed in {} bytes={}: {text}", message.id, message.body.len()));
        }
        answered
    }

    fn try_hand_in(&mut self, message: &Message) -> io::Result<Response> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                self.buffer.clear();
                TcpStream::connect_timeout(&self.address, ms(400))?
            }
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(400)))?;
        stream.write_all(&message.bytes())?;
        let response = http::read_response(&mut stream, &mut self.buffer)?;
        if !response.closes {
            self.stream = Some(stream);
        }
        Ok(response)
    }
}

/// Starts a sound partner with one endpoint that answers each call with 200, and returns its entry.
pub fn sound_partner(id: &str, flavor: &'static str, cell: u32, work_ms: u64) -> Member {
    let (listener, address) = listen();
    http::serve(listener, move |_| {
        sleep_ms(work_ms);
        answer(200)
    });
    Member { id: id.to_owned(), address, flavor, cell, phase: "SERVING" }
}

/// A new id or key: 16 hexadecimal digits.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let mixed = (clock ^ number.rotate_left(40)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    format!("{:016x}", mixed ^ (mixed >> 29))
}

/// The configuration of a sender.
pub struct Config {
    pub name: &'static str,
    pub listen: SocketAddr,
    pub management: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
}

impl Config {
    pub fn json(&self) -> String {
        let Self { name, listen, management, discovery, known, settings } = self;
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"management\":\"{management}\",\
             \"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\
             \"known\":{known},\"settings\":{settings}}}"
        )
    }
}
