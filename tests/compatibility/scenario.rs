//! A scenario after which a daemon's state folder contains every kind of record that it writes.
use crate::daemon::{Daemon, TEN_YEARS_IN_SECONDS, config, wait_until};
use crate::postcard::Shape;
use crate::records::payloads;
use crate::schema::journal_record;
use crate::test_servers::{Call, Endpoint, Platform, member};
use serde_json::{Value, json};
use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;

/// The destination whose endpoint answers with success or failure.
pub const ANSWERING: u64 = 1;
/// The destination whose endpoint answers 429 with a Retry-After.
pub const RATE_LIMITED: u64 = 2;
/// The destination whose endpoint does not answer at first, and answers 429 later.
pub const HANGING: u64 = 3;
/// The destination whose endpoint is draining, as reported by discovery.
pub const DRAINING: u64 = 4;
/// The destination whose endpoint operators put into maintenance.
pub const IN_MAINTENANCE: u64 = 5;
/// The number of destinations, each with one endpoint.
const DESTINATIONS: u64 = 5;

/// One endpoint for each destination.
pub struct Endpoints(Vec<Endpoint>);

impl Endpoints {
    /// Starts all endpoints.
    pub fn start() -> Self {
        Self((0..DESTINATIONS).map(|_| Endpoint::start()).collect())
    }

    /// Returns the endpoint of a destination.
    pub fn of(&self, destination: u64) -> &Endpoint {
        &self.0[destination as usize - 1]
    }

    /// Returns discovery's list of the endpoints, with the given phase for the one of [`DRAINING`].
    pub fn list(&self, phase_of_draining: &str) -> Vec<Value> {
        let entry = |destination: u64| {
            let phase = if destination == DRAINING { phase_of_draining } else { "SERVING" };
            member(&format!("s-{destination}"), self.of(destination).address, destination, phase)
        };
        (1..=DESTINATIONS).map(entry).collect()
    }
}

/// Writes `operator.toml` with the given values of `outlasts` and `clock`.
pub fn write_operator_file(folder: &Path, outlasts: &str, clock: &str) {
    let boot_id = folder.join("boot_id");
    let text = format!(
        "[durability]\noutlasts = \"{outlasts}\"\n\
         [recovery]\nboot_id = {:?}\nclock = \"{clock}\"\nlist_for = \"100 ms\"\nfinish_for = \"100 ms\"\n\
         full_after = \"100 ms\"\nask_for = \"10 ms\"\n{}",
        boot_id.display().to_string(),
        peers_section(folder)
    );
    std::fs::write(folder.join("operator.toml"), text).unwrap();
}

