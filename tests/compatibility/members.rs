//! What members say to each other: datagrams, whose bodies are sealed and not encrypted, and links.
use crate::daemon::{Daemon, binary, config, wait_until};
use crate::mesh::Mesh;
use crate::postcard::hex;
use crate::scenario::write_boot_id;
use crate::schema::datagram_body;
use crate::snapshot::{assert_same, mask, pretty};
use crate::standin::Platform;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use tempfile::TempDir;

const NAMES: [&str; 3] = ["n1", "n2", "n3"];
/// What stands before a datagram's body.
const HEADER: usize = 68;
/// The first frame of a link.
const HELLO: usize = 84;
/// A frame's tag.
const TAG: usize = 16;
/// The kind of a frame that carries a payload.
const DATA: u8 = 1;

/// Guards against a datagram or a link that members of the landed build cannot read: fields, variants and their order.
#[test]
fn members_speak_in_the_landed_form() {
    let (mesh, keys, platform) = (Mesh::start(NAMES.len()), Keys::make(), Platform::start(None, true));
    let folders = NAMES.map(|_| tempfile::tempdir().unwrap());
    let start = |member: usize, run: u8| {
        write_boot_id(folders[member].path(), run);
        keys.write_operator_file(folders[member].path(), &mesh, member);
        let mut config = config(platform.address, &[]);
        config["name"] = json!(NAMES[member]);
        Daemon::start(folders[member].path(), &config)
    };
    let [first, _second, third] = [0, 1, 2].map(|member| start(member, 1));
    wait_until("all know all", || live(&first) == 2 && live(&third) == 2);
    // One of them ends without a word: the others ask for it on the way over each other, and tell each other.
    third.kill();
    wait_until("relays and rumours", || {
        let said = said(&mesh);
        ["Relay", "Passed"].iter().all(|kind| said.iter().any(|body| body.get(kind).is_some()))
            && tells(&said, "Silent")
    });
    // It comes back after a loss of power, and asks the others for their word.
    let third = start(2, 2);
    wait_until("word of its return", || tells(&said(&mesh), "Back"));
    wait_until("an answer to its question", || answers(&mesh).contains_key("word?"));
    assert_eq!(first.operator("GET /status/peers/all", "").status(), 200);
    third.terminate();
    wait_until("a farewell", || said(&mesh).iter().any(|body| body.get("Leave").is_some()));
    assert_same("members/datagrams.txt", &datagram_lines(&mesh));
    let answers = json!(answers(&mesh));
    let varying = [
        "own",
        "wall",
        "steady_for",
        "peers",
        "counts",
        "at",
        "run",
        "doubt",
        "standing",
        "cut_off",
        "number",
    ];
    assert_same("members/links.json", &pretty(&mask(&answers, &varying)));
}

/// Their keys, as the command line makes them.
struct Keys(TempDir);

impl Keys {
    fn make() -> Self {
        let folder = tempfile::tempdir().unwrap();
        for name in NAMES {
            let made = Command::new(binary()).arg("key").arg(folder.path().join(name)).output().unwrap();
            std::fs::write(folder.path().join(format!("{name}.public")), made.stdout).unwrap();
        }
        Self(folder)
    }

    fn write_operator_file(&self, folder: &Path, mesh: &Mesh, own: usize) {
        let member = |(name, place): (&str, &crate::mesh::Place)| {
            let key = std::fs::read_to_string(self.0.path().join(format!("{name}.public"))).unwrap();
            let (address, key) = (place.listed, key.trim());
            format!(
                "[[peers.member]]\nname = \"{name}\"\naddress = \"{address}\"\nbuilding = \"a\"\nkey = \"{key}\"\n"
            )
        };
        let members: String = NAMES.into_iter().zip(&mesh.places).map(member).collect();
        let secret = self.0.path().join(NAMES[own]).display().to_string();
        let boot_id = folder.join("boot_id").display().to_string();
        let listen = mesh.places[own].listens;
        let text = format!(
            "[recovery]\nboot_id = {boot_id:?}\nlist_for = \"100 ms\"\nfull_after = \"100 ms\"\n\
             [peers]\nsecret = {secret:?}\nlisten = \"{listen}\"\n{members}"
        );
        std::fs::write(folder.join("operator.toml"), text).unwrap();
    }
}

