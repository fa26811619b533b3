//! The protocol between members: datagrams, which are authenticated but not encrypted, and links.
use crate::daemon::{Daemon, binary, config, wait_until};
use crate::postcard::hex;
use crate::relays::RelayNetwork;
use crate::scenario::write_boot_id;
use crate::schema::datagram_body;
use crate::snapshot::{assert_matches_fixture, mask, pretty};
use crate::test_servers::Platform;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use tempfile::TempDir;

const NAMES: [&str; 3] = ["n1", "n2", "n3"];
/// The length of a datagram's header.
const DATAGRAM_HEADER_BYTES: usize = 68;
/// The length of the hello at the start of a link.
const LINK_HELLO_BYTES: usize = 84;
/// The length of the authentication tag at the end of a frame.
const FRAME_TAG_BYTES: usize = 16;
/// The kind of a frame with a payload.
const DATA_FRAME: u8 = 1;

/// Guards against datagrams and links that members of an earlier build cannot read.
#[test]
fn datagrams_and_links_between_members_match_the_fixtures() {
    let (network, keys, platform) =
        (RelayNetwork::start(NAMES.len()), Keys::make(), Platform::start(None, true));
    let folders = NAMES.map(|_| tempfile::tempdir().unwrap());
    let start = |member: usize, run: u8| {
        write_boot_id(folders[member].path(), run);
        keys.write_operator_file(folders[member].path(), &network, member);
        let mut config = config(platform.address, &[]);
        config["name"] = json!(NAMES[member]);
        Daemon::start(folders[member].path(), &config)
    };
    let [first, _second, third] = [0, 1, 2].map(|member| start(member, 1));
    wait_until("the first and the third member to see two live peers", || {
        count_live_peers(&first) == 2 && count_live_peers(&third) == 2
    });
    // The third member crashes: the others probe it through each other and gossip that it is silent.
    third.kill();
    wait_until("relayed probes and a rumour that the third member is silent", || {
        let datagram_bodies = datagram_bodies(&network);
        ["Relay", "Passed"].iter().all(|kind| datagram_bodies.iter().any(|body| body.get(kind).is_some()))
            && contains_rumour(&datagram_bodies, "Silent")
    });
    // The third member returns after a machine restart and asks the others what they know of it.
    let third = start(2, 2);
    wait_until("a rumour of its return", || contains_rumour(&datagram_bodies(&network), "Back"));
    wait_until("an answer to its request \"word?\"", || link_answers(&network).contains_key("word?"));
    assert_eq!(first.admin_request("GET /status/peers/all", "").status(), 200);
    third.terminate();
    wait_until("a Leave datagram", || {
        datagram_bodies(&network).iter().any(|body| body.get("Leave").is_some())
    });
    assert_matches_fixture("members/datagrams.txt", &datagram_lines(&network));
    let link_answers = json!(link_answers(&network));
    let varying_keys = [
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
    assert_matches_fixture("members/links.json", &pretty(&mask(&link_answers, &varying_keys)));
}

/// A folder with the key pairs of the members, created by `micadrum key`.
struct Keys(TempDir);

impl Keys {
    fn make() -> Self {
        let folder = tempfile::tempdir().unwrap();
        for name in NAMES {
            let output = Command::new(binary()).arg("key").arg(folder.path().join(name)).output().unwrap();
            std::fs::write(folder.path().join(format!("{name}.public")), output.stdout).unwrap();
        }
        Self(folder)
    }

    fn write_operator_file(&self, folder: &Path, network: &RelayNetwork, index: usize) {
        let member = |(name, addresses): (&str, &crate::relays::MemberAddresses)| {
            let key = std::fs::read_to_string(self.0.path().join(format!("{name}.public"))).unwrap();
            let (address, key) = (addresses.advertised, key.trim());
            format!(
                "[[peers.member]]\nname = \"{name}\"\naddress = \"{address}\"\nbuilding = \"a\"\nkey = \"{key}\"\n"
            )
        };
        let members: String = NAMES.into_iter().zip(&network.members).map(member).collect();
        let secret = self.0.path().join(NAMES[index]).display().to_string();
        let boot_id = folder.join("boot_id").display().to_string();
        let listen = network.members[index].listening;
        let text = format!(
            "[recovery]\nboot_id = {boot_id:?}\nlist_for = \"100 ms\"\nfull_after = \"100 ms\"\n\
             [peers]\nsecret = {secret:?}\nlisten = \"{listen}\"\n{members}"
        );
        std::fs::write(folder.join("operator.toml"), text).unwrap();
    }
}

fn count_live_peers(daemon: &Daemon) -> usize {
    let view = daemon.admin_request("GET /status/peers", "").json();
    let peers = view["peers"].as_array().cloned().unwrap_or_default();
    peers.iter().filter(|peer| peer["status"] == "live").count()
}

/// Returns the decoded bodies of all datagrams.
fn datagram_bodies(network: &RelayNetwork) -> Vec<Value> {
    let shape = datagram_body();
    let body = |datagram: &Vec<u8>| {
        shape.read_all(&datagram[DATAGRAM_HEADER_BYTES..]).expect("a datagram with a valid body")
    };
    network.datagrams().iter().map(body).collect()
}

fn contains_rumour(bodies: &[Value], word: &str) -> bool {
    let rumours_in =
        |kind: &'static str| bodies.iter().filter_map(move |body| body[kind]["rumours"].as_array());
    let mut rumours = rumours_in("Ping").chain(rumours_in("Ack")).flatten();
    rumours.any(|rumour| rumour["word"].get(word).is_some())
}

/// Returns one sorted line per distinct header, datagram and rumour, with varying values masked. Rumours have
/// lines of their own, because which datagram carries them depends on timing.
fn datagram_lines(network: &RelayNetwork) -> String {
    let shape = datagram_body();
    let mut lines = std::collections::BTreeSet::new();
    for datagram in network.datagrams() {
        let mut body = shape.read_all(&datagram[DATAGRAM_HEADER_BYTES..]).unwrap();
        let kind = body.as_object().unwrap().keys().next().unwrap().clone();
        if let Some(rumours) = body[&kind].get_mut("rumours") {
            for rumour in std::mem::replace(rumours, json!("<list>")).as_array().unwrap() {
                let fields: Vec<_> = rumour.as_object().unwrap().keys().cloned().collect();
                lines.insert(format!("rumour: {fields:?} {}", rumour["word"]));
            }
        }
        // Whether an incarnation is known already, and which member is probed through which, depends on
        // timing.
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

/// Returns the answers received over links, by request.
fn link_answers(network: &RelayNetwork) -> BTreeMap<String, Value> {
    network.streams().iter().filter_map(|(dialer, acceptor)| link_answer(dialer, acceptor)).collect()
}

fn link_answer(dialer: &[u8], acceptor: &[u8]) -> Option<(String, Value)> {
    let request_payloads = link_payloads(dialer, 1)?;
    let request = String::from_utf8(request_payloads.first()?.clone()).ok()?;
    let (length, answer_bytes) = {
        let answer_payloads = link_payloads(acceptor, 2)?;
        let length = u64::from_le_bytes(answer_payloads.first()?.as_slice().try_into().ok()?);
        (length, answer_payloads[1..].concat())
    };
    let is_complete = answer_bytes.len() as u64 == length;
    Some((request, serde_json::from_slice(&answer_bytes).ok().filter(|_| is_complete)?))
}

/// Returns the payloads sent by one side of a link. `role` is 1 for the dialer and 2 for the acceptor.
fn link_payloads(bytes: &[u8], role: u8) -> Option<Vec<Vec<u8>>> {
    let (hello, mut rest) = bytes.split_at_checked(LINK_HELLO_BYTES)?;
    assert_eq!(&hello[..4], [b'm', b'l', 1, role], "the link starts with a hello of this role");
    let mut payloads = Vec::new();
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let Some((frame, after)) = after.split_at_checked(u32::from_le_bytes(*length) as usize) else {
            break;
        };
        if frame[0] == DATA_FRAME {
            payloads.push(frame[1..frame.len() - FRAME_TAG_BYTES].to_vec());
        }
        rest = after;
    }
    Some(payloads)
}
