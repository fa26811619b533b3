//! What the build under test takes up from a state folder of the landed build.
use crate::daemon::{Daemon, config, wait_until};
use crate::records::{framed, payloads};
use crate::scenario::{
    ANSWERS, Endpoints, HANGS, TAKEN_OUT, hand_in, wait_for_records, write_boot_id, write_operator_file,
};
use crate::snapshot::{copy_files, fixture};
use crate::standin::{Call, Platform};
use micadrum_fault_control::{ControlFile, Fault, FaultKind};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, SystemTime};
use tempfile::TempDir;

/// In this time a call that is due has come.
const QUIET: Duration = Duration::from_millis(200);
/// The run of the machine that the committed folder was written on last.
const LAST_RUN: u8 = 3;

/// One second after the last record of the committed folders, in microseconds since the Unix epoch. Their messages have
/// a day from then on, as the daemon accepts no longer time.
const FIXTURE_TIME_US: i64 = 1_796_190_537_000_000;

/// A copy of a committed folder, and what surrounds the daemon on it.
struct Taken {
    folder: TempDir,
    endpoints: Endpoints,
    platform: Platform,
    clock_folder: TempDir,
}

impl Taken {
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

    /// Starts with settings that name the class "ordered" no more: only `classes.json` tells what it meant.
    fn start(&self) -> Daemon {
        let mut config = config(self.platform.address, &self.endpoints.list("SERVING"));
        config["settings"]["lanes"].as_array_mut().unwrap().pop();
        Daemon::start_with_faults(self.path(), &config, Some(&self.clock_at_fixture_time()))
    }

    /// Returns a control file that steps the daemon's wall clock to [`FIXTURE_TIME_US`].
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
        journal.extend(framed(payload));
        std::fs::write(path, journal).unwrap();
    }

    /// The states of so many notices, by message.
    fn notices(&self, count: usize) -> BTreeMap<String, Value> {
        let told = (0..count).map(|_| self.platform.notice());
        told.map(|notice| (notice["id"].as_str().unwrap().to_owned(), notice["state"].clone())).collect()
    }
}

fn assert_is(call: &Call, id: &str) {
    assert_eq!(call.request.header("x-txn"), Some(id));
    assert_eq!(call.request.header("idempotency-key"), Some(format!("idem-{id}").as_str()));
    assert_eq!(call.request.body, format!("body of {id}").as_bytes());
}

/// Guards against a state folder of the landed build of which anything is not taken up.
#[test]
fn a_landed_state_folder_is_taken_up() {
    let taken = Taken::copy_of("state");
    let daemon = taken.start();
    daemon.wait_until_ready();
    let told = taken.notices(5);
    let expected = [
        ("failed", "failed"),
        ("failed again", "failed"),
        ("out", "failed"),
        ("returned", "returned"),
        ("waits", "failed"),
    ];
    let expected = expected.map(|(id, state)| (id.to_owned(), json!(state)));
    assert_eq!(told, BTreeMap::from(expected));
    let call = taken.endpoints.of(HANGS).call();
    assert_is(&call, "may have run");
    call.reply("200 OK", "");
    // s-4 was heard to drain, s-5 was taken out by hand.
    wait_until("both are out", || daemon.metrics()["hosts_down"] == 2);
    assert!(taken.endpoints.of(TAKEN_OUT).is_quiet_for(QUIET), "a call to what is out by hand");
    assert_eq!(daemon.operator("POST /maintenance/exit", "s-5").status(), 200);
    let first = taken.endpoints.of(TAKEN_OUT).call();
    assert_is(&first, "next");
    // A class that the settings name no more: an effect that may be repeated with its key, as it was.
    first.reply("500 Internal Server Error", "");
    let second = taken.endpoints.of(TAKEN_OUT).call();
    assert_is(&second, "next");
    second.reply("200 OK", "");
    let life = daemon.operator("GET /status/peers", "").json()["life"]["number"].clone();
    assert_eq!(life, json!(4), "the fourth process of that folder");
    // Ids of both forms: written anew, and since.
    for id in ["delivered", "delivered again"] {
        hand_in(&daemon, id, "unsafe", ANSWERS);
    }
    assert!(taken.endpoints.of(ANSWERS).is_quiet_for(QUIET), "a message was delivered twice");
    let classes = |folder: &Path| std::fs::read_to_string(folder.join("classes.json")).unwrap();
    assert_eq!(classes(taken.path()), classes(&fixture("state")), "all meanings stay");
}

/// Guards against a torn last record that costs more than itself, or stays.
#[test]
fn a_torn_record_is_cut_off() {
    let taken = Taken::copy_of("state-torn");
    let before = std::fs::read(fixture("state-torn/messages.wal")).unwrap();
    let (sound, torn) = payloads(&before);
    assert!(torn > 0 && sound.len() > 10);
    let daemon = taken.start();
    daemon.wait_until_ready();
    // The record of the attempt of "out" was cut off: it has not begun.
    let call = taken.endpoints.of(ANSWERS).call();
    assert_is(&call, "out");
    let after = std::fs::read(taken.path().join("messages.wal")).unwrap();
    assert!(after.starts_with(&before[..before.len() - torn]), "sound records stay as they are");
    assert_eq!(payloads(&after).1, 0);
}

/// Guards against kinds of records that are read otherwise and that no process leaves in its file on demand: over as files
/// of before had it, a deadline by another clock, an attempt that was held back.
#[test]
fn records_of_rare_kinds_are_read_in_the_landed_form() {
    let taken = Taken::copy_of("state");
    let (may_have_run, next, out) = (4, 5, 8);
    taken.append_to_journal(&[4, may_have_run]);
    taken.append_to_journal(&[10, next, 1]);
    taken.append_to_journal(&[11, out]);
    let daemon = taken.start();
    daemon.wait_until_ready();
    let told = taken.notices(5);
    assert!(told.contains_key("next") && !told.contains_key("out"), "{told:?}");
    let call = taken.endpoints.of(ANSWERS).call();
    assert_is(&call, "out");
    call.reply("200 OK", "");
    wait_for_records(taken.path(), "OverSince", 2);
    assert!(taken.endpoints.of(HANGS).is_quiet_for(QUIET), "a message that is over");
}
