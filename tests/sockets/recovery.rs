//! After the machine began anew: what becomes of what is owed, the stages at the door, newcomers that are turned away.
use crate::harness::{Node, Platform, TestServer, endpoint_entry, response};
use std::process::Command;

/// Lets the process's machine be on that run of it.
fn boot(node: &Node, run: u8) {
    std::fs::write(node.state_path("boot_id"), format!("{run:032x}\n")).unwrap();
}

fn file(node: &Node, outlasts: &str, rest: &str) -> String {
    let boot_id = node.state_path("boot_id");
    format!(
        "[durability]\noutlasts = \"{outlasts}\"\n[recovery]\nboot_id = {:?}\n{rest}",
        boot_id.display().to_string()
    )
}

/// A node on the first run of its machine, its platform and its only endpoint; all of it serves.
async fn started(outlasts: &str, rest: &str) -> (Platform, TestServer, Node) {
    let (platform, endpoint) = (Platform::start().await, TestServer::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    node.kill();
    boot(&node, 1);
    node.write_operator_file(&file(&node, outlasts, rest));
    node.launch().await;
    (platform, endpoint, node)
}

/// Waits until clients may come.
async fn open(node: &Node) {
    while node.admin_request("GET /status", "").await.status() != 200 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Guards against sending again what may have run before a loss of power, against taking a mere crash for one, and against a
/// door and a command that do not tell which it was.
#[tokio::test]
async fn a_crash_is_told_from_a_loss_of_power() {
    let (mut platform, mut endpoint, mut node) =
        started("process", "clock = \"vouched\"\nlist_for = \"100 ms\"\nfull_after = \"100 ms\"\n").await;
    let told = node.admin_request("GET /status/recovery", "").await.json();
    assert_eq!(told["trust"]["machine"], "unknown", "{told}");
    // Refused by the partner: it has not run, and waits for its next attempt.
    assert_eq!(node.submit("waits", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 30\r\n", ""));
    node.kill();
    node.launch().await;
    let told = node.admin_request("GET /status/recovery", "").await.json();
    let is =
        [&told["trust"]["machine"], &told["trust"]["journal"], &told["stage"]].map(|is| is.as_str().unwrap());
    assert_eq!(is, ["same", "binds", "full"], "{told}");
    node.kill();
    boot(&node, 2);
    node.launch().await;
    // The journal may have lost the attempt that ran: nobody but a person can say.
    let notice = platform.next_notification().await.to_string();
    assert!(notice.contains("waits"), "{notice}");
    let told = node.admin_request("GET /status/recovery", "").await.json();
    assert_eq!(
        (&told["trust"]["machine"], &told["trust"]["journal"]),
        (&"another".into(), &"hint".into()),
        "{told}"
    );
    open(&node).await;
    let told = node.admin_request("GET /status/recovery", "").await.json();
    assert!(told["steps"].as_array().unwrap().len() >= 3, "{told}");
    let door = node.admin_address.to_string();
    let shown =
        Command::new(env!("CARGO_BIN_EXE_micadrum")).args(["recovery", "--door", &door]).output().unwrap();
    let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(shown.contains("began anew") && shown.contains("not written to outlast"), "{shown}");
    node.terminate();
    assert!(node.exits_successfully().await);
}

/// Guards against a journal of another sender that is sent from, or thrown away.
#[tokio::test]
async fn the_journal_of_another_sender_is_set_aside() {
    let (_platform, mut endpoint, mut node) = started("machine", "").await;
    assert_eq!(node.submit("theirs", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 1\r\n", ""));
    node.kill();
    node.edit_config(|config| config["name"] = "n7".into());
    node.launch().await;
    let told = node.admin_request("GET /status/recovery", "").await.json();
    assert_eq!(told["trust"]["findings"][0]["foreign"], "n1", "{told}");
    assert!(node.state_folder().join("messages.wal.foreign").exists());
    open(&node).await;
    assert_eq!(node.submit("ours", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "ours");
    call.ok();
    node.wait_for_metrics("ours is delivered, theirs is not", |f| f["calls"]["unsafe"]["success"] == 1).await;
    assert!(endpoint.is_idle_for(std::time::Duration::from_millis(1500)).await);
    node.terminate();
    assert!(node.exits_successfully().await);
}

/// Guards against newcomers that all come in at once after a loss of power, or are turned away without being told when to
/// come again.
#[tokio::test]
async fn newcomers_come_in_at_a_rate() {
    let (_platform, mut endpoint, mut node) =
        started("machine", "list_for = \"100 ms\"\nnewcomers = \"1/s\"\nfull_after = \"60 s\"\n").await;
    assert_eq!(node.submit("before", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    node.kill();
    boot(&node, 2);
    node.launch().await;
    open(&node).await;
    assert_eq!(node.submit("first", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    let second = node.submit("second", "unsafe", "").await;
    assert_eq!(second.status(), 503);
    let wait: u64 = second.header("retry-after").unwrap().parse().unwrap();
    assert!((1..=10).contains(&wait), "{wait}");
    node.terminate();
    assert!(node.exits_successfully().await);
}
