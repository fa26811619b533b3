//! The door for operators: paths, keys and types that their tools read.
use crate::daemon::{Daemon, config, wait_until};
use crate::scenario::{ANSWERS, Endpoints, hand_in, write_boot_id, write_operator_file};
use crate::snapshot::{assert_same, mask, pretty};
use crate::standin::Platform;

/// Values of `/status/peers` that differ from run to run.
const OF_PEERS: [&str; 13] = [
    "secs",
    "nanos",
    "run",
    "address",
    "answered",
    "round_trip",
    "heard",
    "doubt",
    "standing",
    "counts",
    "cut_off",
    "since",
    "at",
];
/// The same of `/status/recovery`.
const OF_RECOVERY: [&str; 6] = ["for_us", "took", "steps", "asked", "stage", "waits_for"];

/// Guards against a field at the door that changes its name or type, and a path that is gone.
#[test]
fn the_door_for_operators_answers_as_before() {
    let folder = tempfile::tempdir().unwrap();
    let (endpoints, platform) = (Endpoints::start(), Platform::start(None, true));
    write_boot_id(folder.path(), 1);
    write_operator_file(folder.path(), "process", "vouched");
    let daemon = Daemon::start(folder.path(), &config(platform.address, &endpoints.list("SERVING")));
    daemon.wait_until_ready();
    hand_in(&daemon, "delivered", "unsafe", ANSWERS);
    endpoints.of(ANSWERS).call().reply("200 OK", "");
    wait_until("a delivery", || daemon.metrics()["calls"]["unsafe"]["success"] == 1);
    let status = daemon.operator("GET /status", "");
    assert_eq!((status.status(), status.body.as_slice()), (200, b"ready\n".as_slice()));
    assert_same("status/metrics.json", &pretty(&daemon.metrics()));
    let peers = daemon.operator("GET /status/peers", "").json();
    assert_same("status/peers.json", &pretty(&mask(&peers, &OF_PEERS)));
    let recovery = daemon.operator("GET /status/recovery", "").json();
    assert_same("status/recovery.json", &pretty(&mask(&recovery, &OF_RECOVERY)));
}

/// Guards against an answer of the door for operators that reads otherwise.
#[test]
fn endpoints_are_taken_out_and_put_back_as_before() {
    let folder = tempfile::tempdir().unwrap();
    let (endpoints, platform) = (Endpoints::start(), Platform::start(None, true));
    let daemon = Daemon::start(folder.path(), &config(platform.address, &endpoints.list("SERVING")));
    let told = |line: &str, body: &str| {
        let answer = daemon.operator(line, body);
        format!("{line} {body:?}: {} {:?}\n", answer.status(), String::from_utf8_lossy(&answer.body))
    };
    let answers = [
        told("POST /maintenance/enter", "s-1"),
        told("POST /maintenance/enter", "s-2"),
        told("POST /maintenance/exit", "s-1"),
        told("POST /maintenance/enter", "unknown"),
        told("POST /maintenance/enter", ""),
        told("GET /status/peers", ""),
        told("GET /status/peers/all", ""),
        told("GET /status/recovery", ""),
        told("POST /status", ""),
        told("GET /nothing", ""),
    ];
    assert_same("status/answers.txt", &answers.concat());
    let written = std::fs::read_to_string(folder.path().join("maintenance.json")).unwrap();
    assert_eq!(written, "[\"s-2\"]");
}
