//! What is done to a daemon so that its state folder holds records of every kind that it writes.
use crate::daemon::{Daemon, TEN_YEARS_IN_SECONDS, config, wait_until};
use crate::postcard::Shape;
use crate::records::payloads;
use crate::schema::journal_record;
use crate::standin::{Call, Endpoint, Platform, member};
use serde_json::{Value, json};
use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;

/// The endpoint of that destination that answers.
pub const ANSWERS: u64 = 1;
/// The one that tells its callers to wait.
pub const TELLS_TO_WAIT: u64 = 2;
/// The one that does not answer at first, and tells its callers to wait later.
pub const HANGS: u64 = 3;
/// The one that discovery says is draining.
pub const DRAINS: u64 = 4;
/// The one that operators take out.
pub const TAKEN_OUT: u64 = 5;
/// How many destinations there are, each with one endpoint.
const DESTINATIONS: u64 = 5;

/// The endpoints, one a destination, and the list of them.
pub struct Endpoints(Vec<Endpoint>);

impl Endpoints {
    /// Begins to listen.
    pub fn start() -> Self {
        Self((0..DESTINATIONS).map(|_| Endpoint::start()).collect())
    }

    /// That of a destination.
    pub fn of(&self, destination: u64) -> &Endpoint {
        &self.0[destination as usize - 1]
    }

    /// The list, with that phase of the one that drains.
    pub fn list(&self, phase_of_draining: &str) -> Vec<Value> {
        let entry = |destination: u64| {
            let phase = if destination == DRAINS { phase_of_draining } else { "SERVING" };
            member(&format!("s-{destination}"), self.of(destination).address, destination, phase)
        };
        (1..=DESTINATIONS).map(entry).collect()
    }
}

/// Writes the operator's file: a journal that outlasts only the process, or also the machine; whose clock is vouched for.
pub fn write_operator_file(folder: &Path, outlasts: &str, clock: &str) {
    let boot_id = folder.join("boot_id");
    let text = format!(
        "[durability]\noutlasts = \"{outlasts}\"\n\
         [recovery]\nboot_id = {:?}\nclock = \"{clock}\"\nlist_for = \"100 ms\"\nfinish_for = \"100 ms\"\n\
         full_after = \"100 ms\"\nask_for = \"10 ms\"\n{}",
        boot_id.display().to_string(),
        members_section(folder)
    );
    std::fs::write(folder.join("operator.toml"), text).unwrap();
}

/// The section of a fleet of two of which the other is never there.
fn members_section(folder: &Path) -> String {
    let key = |name: &str| {
        let file = folder.join(format!("{name}.secret"));
        let made = Command::new(crate::daemon::binary()).arg("key").arg(&file).output().unwrap();
        let public = folder.join(format!("{name}.public"));
        if made.status.success() {
            std::fs::write(&public, made.stdout).unwrap();
        }
        std::fs::read_to_string(public).unwrap().trim().to_owned()
    };
    format!(
        "[peers]\nsecret = \"n1.secret\"\n\
         [[peers.member]]\nname = \"n1\"\naddress = \"{}\"\nbuilding = \"a\"\nkey = \"{}\"\n\
         [[peers.member]]\nname = \"n2\"\naddress = \"127.0.0.1:9\"\nbuilding = \"b\"\nkey = \"{}\"\n",
        free_address(),
        key("n1"),
        key("n2")
    )
}

/// An address that nobody else listens at.
pub fn free_address() -> std::net::SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Lets the machine be on that run of it.
pub fn write_boot_id(folder: &Path, run: u8) {
    std::fs::write(folder.join("boot_id"), format!("{run:032x}\n")).unwrap();
}

/// Waits until so many records of that kind stand in the journal.
pub fn wait_for_records(folder: &Path, kind: &str, count: usize) {
    let shape = journal_record();
    wait_until(&format!("{count} records {kind}"), || count_records(folder, &shape, kind) >= count);
}

fn count_records(folder: &Path, shape: &Shape, kind: &str) -> usize {
    let bytes = std::fs::read(folder.join("messages.wal")).unwrap_or_default();
    let records = payloads(&bytes).0.into_iter().filter_map(|payload| shape.read_all(payload).ok());
    records.filter(|record| crate::records::kind(record) == kind).count()
}

