//! What surrounds a sender in these tests: each peer hands its requests to the test, which answers them.
use micadrum_fault_control::{CONTROL_VARIABLE, ControlFile, PATH_PREFIX_VARIABLE, library_path};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Far longer than anything here takes: only a failure waits for it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A request or an answer: first line, header lines, body.
#[derive(Debug)]
pub struct HttpMessage {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Reads one; none where the connection ends before its last byte.
    pub async fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut bytes = Vec::new();
        let head = loop {
            if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            stream.read_buf(&mut bytes).await.ok().filter(|read| *read > 0)?;
        };
        let text = String::from_utf8(bytes[..head].to_vec()).unwrap();
        let mut lines = text.split("\r\n").map(str::to_owned);
        let start_line = lines.next().unwrap();
        let headers =
            lines.map(|l| l.split_once(": ").map(|(n, v)| (n.to_lowercase(), v.to_owned())).unwrap());
        let mut message =
            HttpMessage { start_line, headers: headers.collect(), body: bytes.split_off(head + 4) };
        let length = message.header("content-length").map_or(0, |l| l.parse().unwrap());
        while message.body.len() < length {
            stream.read_buf(&mut message.body).await.ok().filter(|read| *read > 0)?;
        }
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).unwrap().parse().unwrap()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// What a peer does with a request.
pub enum Reply {
    Response(String),
    Disconnect,
}

pub fn response(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Response(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// A request that waits for the test's word; unanswered, it hangs until this is dropped.
pub struct Call {
    pub request: HttpMessage,
    /// Counts the connections of the peer.
    pub connection: usize,
    reply: oneshot::Sender<Reply>,
}

impl Call {
    pub fn reply(self, reply: Reply) {
        let _ = self.reply.send(reply);
    }

    pub fn ok(self) {
        self.reply(response("200 OK", "", ""));
    }

    pub fn id(&self) -> &str {
        self.request.header("x-txn").unwrap()
    }
}

/// A server on a port of its own.
pub struct TestServer {
    pub address: SocketAddr,
    calls: mpsc::UnboundedReceiver<Call>,
}

impl TestServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (to_test, calls) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, connection, to_test.clone()));
                connection += 1;
            }
        });
        Self { address, calls }
    }

    pub async fn next_call(&mut self) -> Call {
        timeout(TEST_TIMEOUT, self.calls.recv()).await.expect("a call").unwrap()
    }

    /// Whether nothing comes for `span`.
    pub async fn is_idle_for(&mut self, span: Duration) -> bool {
        timeout(span, self.calls.recv()).await.is_err()
    }
}

async fn serve(mut stream: TcpStream, connection: usize, to_test: mpsc::UnboundedSender<Call>) {
    while let Some(request) = HttpMessage::read(&mut stream).await {
        let (reply, replied) = oneshot::channel();
        if to_test.send(Call { request, connection, reply }).is_err() {
            return;
        }
        match replied.await {
            Ok(Reply::Response(text)) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Ok(Reply::Disconnect) | Err(_) => return,
        }
    }
}

/// A number that a watch tells in its path.
fn query_number(call: &Call, name: &str) -> Option<u64> {
    let (_, after) = call.request.start_line.split_once(name)?;
    after.split(['&', ' ']).next()?.parse().ok()
}

/// What the agent is to do.
enum PlatformCommand {
    /// The list changes.
    UpdateEndpoints(Value),
    /// The watch that is open breaks.
    BreakWatch,
    /// It answers no watch, or does again.
    SetSilent(bool),
}

/// Discovery's agent and the platform that takes notices.
pub struct Platform {
    pub address: SocketAddr,
    notifications: mpsc::UnboundedReceiver<Value>,
    commands: mpsc::UnboundedSender<PlatformCommand>,
    /// While set, notices are read and not acknowledged.
    pub drops_notifications: Arc<AtomicBool>,
}

impl Platform {
    /// A peer that the test answers for itself.
    pub fn served_by_test(address: SocketAddr) -> Self {
        let ((_, notifications), (commands, _)) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        Self { address, notifications, commands, drops_notifications: Arc::default() }
    }

