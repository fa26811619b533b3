//! Senders that know each other: what is off without the operator's file, the command line, and the door.
use crate::harness::{Node, Platform, TEST_TIMEOUT, TestServer, endpoint_entry};
use micadrum_membership::Secret;
use std::collections::BTreeSet;
use std::path::Path;
use std::process::{Command, Output};
use tokio::net::UdpSocket;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The operator's file of n1 in a fleet of two, whose other member is at `other`.
fn operator(own_key: &str, other: &str) -> String {
    format!(
        "[peers]\nsecret = \"n1.secret\"\n\
         [[peers.member]]\nname = \"n1\"\naddress = \"127.0.0.1:0\"\nbuilding = \"a\"\nkey = \"{own_key}\"\n\
         [[peers.member]]\nname = \"n2\"\naddress = \"{other}\"\nbuilding = \"b\"\nkey = \"{}\"\n",
        hex(&Secret::new([2; 32]).public_key())
    )
}

fn micadrum(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_micadrum")).args(arguments).output().unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Inodes of the sockets that a process holds.
fn sockets(process: u32) -> BTreeSet<String> {
    let entries = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap();
    let target = |entry: std::io::Result<std::fs::DirEntry>| std::fs::read_link(entry.ok()?.path()).ok();
    let names = entries.filter_map(target).map(|to| to.display().to_string());
    names.filter_map(|name| Some(name.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())).collect()
}

/// Datagram sockets of a process.
fn datagram_sockets(process: u32) -> usize {
    let table = std::fs::read_to_string(format!("/proc/{process}/net/udp")).unwrap();
    let held = sockets(process);
    table
        .lines()
        .skip(1)
        .filter(|line| line.split_whitespace().nth(9).is_some_and(|inode| held.contains(inode)))
        .count()
}

fn files(folder: &Path) -> Vec<String> {
    let mut names: Vec<String> =
        std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    names
}

/// Guards against a part that is on though no file turns it on: no socket, no file, no path at the door. And against one
/// that is off though a file does.
#[tokio::test]
async fn without_an_operators_file_nothing_is_opened_or_written() {
    let (platform, endpoint) = (Platform::start().await, TestServer::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(datagram_sockets(node.pid()), 0);
    assert_eq!(node.admin_request("GET /status/peers", "").await.status(), 404);
    let without = files(node.state_folder());
    assert!(!without.iter().any(|name| name.starts_with("lives")), "{without:?}");
    node.kill();
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    std::fs::write(node.state_path("n1.secret"), hex(&[1; 32])).unwrap();
    let file = operator(&hex(&Secret::new([1; 32]).public_key()), &other.local_addr().unwrap().to_string());
    node.write_operator_file(&file);
    node.launch().await;
    let mut buffer = [0; 2048];
    let heard = tokio::time::timeout(TEST_TIMEOUT, other.recv(&mut buffer)).await;
    let length = heard.expect("it speaks to the other member").unwrap();
    assert_eq!(&buffer[..3], b"mp\x02");
    assert!(length <= 1200);
    assert!(
        files(node.state_folder()).contains(&"lives".to_owned()),
        "its life stands in the folder before it speaks"
    );
    assert_eq!(datagram_sockets(node.pid()), 1);
    let view = node.admin_request("GET /status/peers", "").await.json();
    assert_eq!((view["own"].as_str(), view["life"]["number"].as_u64()), (Some("n1"), Some(1)));
    let door = node.admin_address.to_string();
    let table = micadrum(&["peers", "--door", &door]);
    assert!(
        table.status.success() && said(&table).contains("n2") && said(&table).contains("n1: life 1"),
        "{}",
        said(&table)
    );
    // A list with one more member is taken at SIGHUP; one that is wrong is not, and nothing changes.
    let third = format!(
        "{file}[[peers.member]]\nname = \"n3\"\naddress = \"127.0.0.1:9\"\nbuilding = \"b\"\nkey = \"{}\"\n",
        hex(&Secret::new([3; 32]).public_key())
    );
    node.write_operator_file(&third);
    node.reload_with(|_| {});
    node.wait_for_metrics("a list is taken", |metrics| metrics["reconfig_ok"] == 1).await;
    let members = |view: serde_json::Value| view["peers"].as_array().unwrap().len();
    assert_eq!(members(node.admin_request("GET /status/peers", "").await.json()), 2);
    for (turned_down, wrong) in [&*third.replace("n3", "n2"), "[peers]\n", ""].into_iter().enumerate() {
        node.write_operator_file(wrong);
        node.reload_with(|_| {});
        node.wait_for_metrics("a wrong list is not", |f| f["reconfig_failed"] == turned_down + 1).await;
    }
    assert_eq!(members(node.admin_request("GET /status/peers", "").await.json()), 2);
}

/// Guards against a command that says yes to a wrong file, and a secret that is printed, read by others or overwritten.
#[test]
fn the_command_line_checks_files_and_makes_keys() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).display().to_string();
    let made = micadrum(&["key", &path("n1.secret")]);
    assert!(made.status.success(), "{}", said(&made));
    let public = String::from_utf8(made.stdout).unwrap().trim().to_owned();
    let secret = std::fs::read_to_string(path("n1.secret")).unwrap();
    assert_ne!(secret.trim(), public);
    let bytes = micadrum_config::peers::parse_key(secret.trim()).unwrap();
    assert_eq!(hex(&Secret::new(bytes).public_key()), public);
    use std::os::unix::fs::PermissionsExt;
    assert_eq!(std::fs::metadata(path("n1.secret")).unwrap().permissions().mode() & 0o777, 0o600);
    assert_eq!(micadrum(&["key", &path("n1.secret")]).status.code(), Some(2), "a secret is not written over");
    let text = operator(&public, "127.0.0.1:9");
    std::fs::write(path("good.toml"), &text).unwrap();
    let good = micadrum(&["check", &path("good.toml"), "--name", "n1"]);
    assert!(good.status.success() && said(&good).contains("n1 of 2 members"), "{}", said(&good));
    std::fs::write(path("bad.toml"), text.replace("building", "bilding")).unwrap();
    let bad = micadrum(&["check", &path("bad.toml"), "--name", "n1"]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        said(&bad).contains("bad.toml:6:1") && said(&bad).contains("did you mean `building`?"),
        "{}",
        said(&bad)
    );
    let example =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/operator.example.toml").display().to_string();
    let example = micadrum(&["check", &example, "--name", "n1"]);
    assert!(example.status.success(), "{}", said(&example));
}