/// Returns the section `[peers]` for a fleet of two members. The other member never runs.
fn peers_section(folder: &Path) -> String {
    let key = |name: &str| {
        let file = folder.join(format!("{name}.secret"));
        let output = Command::new(crate::daemon::binary()).arg("key").arg(&file).output().unwrap();
        let public = folder.join(format!("{name}.public"));
        if output.status.success() {
            std::fs::write(&public, output.stdout).unwrap();
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

/// Returns a loopback address with a free UDP port.
pub fn free_address() -> std::net::SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Writes the boot ID that identifies the given run of the machine.
pub fn write_boot_id(folder: &Path, run: u8) {
    std::fs::write(folder.join("boot_id"), format!("{run:032x}\n")).unwrap();
}

/// Waits until the journal contains at least `count` records of `kind`.
pub fn wait_for_records(folder: &Path, kind: &str, count: usize) {
    let shape = journal_record();
    wait_until(&format!("{count} {kind} records in the journal"), || {
        count_records(folder, &shape, kind) >= count
    });
}

fn count_records(folder: &Path, shape: &Shape, kind: &str) -> usize {
    let bytes = std::fs::read(folder.join("messages.wal")).unwrap_or_default();
    let records = payloads(&bytes).0.into_iter().filter_map(|payload| shape.read_all(payload).ok());
    records.filter(|record| crate::records::kind(record) == kind).count()
}

/// Populates the state folder `folder` with three processes in three runs of the machine; each process is
/// killed. The second process rewrites the journal, and the third one does not fully trust it.
pub fn populate(folder: &Path) {
    let endpoints = Endpoints::start();
    let draining = json!({"revision": 2, "complete": true, "members": endpoints.list("DRAINING")});
    let platform = Platform::start(Some(draining), false);
    let config = config(platform.address, &endpoints.list("SERVING"));
    first_process(folder, &config, &platform, &endpoints);
    second_process(folder, &config, &endpoints);
    let _hanging = third_process(folder, &config, &endpoints);
}

/// Delivers one message, fails one, returns one and leaves one waiting for its Retry-After.
fn first_process(folder: &Path, config: &Value, platform: &Platform, endpoints: &Endpoints) {
    write_boot_id(folder, 1);
    write_operator_file(folder, "process", "vouched");
    let daemon = Daemon::start(folder, config);
    daemon.wait_until_ready();
    wait_until("discovery to send its list", || platform.has_sent_list());
    submit(&daemon, "delivered", "unsafe", ANSWERING);
    endpoints.of(ANSWERING).call().reply("200 OK", "");
    wait_for_records(folder, "OverSince", 1);
    submit(&daemon, "failed", "unsafe", ANSWERING);
    endpoints.of(ANSWERING).call().reply("500 Internal Server Error", "");
    wait_for_records(folder, "Ended", 1);
    submit(&daemon, "waits", "keyed", RATE_LIMITED);
    endpoints.of(RATE_LIMITED).call().reply("429 Too Many Requests", "Retry-After: 30\r\n");
    wait_for_records(folder, "Outcome", 2);
    assert_eq!(daemon.submit("returned", "safe", "", RATE_LIMITED, "0.05"), 202);
    wait_for_records(folder, "Ended", 2);
    assert_eq!(daemon.admin_request("POST /maintenance/enter", "s-5").status(), 200);
    daemon.kill();
}

/// Rewrites the journal, because the clock is not trusted, and leaves one call in flight.
fn second_process(folder: &Path, config: &Value, endpoints: &Endpoints) {
    write_boot_id(folder, 2);
    write_operator_file(folder, "process", "unchecked");
    let daemon = Daemon::start(folder, config);
    daemon.wait_until_full_service();
    submit(&daemon, "may have run", "keyed", HANGING);
    let hanging = endpoints.of(HANGING).call();
    wait_for_records(folder, "Begun", 1);
    daemon.kill();
    drop(hanging);
}

/// Resumes after a machine restart, ends several messages and leaves one call in flight, which it returns.
fn third_process(folder: &Path, config: &Value, endpoints: &Endpoints) -> Call {
    write_boot_id(folder, 3);
    write_operator_file(folder, "process", "vouched");
    let daemon = Daemon::start(folder, config);
    daemon.wait_until_full_service();
    submit(&daemon, "next", "ordered", IN_MAINTENANCE);
    submit(&daemon, "delivered again", "unsafe", ANSWERING);
    endpoints.of(ANSWERING).call().reply("200 OK", "");
    wait_for_records(folder, "OverSince", 1);
    submit(&daemon, "failed again", "unsafe", ANSWERING);
    endpoints.of(ANSWERING).call().reply("500 Internal Server Error", "");
    wait_for_records(folder, "Ended", 1);
    endpoints.of(HANGING).call().reply("429 Too Many Requests", "Retry-After: 30\r\n");
    wait_for_records(folder, "Outcome", 2);
    submit(&daemon, "out", "unsafe", ANSWERING);
    let hanging = endpoints.of(ANSWERING).call();
    daemon.kill();
    hanging
}

/// Submits a message that does not expire during the test, and asserts that it is accepted.
pub fn submit(daemon: &Daemon, id: &str, class: &str, destination: u64) {
    let seconds = TEN_YEARS_IN_SECONDS.to_string();
    assert_eq!(daemon.submit(id, class, "key", destination, &seconds), 202, "{id}");
}