    pub async fn start() -> Self {
        let mut peer = TestServer::start().await;
        let address = peer.address;
        let (notified, notifications) = mpsc::unbounded_channel();
        let (commands, mut received_commands) = mpsc::unbounded_channel::<PlatformCommand>();
        let drops_notifications = Arc::new(AtomicBool::new(false));
        let drops = drops_notifications.clone();
        tokio::spawn(async move {
            let mut watch: Option<(Call, tokio::time::Instant)> = None;
            // The last change that was told, and its revision: the configuration's list is the first.
            let (mut revision, mut latest) = (1, None::<Value>);
            let mut silent = false;
            loop {
                let end = watch.as_ref().filter(|_| !silent).map(|(_, end)| *end);
                tokio::select! {
                    command = received_commands.recv() => match command {
                        Some(PlatformCommand::UpdateEndpoints(change)) => (revision, latest) = (revision + 1, Some(change)),
                        Some(PlatformCommand::BreakWatch) => watch = None,
                        Some(PlatformCommand::SetSilent(from_now_on)) => silent = from_now_on,
                        None => return,
                    },
                    call = peer.calls.recv() => {
                        let Some(call) = call else { return };
                        if call.request.start_line.starts_with("GET /api/targets") {
                            let hold = query_number(&call, "hold_ms=").map_or(TEST_TIMEOUT, Duration::from_millis);
                            watch = Some((call, tokio::time::Instant::now() + hold));
                        } else if drops.load(Ordering::SeqCst) {
                            call.reply(Reply::Disconnect);
                        } else {
                            for line in call.request.body.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
                                let _ = notified.send(serde_json::from_slice(line).unwrap());
                            }
                            call.reply(response("204 No Content", "", ""));
                        }
                    }
                    () = tokio::time::sleep_until(end.unwrap_or_else(tokio::time::Instant::now)), if end.is_some() => {
                        // Nothing has come while it waited.
                        let (call, _) = watch.take().unwrap();
                        let list = json!({"revision": query_number(&call, "from="), "complete": false, "members": []});
                        call.reply(response("200 OK", "", &list.to_string()));
                    }
                }
                let Some(change) = latest.as_ref().filter(|_| !silent) else { continue };
                if let Some((call, _)) =
                    watch.take_if(|(call, _)| query_number(call, "from=").is_none_or(|from| from < revision))
                {
                    // Without a revision to go on from, the whole list is asked for.
                    let complete = query_number(&call, "from=").is_none();
                    let list = json!({"revision": revision, "complete": complete, "members": change});
                    call.reply(response("200 OK", "", &list.to_string()));
                }
            }
        });
        Self { address, notifications, commands, drops_notifications }
    }

    pub async fn next_notification(&mut self) -> Value {
        timeout(TEST_TIMEOUT, self.notifications.recv()).await.expect("a notice").unwrap()
    }

    /// All notices from now on, as they come.
    pub fn take_notifications(&mut self) -> mpsc::UnboundedReceiver<Value> {
        std::mem::replace(&mut self.notifications, mpsc::unbounded_channel().1)
    }

    /// Tells a change of the list.
    pub fn update_endpoints(&self, entries: &[Value]) {
        self.send(PlatformCommand::UpdateEndpoints(json!(entries)));
    }

    /// Breaks the watch that is open.
    pub fn break_watch(&self) {
        self.send(PlatformCommand::BreakWatch);
    }

    /// From now on no watch is answered, or it is again.
    pub fn set_silent(&self, silent: bool) {
        self.send(PlatformCommand::SetSilent(silent));
    }

    fn send(&self, command: PlatformCommand) {
        assert!(self.commands.send(command).is_ok(), "the agent has ended");
    }
}