fn live(daemon: &Daemon) -> usize {
    let view = daemon.operator("GET /status/peers", "").json();
    let peers = view["peers"].as_array().cloned().unwrap_or_default();
    peers.iter().filter(|peer| peer["status"] == "live").count()
}

/// The bodies of all datagrams.
fn said(mesh: &Mesh) -> Vec<Value> {
    let shape = datagram_body();
    let body = |datagram: &Vec<u8>| shape.read_all(&datagram[HEADER..]).expect("a datagram's body");
    mesh.datagrams().iter().map(body).collect()
}

fn tells(bodies: &[Value], word: &str) -> bool {
    let of_kind = |kind: &'static str| bodies.iter().filter_map(move |body| body[kind]["rumours"].as_array());
    let mut rumours = of_kind("Ping").chain(of_kind("Ack")).flatten();
    rumours.any(|rumour| rumour["word"].get(word).is_some())
}

/// Each way of speaking once, without order: the header's stable bytes, the kind and its fields. What a rumour says depends
/// on the moment, so its fields stand by themselves.
fn datagram_lines(mesh: &Mesh) -> String {
    let shape = datagram_body();
    let mut lines = std::collections::BTreeSet::new();
    for datagram in mesh.datagrams() {
        let mut body = shape.read_all(&datagram[HEADER..]).unwrap();
        let kind = body.as_object().unwrap().keys().next().unwrap().clone();
        if let Some(rumours) = body[&kind].get_mut("rumours") {
            for rumour in std::mem::replace(rumours, json!("<list>")).as_array().unwrap() {
                let fields: Vec<_> = rumour.as_object().unwrap().keys().cloned().collect();
                lines.insert(format!("rumour: {fields:?} {}", rumour["word"]));
            }
        }
        // Whether a life was known yet, and who is asked for whom, depends on the moment.
        if let Some(known) = body[&kind].get_mut("known") {
            if known.is_null() {
                continue;
            }
            known["some"]["number"] = json!("<number>");
        }
        if let Some(to) = body[&kind].get_mut("to") {
            *to = json!("<member>");
        }
        lines.insert(format!("from {}", hex(&datagram[4..12])));
        lines.insert(format!("{} {kind}: {}", hex(&datagram[..3]), body[&kind]));
    }
    lines.into_iter().map(|line| line + "\n").collect()
}

/// The answers that came over links, by what was asked.
fn answers(mesh: &Mesh) -> BTreeMap<String, Value> {
    mesh.dialogues().iter().filter_map(|(dialer, acceptor)| answer(dialer, acceptor)).collect()
}

fn answer(dialer: &[u8], acceptor: &[u8]) -> Option<(String, Value)> {
    let asked = link_payloads(dialer, 1)?;
    let question = String::from_utf8(asked.first()?.clone()).ok()?;
    let (length, pieces) = {
        let told = link_payloads(acceptor, 2)?;
        let length = u64::from_le_bytes(told.first()?.as_slice().try_into().ok()?);
        (length, told[1..].concat())
    };
    let whole = pieces.len() as u64 == length;
    Some((question, serde_json::from_slice(&pieces).ok().filter(|_| whole)?))
}

/// The payloads that one side of a link sent: `role` 1 is the dialer's.
fn link_payloads(bytes: &[u8], role: u8) -> Option<Vec<Vec<u8>>> {
    let (hello, mut rest) = bytes.split_at_checked(HELLO)?;
    assert_eq!(&hello[..4], [b'm', b'l', 1, role], "the hello of a link");
    let mut payloads = Vec::new();
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let Some((frame, after)) = after.split_at_checked(u32::from_le_bytes(*length) as usize) else {
            break;
        };
        if frame[0] == DATA {
            payloads.push(frame[1..frame.len() - TAG].to_vec());
        }
        rest = after;
    }
    Some(payloads)
}
