//! The admin endpoint: the paths, JSON keys and types that operators' tools read.
use crate::daemon::{Daemon, config, wait_until};
use crate::scenario::{ANSWERING, Endpoints, submit, write_boot_id, write_operator_file};
use crate::snapshot::{assert_matches_fixture, mask, pretty};
use crate::test_servers::Platform;

/// The keys of `/status/peers` whose values vary between runs.
const VARYING_PEER_KEYS: [&str; 13] = [
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
/// The keys of `/status/recovery` whose values vary between runs.
const VARYING_RECOVERY_KEYS: [&str; 6] = ["for_us", "took", "steps", "asked", "stage", "waits_for"];

/// Guards against removed paths and against JSON fields with a changed name or type.
#[test]
fn status_responses_match_the_fixtures() {
    let folder = tempfile::tempdir().unwrap();
    let (endpoints, platform) = (Endpoints::start(), Platform::start(None, true));
    write_boot_id(folder.path(), 1);
    write_operator_file(folder.path(), "process", "vouched");
    let daemon = Daemon::start(folder.path(), &config(platform.address, &endpoints.list("SERVING")));
    daemon.wait_until_ready();
    submit(&daemon, "delivered", "unsafe", ANSWERING);
    endpoints.of(ANSWERING).call().reply("200 OK", "");
    wait_until("the message to be delivered", || daemon.metrics()["calls"]["unsafe"]["success"] == 1);
    let status = daemon.admin_request("GET /status", "");
    assert_eq!((status.status(), status.body.as_slice()), (200, b"ready\n".as_slice()));
    assert_matches_fixture("status/metrics.json", &pretty(&daemon.metrics()));
    let peers = daemon.admin_request("GET /status/peers", "").json();
    assert_matches_fixture("status/peers.json", &pretty(&mask(&peers, &VARYING_PEER_KEYS)));
    let recovery = daemon.admin_request("GET /status/recovery", "").json();
    assert_matches_fixture("status/recovery.json", &pretty(&mask(&recovery, &VARYING_RECOVERY_KEYS)));
}

/// Guards against changed responses of the admin endpoint to maintenance requests, and of paths that are
/// unavailable.
#[test]
fn maintenance_and_error_responses_match_the_fixtures() {
    let folder = tempfile::tempdir().unwrap();
    let (endpoints, platform) = (Endpoints::start(), Platform::start(None, true));
    let daemon = Daemon::start(folder.path(), &config(platform.address, &endpoints.list("SERVING")));
    let response_line = |line: &str, body: &str| {
        let answer = daemon.admin_request(line, body);
        format!("{line} {body:?}: {} {:?}\n", answer.status(), String::from_utf8_lossy(&answer.body))
    };
    let answers = [
        response_line("POST /maintenance/enter", "s-1"),
        response_line("POST /maintenance/enter", "s-2"),
        response_line("POST /maintenance/exit", "s-1"),
        response_line("POST /maintenance/enter", "unknown"),
        response_line("POST /maintenance/enter", ""),
        response_line("GET /status/peers", ""),
        response_line("GET /status/peers/all", ""),
        response_line("GET /status/recovery", ""),
        response_line("POST /status", ""),
        response_line("GET /nothing", ""),
    ];
    assert_matches_fixture("status/answers.txt", &answers.concat());
    let written = std::fs::read_to_string(folder.path().join("maintenance.json")).unwrap();
    assert_eq!(written, "[\"s-2\"]");
}
