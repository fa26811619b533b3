//! What a process gives to the next over `handover.sock`.
use crate::daemon::{Daemon, config, wait_until};
use crate::http::PATIENCE;
use crate::scenario::{ANSWERS, Endpoints, TELLS_TO_WAIT, hand_in, wait_for_records};
use crate::schema::handover_payload;
use crate::snapshot::{assert_same, pretty};
use crate::standin::Platform;
use serde_json::json;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;

/// What the next process says first.
const HELLO: &[u8] = b"micadrum handover 2";

/// Guards against a payload that a process of the landed build cannot read, and a greeting that it does not know.
#[test]
fn a_process_gives_its_place_in_the_landed_form() {
    let folder = tempfile::tempdir().unwrap();
    let endpoints = Endpoints::start();
    let draining = json!({"revision": 2, "complete": true, "members": endpoints.list("DRAINING")});
    let platform = Platform::start(Some(draining), true);
    let daemon = Daemon::start(folder.path(), &config(platform.address, &endpoints.list("SERVING")));
    // One endpoint is known to drain; the list is taken once it shows.
    wait_until("the list", || daemon.metrics()["hosts_down"] == 1);
    hand_in(&daemon, "delivered", "unsafe", ANSWERS);
    endpoints.of(ANSWERS).call().reply("200 OK", "");
    wait_for_records(folder.path(), "OverSince", 1);
    hand_in(&daemon, "waits", "keyed", TELLS_TO_WAIT);
    endpoints.of(TELLS_TO_WAIT).call().reply("429 Too Many Requests", "Retry-After: 30\r\n");
    wait_for_records(folder.path(), "Outcome", 1);
    let payload = ask_for_the_place(folder.path());
    let decoded = handover_payload().read_all(&payload).unwrap();
    assert_same("handover/payload.json", &pretty(&decoded));
    // The caller has ended without the place: it is the process's own again.
    daemon.wait_until_ready();
}

/// Guards against a process that gives its place to one of another version.
#[test]
fn another_greeting_is_turned_away() {
    let folder = tempfile::tempdir().unwrap();
    let (endpoints, platform) = (Endpoints::start(), Platform::start(None, true));
    let daemon = Daemon::start(folder.path(), &config(platform.address, &endpoints.list("SERVING")));
    let mut stream = connect(folder.path());
    stream.write_all(b"micadrum handover 1").unwrap();
    assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0, "nothing is given");
    assert_eq!(daemon.operator("GET /status", "").status(), 200);
}

fn connect(folder: &Path) -> UnixStream {
    let socket = folder.join("handover.sock");
    wait_until("the socket", || socket.exists());
    let stream = UnixStream::connect(socket).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Length (8 bytes, little-endian, with the listening socket beside them), then the payload.
fn ask_for_the_place(folder: &Path) -> Vec<u8> {
    let mut stream = connect(folder);
    stream.write_all(HELLO).unwrap();
    let mut length = [0; 8];
    stream.read_exact(&mut length).unwrap();
    let mut payload = vec![0; u64::from_le_bytes(length) as usize];
    stream.read_exact(&mut payload).unwrap();
    payload
}