/// Fills `folder` by three processes, each killed: on three runs of the machine, so that the journal is written anew once
/// and believed less the next time.
pub fn fill(folder: &Path) {
    let endpoints = Endpoints::start();
    let draining = json!({"revision": 2, "complete": true, "members": endpoints.list("DRAINING")});
    let platform = Platform::start(Some(draining), false);
    let config = config(platform.address, &endpoints.list("SERVING"));
    first_process(folder, &config, &platform, &endpoints);
    second_process(folder, &config, &endpoints);
    let _hanging = third_process(folder, &config, &endpoints);
}

/// One is delivered, one ends failed, one is handed back, one waits for its endpoint.
fn first_process(folder: &Path, config: &Value, platform: &Platform, endpoints: &Endpoints) {
    write_boot_id(folder, 1);
    write_operator_file(folder, "process", "vouched");
    let daemon = Daemon::start(folder, config);
    daemon.wait_until_ready();
    wait_until("the list", || platform.has_told_its_list());
    hand_in(&daemon, "delivered", "unsafe", ANSWERS);
    endpoints.of(ANSWERS).call().reply("200 OK", "");
    wait_for_records(folder, "OverSince", 1);
    hand_in(&daemon, "failed", "unsafe", ANSWERS);
    endpoints.of(ANSWERS).call().reply("500 Internal Server Error", "");
    wait_for_records(folder, "Ended", 1);
    hand_in(&daemon, "waits", "keyed", TELLS_TO_WAIT);
    endpoints.of(TELLS_TO_WAIT).call().reply("429 Too Many Requests", "Retry-After: 30\r\n");
    wait_for_records(folder, "Outcome", 2);
    assert_eq!(daemon.hand_in("returned", "safe", "", TELLS_TO_WAIT, "0.05"), 202);
    wait_for_records(folder, "Ended", 2);
    assert_eq!(daemon.operator("POST /maintenance/enter", "s-5").status(), 200);
    daemon.kill();
}

/// Its clock is not believed: the journal is written anew.
fn second_process(folder: &Path, config: &Value, endpoints: &Endpoints) {
    write_boot_id(folder, 2);
    write_operator_file(folder, "process", "unchecked");
    let daemon = Daemon::start(folder, config);
    daemon.wait_until_full_service();
    hand_in(&daemon, "may have run", "keyed", HANGS);
    let hanging = endpoints.of(HANGS).call();
    wait_for_records(folder, "Begun", 1);
    daemon.kill();
    drop(hanging);
}

/// Its journal is a hint, as power was lost; a call is out as it ends.
fn third_process(folder: &Path, config: &Value, endpoints: &Endpoints) -> Call {
    write_boot_id(folder, 3);
    write_operator_file(folder, "process", "vouched");
    let daemon = Daemon::start(folder, config);
    daemon.wait_until_full_service();
    hand_in(&daemon, "next", "ordered", TAKEN_OUT);
    hand_in(&daemon, "delivered again", "unsafe", ANSWERS);
    endpoints.of(ANSWERS).call().reply("200 OK", "");
    wait_for_records(folder, "OverSince", 1);
    hand_in(&daemon, "failed again", "unsafe", ANSWERS);
    endpoints.of(ANSWERS).call().reply("500 Internal Server Error", "");
    wait_for_records(folder, "Ended", 1);
    endpoints.of(HANGS).call().reply("429 Too Many Requests", "Retry-After: 30\r\n");
    wait_for_records(folder, "Outcome", 2);
    hand_in(&daemon, "out", "unsafe", ANSWERS);
    let hanging = endpoints.of(ANSWERS).call();
    daemon.kill();
    hanging
}

/// Hands in a message that has ten years.
pub fn hand_in(daemon: &Daemon, id: &str, class: &str, destination: u64) {
    let seconds = TEN_YEARS_IN_SECONDS.to_string();
    assert_eq!(daemon.hand_in(id, class, "key", destination, &seconds), 202, "{id}");
}
