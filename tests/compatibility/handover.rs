//! The handover from one process to the next over `handover.sock`.
use crate::daemon::{Daemon, config, wait_until};
use crate::http::TIMEOUT;
use crate::scenario::{ANSWERING, Endpoints, RATE_LIMITED, submit, wait_for_records};
use crate::schema::handover_payload;
use crate::snapshot::{assert_matches_fixture, pretty};
use crate::test_servers::Platform;
use serde_json::json;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;

/// The request that the next process sends.
const REQUEST: &[u8] = b"micadrum handover 2";

/// Guards against a request or a payload that a process of an earlier build cannot read.
#[test]
fn the_handover_payload_matches_the_fixture() {
    let folder = tempfile::tempdir().unwrap();
    let endpoints = Endpoints::start();
    let draining = json!({"revision": 2, "complete": true, "members": endpoints.list("DRAINING")});
    let platform = Platform::start(Some(draining), true);
    let daemon = Daemon::start(folder.path(), &config(platform.address, &endpoints.list("SERVING")));
    // The draining endpoint is counted as soon as the list has been applied.
    wait_until("the list of endpoints to be applied", || daemon.metrics()["hosts_down"] == 1);
    submit(&daemon, "delivered", "unsafe", ANSWERING);
    endpoints.of(ANSWERING).call().reply("200 OK", "");
    wait_for_records(folder.path(), "OverSince", 1);
    submit(&daemon, "waits", "keyed", RATE_LIMITED);
    endpoints.of(RATE_LIMITED).call().reply("429 Too Many Requests", "Retry-After: 30\r\n");
    wait_for_records(folder.path(), "Outcome", 1);
    let payload = request_handover(folder.path());
    let decoded = handover_payload().read_all(&payload).unwrap();
    assert_matches_fixture("handover/payload.json", &pretty(&decoded));
    // The connection was closed before the handover completed, so the process continues to serve.
    daemon.wait_until_ready();
}

/// Guards against a handover between incompatible versions.
#[test]
fn rejects_a_handover_request_of_another_version() {
    let folder = tempfile::tempdir().unwrap();
    let (endpoints, platform) = (Endpoints::start(), Platform::start(None, true));
    let daemon = Daemon::start(folder.path(), &config(platform.address, &endpoints.list("SERVING")));
    let mut stream = connect(folder.path());
    stream.write_all(b"micadrum handover 1").unwrap();
    assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0, "the connection is closed without a payload");
    assert_eq!(daemon.admin_request("GET /status", "").status(), 200);
}

fn connect(folder: &Path) -> UnixStream {
    let socket = folder.join("handover.sock");
    wait_until("handover.sock to exist", || socket.exists());
    let stream = UnixStream::connect(socket).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Requests a handover and returns the payload. It follows its length in 8 bytes, little-endian, which carry
/// the listening socket as ancillary data.
fn request_handover(folder: &Path) -> Vec<u8> {
    let mut stream = connect(folder);
    stream.write_all(REQUEST).unwrap();
    let mut length = [0; 8];
    stream.read_exact(&mut length).unwrap();
    let mut payload = vec![0; u64::from_le_bytes(length) as usize];
    stream.read_exact(&mut payload).unwrap();
    payload
}