/// Guards against two processes that speak under one name over a handover, or none: the next one takes the address and a life
/// of its own as soon as the one before has given its place up.
#[tokio::test]
async fn the_next_process_speaks_under_a_life_of_its_own() {
    let (platform, endpoint) = (Platform::start().await, TestServer::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    node.kill();
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // A port of its own, that both processes ask for.
    let at = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    std::fs::write(node.state_path("n1.secret"), hex(&[1; 32])).unwrap();
    let file = operator(&hex(&Secret::new([1; 32]).public_key()), &other.local_addr().unwrap().to_string());
    node.write_operator_file(&file.replace("127.0.0.1:0", &at.to_string()));
    node.launch().await;
    let life = |view: &serde_json::Value| view["life"]["number"].as_u64();
    let view = node.admin_request("GET /status/peers", "").await.json();
    assert_eq!(life(&view), Some(1));
    let mut old = node.replace().await;
    let now = loop {
        let view = node.admin_request("GET /status/peers", "").await.json();
        if life(&view).is_some() {
            break view;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    };
    assert_eq!((life(&now), now["forgot"].as_bool()), (Some(2), Some(false)), "{now}");
    old.terminate();
    assert!(old.exits_successfully().await);
    node.terminate();
    assert!(node.exits_successfully().await);
}