/// An endpoint of destination 7: of the kind `single`, or `batching`, which takes five messages in a call.
pub fn endpoint_entry(id: &str, address: SocketAddr, flavor: &str, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": flavor, "cell": 7,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// A sender's folder and what it is told; `process` is there while it runs.
pub struct Node {
    state_folder: Rc<TempDir>,
    config: Value,
    process: Option<Child>,
    /// Makes system calls of the processes fail, where a test has asked for it.
    faults: Option<Rc<ControlFile>>,
    pub address: SocketAddr,
    /// The door for operators.
    pub admin_address: SocketAddr,
}

impl Node {
    pub async fn start(platform: &Platform, entries: &[Value]) -> Self {
        Self::start_with(platform, entries, |_| {}).await
    }

    /// Starts a sender whose system calls the test can make fail; see [`Node::faults`].
    pub async fn start_with_faults(platform: &Platform, entries: &[Value], change: fn(&mut Value)) -> Self {
        let mut node = Self::create(platform, entries, change);
        let control = ControlFile::create(&node.state_path("faults"), 1).unwrap();
        node.faults = Some(Rc::new(control));
        node.launch().await;
        node
    }

    /// The control of the sender's system calls.
    pub fn faults(&self) -> &ControlFile {
        self.faults.as_ref().expect("a sender that was started with faults")
    }

    pub async fn start_with(platform: &Platform, entries: &[Value], change: fn(&mut Value)) -> Self {
        let mut node = Self::create(platform, entries, change);
        node.launch().await;
        node
    }

    fn create(platform: &Platform, entries: &[Value], change: fn(&mut Value)) -> Self {
        let lane = |name: &str, repeat: &str, fifo: bool| {
            json!({"name": name, "aim": 1_000_000, "hard_limit": 30_000_000, "worth": 1.0, "late_value": 0.3,
                "repeat": repeat, "group": "all", "key_ttl": 20_000_000, "fifo_by_key": fifo})
        };
        let mut config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "management": "127.0.0.1:0", "discovery": platform.address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"revision": 1, "complete": true, "members": entries},
            "settings": {
                "azs": ["a", "b"], "zone": "a", "discovery": "pushed", "fleet_size": 1,
                "kinds": ["single", "batching"],
                "lanes": [lane("unsafe", "fragile", false), lane("keyed", "dedup", false), lane("ordered", "dedup", true)],
                "limits": {"cancel": true, "connect_timeout": 1_500_000, "conn_idle": 5_000_000, "max_attempts": 6,
                    "most_held": 50, "probes": false},
                "invariants": {"drain_grace": 1_000_000, "cold_share": 0.2, "ramp_time": 9_000_000,
                    "overload_factor": 2.0, "fall": 1_500_000, "order_settle": 0, "must_ask_in": 10_000_000},
                "specifics": {"bundle_max": [1, 5], "kind_apart": [false, true], "decay": "even", "max_calls": 8},
                "tenants": [{"name": "acme", "allowance_per_s": 10.0}],
                "period": 5000, "report": {"how": "answers", "names": ["x0", "x1"]}, "weights": "none"
            }
        });
        change(&mut config);
        Self {
            state_folder: Rc::new(tempfile::tempdir().unwrap()),
            config,
            process: None,
            faults: None,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            admin_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }

    /// Starts the process on what its folder holds, and waits until it serves.
    pub async fn launch(&mut self) {
        let file = self.state_folder.path().join("config.json");
        // As it is, if it is: another process may be about to read it.
        let text = self.config.to_string();
        if std::fs::read_to_string(&file).ok().as_ref() != Some(&text) {
            std::fs::write(&file, text).unwrap();
        }
        let mut command = Command::new(env!("CARGO_BIN_EXE_micadrum"));
        let operator = self.state_path("operator.toml");
        if operator.exists() {
            command.env("MICADRUM_OPERATOR", operator);
        }
        if let Some(faults) = &self.faults {
            command
                .env("LD_PRELOAD", library_path().unwrap())
                .env(CONTROL_VARIABLE, faults.path())
                .env(PATH_PREFIX_VARIABLE, self.state_folder.path().join("m"));
        }
        let mut process = command
            .env("PROXY_CONFIG", &file)
            .env("PROXY_STATE", self.state_folder.path())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
        self.process = Some(process);
        let (told, address) = oneshot::channel();
        std::thread::spawn(move || {
            let mut after = |what| log.find_map(|line| Some(line.split_once(what)?.1.to_owned()));
            let operators = after("operators: listening on ");
            let _ = told.send(after("listening on ").zip(operators));
            // Read on, so that the process never waits for room in the pipe.
            log.for_each(|line| println!("sender: {line}"));
        });
        let address = timeout(TEST_TIMEOUT, address).await.expect("a start").unwrap();
        let (clients, operators) = address.expect("a listening sender");
        (self.address, self.admin_address) = (clients.parse().unwrap(), operators.parse().unwrap());
    }

    /// Starts a next process beside this one, which takes its place: from then on this stands for it. The old one.
    pub async fn replace(&mut self) -> Node {
        let old = Node {
            state_folder: self.state_folder.clone(),
            config: self.config.clone(),
            process: self.process.take(),
            faults: self.faults.clone(),
            ..*self
        };
        self.launch().await;
        assert_eq!(self.address, old.address, "clients come where they came before");
        old
    }

    /// The same sender, for a second process beside this one.
    pub fn without_process(&self) -> Node {
        Node {
            state_folder: self.state_folder.clone(),
            config: self.config.clone(),
            process: None,
            faults: self.faults.clone(),
            ..*self
        }
    }

    /// Starts the process on what its folder holds, where it cannot begin: its code, and its log.
    pub async fn launch_expecting_exit(&self) -> (Option<i32>, String) {
        let log = self.state_path("failed.log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_micadrum"));
        command
            .env("PROXY_CONFIG", self.state_path("config.json"))
            .env("PROXY_STATE", self.state_folder.path());
        let mut process = command.stderr(std::fs::File::create(&log).unwrap()).spawn().unwrap();
        let until = tokio::time::Instant::now() + TEST_TIMEOUT;
        let code = loop {
            if let Some(status) = process.try_wait().unwrap() {
                break status.code();
            }
            if tokio::time::Instant::now() > until {
                process.kill().unwrap();
                process.wait().unwrap();
                panic!("it began: {}", std::fs::read_to_string(&log).unwrap());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        (code, std::fs::read_to_string(&log).unwrap())
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    /// Begins a planned restart: SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the file of the configuration, with discovery elsewhere, and tells the process: SIGHUP.
    pub fn reload(&mut self, platform: &Platform) {
        self.config["discovery"] = json!(platform.address.to_string());
        std::fs::write(self.state_folder.path().join("config.json"), self.config.to_string()).unwrap();
        self.signal("HUP");
    }

    /// The same with a file that holds no configuration.
    pub fn reload_invalid_config(&self) {
        self.reload_text("{");
    }

    /// The same with a changed configuration.
    pub fn reload_with(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
        self.reload_text(&self.config.to_string());
    }

    /// The same with any text.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(self.state_folder.path().join("config.json"), text).unwrap();
        self.signal("HUP");
    }

    /// Changes what the next process is told.
    pub fn edit_config(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
    }

    /// Gives it an operator's file, from its next start or reload on.
    pub fn write_operator_file(&self, file: &str) {
        std::fs::write(self.state_path("operator.toml"), file).unwrap();
    }

    /// The process.
    pub fn pid(&self) -> u32 {
        self.process.as_ref().unwrap().id()
    }

    /// The folder that lasts.
    pub fn state_folder(&self) -> &std::path::Path {
        self.state_folder.path()
    }

    /// A file in the folder that lasts.
    pub fn state_path(&self, name: &str) -> std::path::PathBuf {
        self.state_folder.path().join(name)
    }

    /// The configuration as it was last written whole.
    pub fn config(&self) -> Value {
        self.config.clone()
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.process.as_ref().unwrap().id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Waits for the process to end by itself; whether it did so in good order.
    pub async fn exits_successfully(&mut self) -> bool {
        let mut process = self.process.take().unwrap();
        let wait = tokio::task::spawn_blocking(move || process.wait().unwrap().success());
        timeout(TEST_TIMEOUT, wait).await.expect("an end").unwrap()
    }

    /// Whether the process has ended, and in good order.
    pub fn poll_exit(&mut self) -> Option<bool> {
        let status = self.process.as_mut()?.try_wait().unwrap()?;
        self.process = None;
        Some(status.success())
    }

    pub fn journal_path(&self) -> std::path::PathBuf {
        self.state_folder.path().join("messages.wal")
    }

    /// Hands in a message for destination 7.
    pub async fn submit(&self, id: &str, class: &str, key: &str) -> HttpMessage {
        self.submit_with_remaining(id, class, key, "30.0").await
    }

    pub async fn submit_with_remaining(
        &self,
        id: &str,
        class: &str,
        key: &str,
        remaining: &str,
    ) -> HttpMessage {
        let head = format!(
            "X-Txn: {id}\r\nX-Lane: {class}\r\nX-Org: acme\r\nX-Entity: {key}\r\nX-Remaining: {remaining}\r\n\
             X-Envelope: dest=7\r\nIdempotency-Key: idem-{id}\r\n"
        );
        self.request("POST /api", &head, id.as_bytes()).await
    }

    pub async fn request(&self, what: &str, headers: &str, body: &[u8]) -> HttpMessage {
        request_at(self.address, what, headers, body).await
    }

    /// An operator's call.
    pub async fn admin_request(&self, what: &str, body: &str) -> HttpMessage {
        request_at(self.admin_address, what, "", body.as_bytes()).await
    }

    pub async fn metrics(&self) -> Value {
        self.admin_request("GET /status/metrics", "").await.json()
    }

    /// Waits until the figures are as wanted; each look is a little later than the last.
    pub async fn wait_for_metrics(&self, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let until = tokio::time::Instant::now() + TEST_TIMEOUT;
        loop {
            let metrics = self.metrics().await;
            if condition(&metrics) {
                return metrics;
            }
            assert!(tokio::time::Instant::now() < until, "{what}: {metrics}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn request_at(address: SocketAddr, what: &str, headers: &str, body: &[u8]) -> HttpMessage {
    {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!("{what} HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        // A sender may answer before it has read a body that it does not want.
        let _ = stream.write_all(body).await;
        timeout(TEST_TIMEOUT, HttpMessage::read(&mut stream))
            .await
            .expect("an answer")
            .expect("a whole answer")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
