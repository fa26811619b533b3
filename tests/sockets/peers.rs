//! The fleet membership of senders: its activation by the operator's file, the command line and the admin
//! endpoint.
use crate::harness::{Node, Platform, TEST_TIMEOUT, TestServer, endpoint_entry};
use micadrum_membership::Secret;
use std::collections::BTreeSet;
use std::path::Path;
use std::process::{Command, Output};
use tokio::net::UdpSocket;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns an operator's file for n1 in a fleet of two, whose other member is at the address `other`.
fn operator_file(own_key: &str, other: &str) -> String {
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

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Returns the inodes of the sockets that a process has open.
fn socket_inodes(process: u32) -> BTreeSet<String> {
    let entries = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap();
    let target = |entry: std::io::Result<std::fs::DirEntry>| std::fs::read_link(entry.ok()?.path()).ok();
    let names = entries.filter_map(target).map(|to| to.display().to_string());
    names.filter_map(|name| Some(name.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())).collect()
}

/// Returns the number of UDP sockets that a process has open.
fn udp_socket_count(process: u32) -> usize {
    let table = std::fs::read_to_string(format!("/proc/{process}/net/udp")).unwrap();
    let held = socket_inodes(process);
    table
        .lines()
        .skip(1)
        .filter(|line| line.split_whitespace().nth(9).is_some_and(|inode| held.contains(inode)))
        .count()
}

/// Returns the sorted names of the files in a folder.
fn file_names(folder: &Path) -> Vec<String> {
    let mut names: Vec<String> =
        std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    names
}

/// Guards against a membership that is active without an operator's file, by a socket, a state file or an
/// admin path, and against one that stays inactive with such a file.
#[tokio::test]
async fn membership_is_active_only_with_an_operators_file() {
    let (platform, endpoint) = (Platform::start().await, TestServer::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    assert_eq!(udp_socket_count(node.pid()), 0);
    assert_eq!(node.admin_request("GET /status/peers", "").await.status(), 404);
    let without_peers = file_names(node.state_folder());
    assert!(!without_peers.iter().any(|name| name.starts_with("lives")), "{without_peers:?}");
    node.kill();
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    std::fs::write(node.state_path("n1.secret"), hex(&[1; 32])).unwrap();
    let file =
        operator_file(&hex(&Secret::new([1; 32]).public_key()), &other.local_addr().unwrap().to_string());
    node.write_operator_file(&file);
    node.launch().await;
    let mut buffer = [0; 2048];
    let received = tokio::time::timeout(TEST_TIMEOUT, other.recv(&mut buffer)).await;
    let length = received.expect("no datagram to the other member in time").unwrap();
    assert_eq!(&buffer[..3], b"mp\x02");
    assert!(length <= 1200);
    assert!(
        file_names(node.state_folder()).contains(&"lives".to_owned()),
        "the file lives must be written before the first datagram"
    );
    assert_eq!(udp_socket_count(node.pid()), 1);
    let view = node.admin_request("GET /status/peers", "").await.json();
    assert_eq!((view["own"].as_str(), view["life"]["number"].as_u64()), (Some("n1"), Some(1)));
    let admin_address = node.admin_address.to_string();
    let table = micadrum(&["peers", "--door", &admin_address]);
    assert!(
        table.status.success()
            && output_text(&table).contains("n2")
            && output_text(&table).contains("n1: life 1"),
        "{}",
        output_text(&table)
    );
    // SIGHUP applies a list with one more member, and rejects faulty lists without a change.
    let three_members = format!(
        "{file}[[peers.member]]\nname = \"n3\"\naddress = \"127.0.0.1:9\"\nbuilding = \"b\"\nkey = \"{}\"\n",
        hex(&Secret::new([3; 32]).public_key())
    );
    node.write_operator_file(&three_members);
    node.reload_with(|_| {});
    node.wait_for_metrics("the list is applied", |metrics| metrics["reconfig_ok"] == 1).await;
    let member_count = |view: serde_json::Value| view["peers"].as_array().unwrap().len();
    assert_eq!(member_count(node.admin_request("GET /status/peers", "").await.json()), 2);
    for (rejected, wrong) in [&*three_members.replace("n3", "n2"), "[peers]\n", ""].into_iter().enumerate() {
        node.write_operator_file(wrong);
        node.reload_with(|_| {});
        node.wait_for_metrics("the faulty list is rejected", |f| f["reconfig_failed"] == rejected + 1).await;
    }
    assert_eq!(member_count(node.admin_request("GET /status/peers", "").await.json()), 2);
}

/// Guards against accepting a faulty file, and against a secret that is printed, readable by others or
/// overwritten.
#[test]
fn the_command_line_checks_files_and_creates_keys() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).display().to_string();
    let created = micadrum(&["key", &path("n1.secret")]);
    assert!(created.status.success(), "{}", output_text(&created));
    let public = String::from_utf8(created.stdout).unwrap().trim().to_owned();
    let secret = std::fs::read_to_string(path("n1.secret")).unwrap();
    assert_ne!(secret.trim(), public);
    let bytes = micadrum_config::peers::parse_key(secret.trim()).unwrap();
    assert_eq!(hex(&Secret::new(bytes).public_key()), public);
    use std::os::unix::fs::PermissionsExt;
    assert_eq!(std::fs::metadata(path("n1.secret")).unwrap().permissions().mode() & 0o777, 0o600);
    assert_eq!(
        micadrum(&["key", &path("n1.secret")]).status.code(),
        Some(2),
        "an existing secret file must be refused"
    );
    let text = operator_file(&public, "127.0.0.1:9");
    std::fs::write(path("good.toml"), &text).unwrap();
    let good = micadrum(&["check", &path("good.toml"), "--name", "n1"]);
    assert!(
        good.status.success() && output_text(&good).contains("n1 of 2 members"),
        "{}",
        output_text(&good)
    );
    std::fs::write(path("bad.toml"), text.replace("building", "bilding")).unwrap();
    let bad = micadrum(&["check", &path("bad.toml"), "--name", "n1"]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        output_text(&bad).contains("bad.toml:6:1") && output_text(&bad).contains("did you mean `building`?"),
        "{}",
        output_text(&bad)
    );
    let example =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/operator.example.toml").display().to_string();
    let example = micadrum(&["check", &example, "--name", "n1"]);
    assert!(example.status.success(), "{}", output_text(&example));
}

/// Guards against two active members of one name during a handover, and against none after it: the new
/// process takes over the address with a new life number.
#[tokio::test]
async fn the_new_process_takes_over_with_a_new_life_number() {
    let (platform, endpoint) = (Platform::start().await, TestServer::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    node.kill();
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // A fixed port, as both processes bind the same one.
    let address = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    std::fs::write(node.state_path("n1.secret"), hex(&[1; 32])).unwrap();
    let file =
        operator_file(&hex(&Secret::new([1; 32]).public_key()), &other.local_addr().unwrap().to_string());
    node.write_operator_file(&file.replace("127.0.0.1:0", &address.to_string()));
    node.launch().await;
    let life = |view: &serde_json::Value| view["life"]["number"].as_u64();
    let view = node.admin_request("GET /status/peers", "").await.json();
    assert_eq!(life(&view), Some(1));
    let mut old = node.replace().await;
    let new_view = loop {
        let view = node.admin_request("GET /status/peers", "").await.json();
        if life(&view).is_some() {
            break view;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    };
    assert_eq!((life(&new_view), new_view["forgot"].as_bool()), (Some(2), Some(false)), "{new_view}");
    old.terminate();
    assert!(old.exits_successfully().await);
    node.terminate();
    assert!(node.exits_successfully().await);
}
