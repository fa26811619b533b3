//! Recovery of the build under test from a state folder that an earlier build wrote.
use crate::daemon::{Daemon, config, wait_until};
use crate::records::{frame, payloads};
use crate::scenario::{
    ANSWERING, Endpoints, HANGING, IN_MAINTENANCE, submit, wait_for_records, write_boot_id,
    write_operator_file,
};
use crate::snapshot::{copy_files, fixture};
use crate::test_servers::{Call, Platform};
use micadrum_fault_control::{ControlFile, Fault, FaultKind};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, SystemTime};
use tempfile::TempDir;

/// A call that is due arrives within this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// The last run of the machine in which the committed folder was written.
const LAST_RUN: u8 = 3;

/// One second after the last record of the committed folders, in microseconds since the Unix epoch. Their
/// messages expire a day later, the maximum that the daemon accepts.
const FIXTURE_TIME_US: i64 = 1_796_190_537_000_000;

/// A copy of a committed state folder, with the servers around the daemon that uses it.
struct Setup {
    folder: TempDir,
    endpoints: Endpoints,
    platform: Platform,
    clock_folder: TempDir,
}

impl Setup {
    fn copy_of(name: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        copy_files(&fixture(name), folder.path());
        write_boot_id(folder.path(), LAST_RUN);
        write_operator_file(folder.path(), "process", "vouched");
        let clock_folder = tempfile::tempdir().unwrap();
        Self { folder, endpoints: Endpoints::start(), platform: Platform::start(None, true), clock_folder }
    }

    fn path(&self) -> &Path {
        self.folder.path()
    }

    /// Starts the daemon without the class "ordered" in its settings, so that its definition is only in
    /// `classes.json`.
    fn start(&self) -> Daemon {
        let mut config = config(self.platform.address, &self.endpoints.list("SERVING"));
        config["settings"]["lanes"].as_array_mut().unwrap().pop();
        Daemon::start_with_faults(self.path(), &config, Some(&self.clock_at_fixture_time()))
    }

    /// Returns a fault control file that steps the daemon's wall clock to [`FIXTURE_TIME_US`].
    fn clock_at_fixture_time(&self) -> ControlFile {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        let step_us = FIXTURE_TIME_US - i64::try_from(now.as_micros()).unwrap();
        let control = ControlFile::create(&self.clock_folder.path().join("faults"), 0).unwrap();
        control.begin(Fault::always(FaultKind::WallClock).with_parameter(step_us)).unwrap();
        control
    }

    fn append_to_journal(&self, payload: &[u8]) {
        let path = self.path().join("messages.wal");
        let mut journal = std::fs::read(&path).unwrap();
        journal.extend(frame(payload));
        std::fs::write(path, journal).unwrap();
    }

    /// Waits for `count` notices and returns their states by message id.
    fn notices(&self, count: usize) -> BTreeMap<String, Value> {
        let states = (0..count).map(|_| self.platform.notice());
        states.map(|notice| (notice["id"].as_str().unwrap().to_owned(), notice["state"].clone())).collect()
    }
}

fn assert_call_of(call: &Call, id: &str) {
    assert_eq!(call.request.header("x-txn"), Some(id));
    assert_eq!(call.request.header("idempotency-key"), Some(format!("idem-{id}").as_str()));
    assert_eq!(call.request.body, format!("body of {id}").as_bytes());
}

/// Guards against losing any part of a state folder that an earlier build wrote.
#[test]
fn recovers_all_state_of_a_committed_folder() {
    let setup = Setup::copy_of("state");
    let daemon = setup.start();
    daemon.wait_until_ready();
    let states = setup.notices(5);
    let expected = [
        ("failed", "failed"),
        ("failed again", "failed"),
        ("out", "failed"),
        ("returned", "returned"),
        ("waits", "failed"),
    ];
    let expected = expected.map(|(id, state)| (id.to_owned(), json!(state)));
    assert_eq!(states, BTreeMap::from(expected));
    let call = setup.endpoints.of(HANGING).call();
    assert_call_of(&call, "may have run");
    call.reply("200 OK", "");
    // s-4 is draining, s-5 is in maintenance.
    wait_until("both endpoints to count as down", || daemon.metrics()["hosts_down"] == 2);
    assert!(
        setup.endpoints.of(IN_MAINTENANCE).receives_nothing_for(CALL_TIMEOUT),
        "unexpected call to an endpoint in maintenance"
    );
    assert_eq!(daemon.admin_request("POST /maintenance/exit", "s-5").status(), 200);
    let first = setup.endpoints.of(IN_MAINTENANCE).call();
    assert_call_of(&first, "next");
    // The class is not in the settings any more, but its messages are still retried with their idempotency
    // key.
    first.reply("500 Internal Server Error", "");
    let second = setup.endpoints.of(IN_MAINTENANCE).call();
    assert_call_of(&second, "next");
    second.reply("200 OK", "");
    let incarnation = daemon.admin_request("GET /status/peers", "").json()["life"]["number"].clone();
    assert_eq!(incarnation, json!(4), "the fourth incarnation with this state folder");
    // One id from a record of the rewritten journal, and one from a later record.
    for id in ["delivered", "delivered again"] {
        submit(&daemon, id, "unsafe", ANSWERING);
    }
    assert!(
        setup.endpoints.of(ANSWERING).receives_nothing_for(CALL_TIMEOUT),
        "a message was delivered twice"
    );
    let classes = |folder: &Path| std::fs::read_to_string(folder.join("classes.json")).unwrap();
    assert_eq!(
        classes(setup.path()),
        classes(&fixture("state")),
        "the definitions of the classes are unchanged"
    );
}

/// Guards against keeping a torn last record, and against losing valid records before it.
#[test]
fn truncates_a_torn_last_record() {
    let setup = Setup::copy_of("state-torn");
    let before = std::fs::read(fixture("state-torn/messages.wal")).unwrap();
    let (valid, torn) = payloads(&before);
    assert!(torn > 0 && valid.len() > 10);
    let daemon = setup.start();
    daemon.wait_until_ready();
    // The torn record is the start of the attempt of "out", so that the message has not been attempted.
    let call = setup.endpoints.of(ANSWERING).call();
    assert_call_of(&call, "out");
    let after = std::fs::read(setup.path().join("messages.wal")).unwrap();
    assert!(after.starts_with(&before[..before.len() - torn]), "the valid records are unchanged");
    assert_eq!(payloads(&after).1, 0);
}

/// Guards against a changed format of the records that the scenario does not produce: the older form of a
/// completed message, a deadline from another clock, and a deferred attempt.
#[test]
fn reads_records_of_rare_kinds() {
    let setup = Setup::copy_of("state");
    let (may_have_run, next, out) = (4, 5, 8);
    setup.append_to_journal(&[4, may_have_run]);
    setup.append_to_journal(&[10, next, 1]);
    setup.append_to_journal(&[11, out]);
    let daemon = setup.start();
    daemon.wait_until_ready();
    let states = setup.notices(5);
    assert!(states.contains_key("next") && !states.contains_key("out"), "{states:?}");
    let call = setup.endpoints.of(ANSWERING).call();
    assert_call_of(&call, "out");
    call.reply("200 OK", "");
    wait_for_records(setup.path(), "OverSince", 2);
    assert!(
        setup.endpoints.of(HANGING).receives_nothing_for(CALL_TIMEOUT),
        "unexpected call for a completed message"
    );
}
