//! Starts and controls the daemon as a process with a state folder.
use crate::http::{Message, TIMEOUT, request};
use micadrum_fault_control::{CONTROL_VARIABLE, ControlFile, library_path};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// The interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Ten years in microseconds, longer than the maximum deadline that the daemon accepts.
const TEN_YEARS_US: u64 = 315_360_000_000_000;
/// Ten years in seconds, as in `X-Remaining`.
pub const TEN_YEARS_IN_SECONDS: u64 = TEN_YEARS_US / 1_000_000;

/// Returns the path of the binary under test. While fixtures are updated, this is `FIXTURES_BINARY`, if set.
pub fn binary() -> PathBuf {
    let named = std::env::var_os("FIXTURES_BINARY").filter(|_| crate::snapshot::is_updating_fixtures());
    named.map_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_micadrum")), PathBuf::from)
}

/// Returns the platform's configuration of the sender n1.
pub fn config(discovery: SocketAddr, members: &[Value]) -> Value {
    let class = |name: &str, repeat: &str, ordered: bool| {
        json!({"name": name, "aim": 1_000_000, "hard_limit": TEN_YEARS_US, "worth": 1.0, "late_value": 0.3,
            "repeat": repeat, "group": "all", "key_ttl": TEN_YEARS_US, "fifo_by_key": ordered})
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

/// A running daemon, which is killed on drop.
pub struct Daemon {
    process: Child,
    /// The address for clients.
    pub client_address: SocketAddr,
    /// The address of the admin endpoint.
    pub admin_address: SocketAddr,
}

impl Daemon {
    /// Starts the binary with the state folder `folder`, its `operator.toml`, if any, and the given
    /// configuration. Returns once it listens.
    pub fn start(folder: &Path, config: &Value) -> Self {
        Self::start_with_faults(folder, config, None)
    }

    /// Like [`Self::start`], with fault injection by a control file, if given.
    pub fn start_with_faults(folder: &Path, config: &Value, faults: Option<&ControlFile>) -> Self {
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let mut command = Command::new(binary());
        command.env("PROXY_CONFIG", &file).env("PROXY_STATE", folder).stderr(Stdio::piped());
        let operator_file = folder.join("operator.toml");
        if operator_file.exists() {
            command.env("MICADRUM_OPERATOR", operator_file);
        }
        if let Some(faults) = faults {
            command.env("LD_PRELOAD", library_path().unwrap()).env(CONTROL_VARIABLE, faults.path());
        }
        let mut process = command.spawn().unwrap();
        let log = BufReader::new(process.stderr.take().unwrap());
        let (send, addresses) = channel();
        thread::spawn(move || {
            // Reads all output, so that the process never blocks on a full pipe.
            for line in log.lines().map_while(Result::ok) {
                println!("daemon: {line}");
                if let Some((before, address)) = line.split_once("listening on ") {
                    let _ = send.send((before.contains("operators"), address.to_owned()));
                }
            }
        });
        let mut daemon = Self { process, client_address: unset(), admin_address: unset() };
        for _ in 0..2 {
            let (is_admin, address) =
                addresses.recv_timeout(TIMEOUT).expect("the daemon listens on both addresses");
            let address_field = if is_admin { &mut daemon.admin_address } else { &mut daemon.client_address };
            *address_field = address.parse().unwrap();
        }
        daemon
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Sends SIGTERM and waits until the process has exited.
    pub fn terminate(mut self) {
        let kill = format!("kill -TERM {}", self.process.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
        wait_until("the daemon to exit", || self.process.try_wait().unwrap().is_some());
    }

    /// Submits a message and returns the status code of the response.
    pub fn submit(&self, id: &str, class: &str, key: &str, destination: u64, seconds: &str) -> u16 {
        let headers = format!(
            "X-Txn: {id}\r\nX-Lane: {class}\r\nX-Org: acme\r\nX-Entity: {key}\r\nX-Remaining: {seconds}\r\n\
             X-Envelope: dest={destination}\r\nIdempotency-Key: idem-{id}\r\n"
        );
        request(self.client_address, "POST /api", &headers, format!("body of {id}").as_bytes()).status()
    }

    /// Sends a request to the admin endpoint and returns the response.
    pub fn admin_request(&self, line: &str, body: &str) -> Message {
        request(self.admin_address, line, "", body.as_bytes())
    }

    /// Returns the JSON of `/status/metrics`.
    pub fn metrics(&self) -> Value {
        self.admin_request("GET /status/metrics", "").json()
    }

    /// Waits until the recovery after a machine restart is complete, so that new messages are accepted
    /// without a limit.
    pub fn wait_until_full_service(&self) {
        let stage = || self.admin_request("GET /status/recovery", "").json()["stage"].clone();
        wait_until("the recovery stage \"full\"", || stage() == "full");
    }

    /// Waits until `/status` reports that the daemon accepts clients.
    pub fn wait_until_ready(&self) {
        wait_until("the daemon to be ready", || self.admin_request("GET /status", "").status() == 200);
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

/// Waits until `condition` returns true.
///
/// # Panics
/// Panics if the condition does not hold within [`TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out after {TIMEOUT:?} waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
