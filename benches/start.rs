//! Measures the time from the start of the process until it listens, with 30 and 10,000 endpoints, with and
//! without the `memory.log` of an earlier process, and the size of that file.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const ROUNDS: usize = 15;

fn config(endpoints: usize) -> serde_json::Value {
    let members: Vec<_> = (0..endpoints)
        .map(|n| {
            json!({"id": format!("s-{n:08x}"), "host_port": "127.0.0.1:9", "locality": "a", "flavor": "single",
                "cell": n / 2, "phase": "SERVING", "size": 1.0, "up_since_ms": 0})
        })
        .collect();
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 400},
        "known": {"revision": 1, "complete": true, "members": members},
        "settings": {
            "azs": ["a"], "zone": "a", "discovery": "pushed", "fleet_size": 1, "kinds": ["single"],
            "lanes": [{"name": "keyed", "aim": 1_000_000, "hard_limit": 30_000_000, "worth": 1.0, "late_value": 0.3,
                "repeat": "dedup", "group": "all", "key_ttl": 20_000_000}],
            "limits": {"cancel": true, "connect_timeout": 1_500_000, "conn_idle": 5_000_000, "max_attempts": 6,
                "most_held": 50, "probes": false},
            "invariants": {"drain_grace": 1_000_000, "cold_share": 0.2, "ramp_time": 9_000_000,
                "overload_factor": 2.0, "fall": 1_500_000, "order_settle": 0, "must_ask_in": 10_000_000},
            "specifics": {"bundle_max": [1], "kind_apart": [false], "decay": "even", "max_calls": 8},
            "tenants": [], "period": 5000, "report": {"how": "answers", "names": ["x0", "x1"]}, "weights": "none"
        }
    })
}

/// Starts the daemon in `folder`, kills it as soon as it listens and returns the time until then.
fn start(folder: &Path) -> Duration {
    let started = Instant::now();
    let mut process = Command::new(env!("CARGO_BIN_EXE_micadrum"))
        .env("PROXY_CONFIG", folder.join("config.json"))
        .env("PROXY_STATE", folder)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
    let is_listening = log.into_iter().any(|line| line.contains("listening on"));
    let elapsed = started.elapsed();
    process.kill().unwrap();
    process.wait().unwrap();
    assert!(is_listening, "the daemon did not start to listen");
    elapsed
}

fn median(mut of: Vec<Duration>) -> f64 {
    of.sort();
    of[of.len() / 2].as_secs_f64() * 1e3
}

fn main() {
    println!("endpoints | start without a file, ms | with one, ms | ratio | file, bytes");
    for endpoints in [30, 10_000] {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("config.json"), config(endpoints).to_string()).unwrap();
        let file = folder.path().join("memory.log");
        let (mut without, mut with) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            let _ = std::fs::remove_file(&file);
            without.push(start(folder.path()));
            with.push(start(folder.path()));
        }
        let (without, with) = (median(without), median(with));
        let length = std::fs::metadata(&file).unwrap().len();
        println!("{endpoints} | {without:.1} | {with:.1} | {:.2} | {length}", with / without);
    }
}
