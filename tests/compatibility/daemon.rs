//! The binary as a process on a state folder.
use crate::http::{Message, PATIENCE, request};
use micadrum_fault_control::{CONTROL_VARIABLE, ControlFile, library_path};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Between two looks at something that is about to change.
const LOOK: Duration = Duration::from_millis(10);
/// Ten years in microseconds: a message of a committed folder has time left whenever it is read.
const TEN_YEARS: u64 = 315_360_000_000_000;
/// The same in seconds, as a client tells it.
pub const TEN_YEARS_IN_SECONDS: u64 = TEN_YEARS / 1_000_000;

/// The binary under test; the one that `FIXTURES_BINARY` names when fixtures are written anew.
pub fn binary() -> PathBuf {
    let named = std::env::var_os("FIXTURES_BINARY").filter(|_| crate::snapshot::updates());
    named.map_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_micadrum")), PathBuf::from)
}

/// The platform's configuration of the sender n1.
pub fn config(discovery: SocketAddr, members: &[Value]) -> Value {
    let class = |name: &str, repeat: &str, ordered: bool| {
        json!({"name": name, "aim": 1_000_000, "hard_limit": TEN_YEARS, "worth": 1.0, "late_value": 0.3,
            "repeat": repeat, "group": "all", "key_ttl": TEN_YEARS, "fifo_by_key": ordered})
    };
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "management": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": {"revision": 1, "complete": true, "members": members},
        "settings": {
            "azs": ["a", "b"], "zone": "a", "discovery": "pushed", "fleet_size": 1, "kinds": ["single"],
            "lanes": [class("unsafe", "fragile", false), class("safe", "retryable", false),
                class("keyed", "dedup", false), class("ordered", "dedup", true)],
            "limits": {"cancel": true, "connect_timeout": 1_500_000, "conn_idle": 5_000_000, "max_attempts": 6,
                "most_held": 50, "probes": false},
            "invariants": {"drain_grace": 1_000_000, "cold_share": 0.2, "ramp_time": 9_000_000,
                "overload_factor": 2.0, "fall": 1_500_000, "order_settle": 0, "must_ask_in": 10_000_000},
            "specifics": {"bundle_max": [1], "kind_apart": [false], "decay": "even", "max_calls": 8},
            "tenants": [{"name": "acme", "allowance_per_s": 100.0}],
            "period": 5000, "report": {"how": "answers", "names": ["x0", "x1"]}, "weights": "none"
        }
    })
}

/// A running daemon; it is killed when this is dropped.
pub struct Daemon {
    process: Child,
    /// Where clients come.
    pub clients: SocketAddr,
    /// Where operators come.
    pub operators: SocketAddr,
}

impl Daemon {
    /// Starts the binary on `folder` with that configuration, and with the operator's file that lies in it, if any, and
    /// waits until it listens.
    pub fn start(folder: &Path, config: &Value) -> Self {
        Self::start_with_faults(folder, config, None)
    }

    /// Starts the binary like [`Self::start`], with the faults in a control file, if there is one.
    pub fn start_with_faults(folder: &Path, config: &Value, faults: Option<&ControlFile>) -> Self {
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let mut command = Command::new(binary());
        command.env("PROXY_CONFIG", &file).env("PROXY_STATE", folder).stderr(Stdio::piped());
        let operator = folder.join("operator.toml");
        if operator.exists() {
            command.env("MICADRUM_OPERATOR", operator);
        }
        if let Some(faults) = faults {
            command.env("LD_PRELOAD", library_path().unwrap()).env(CONTROL_VARIABLE, faults.path());
        }
        let mut process = command.spawn().unwrap();
        let log = BufReader::new(process.stderr.take().unwrap());
        let (send, addresses) = channel();
        thread::spawn(move || {
            // Read to its end, so that the process never waits for room in the pipe.
            for line in log.lines().map_while(Result::ok) {
                println!("daemon: {line}");
                if let Some((before, address)) = line.split_once("listening on ") {
                    let _ = send.send((before.contains("operators"), address.to_owned()));
                }
            }
        });
        let mut daemon = Self { process, clients: unset(), operators: unset() };
        for _ in 0..2 {
            let (is_operators, address) = addresses.recv_timeout(PATIENCE).expect("a listening daemon");
            let place = if is_operators { &mut daemon.operators } else { &mut daemon.clients };
            *place = address.parse().unwrap();
        }
        daemon
    }

    /// Ends it at once.
    pub fn kill(mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Ends it in good order.
    pub fn terminate(mut self) {
        let kill = format!("kill -TERM {}", self.process.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
        wait_until("an end", || self.process.try_wait().unwrap().is_some());
    }

    /// Hands in a message for that destination; the status of the answer.
    pub fn hand_in(&self, id: &str, class: &str, key: &str, destination: u64, seconds: &str) -> u16 {
        let headers = format!(
            "X-Txn: {id}\r\nX-Lane: {class}\r\nX-Org: acme\r\nX-Entity: {key}\r\nX-Remaining: {seconds}\r\n\
             X-Envelope: dest={destination}\r\nIdempotency-Key: idem-{id}\r\n"
        );
        request(self.clients, "POST /api", &headers, format!("body of {id}").as_bytes()).status()
    }

    /// A call at the door for operators.
    pub fn operator(&self, line: &str, body: &str) -> Message {
        request(self.operators, line, "", body.as_bytes())
    }

    /// `/status/metrics`.
    pub fn metrics(&self) -> Value {
        self.operator("GET /status/metrics", "").json()
    }

    /// Waits until a return after a loss of power is over: newcomers come in without a limit.
    pub fn wait_until_full_service(&self) {
        let stage = || self.operator("GET /status/recovery", "").json()["stage"].clone();
        wait_until("full service", || stage() == "full");
    }

    /// Waits until clients may come.
    pub fn wait_until_ready(&self) {
        wait_until("readiness", || self.operator("GET /status", "").status() == 200);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn unset() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until something is so, for a bounded time.
pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let late = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < late, "waited in vain for {what}");
        thread::sleep(LOOK);
    }
}
