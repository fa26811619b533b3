//! Recovery after a reboot of the machine: held messages, the stages at the admin endpoint, and the admission
//! of new messages.
use crate::harness::{Node, Platform, TestServer, endpoint_entry, response};
use std::process::Command;

/// Sets the boot ID that the sender reads: a different one simulates a reboot of the machine.
fn set_boot_id(node: &Node, boot: u8) {
    std::fs::write(node.state_path("boot_id"), format!("{boot:032x}\n")).unwrap();
}

/// Returns an operator's file that reads the boot ID from the state folder.
fn operator_file(node: &Node, outlasts: &str, rest: &str) -> String {
    let boot_id = node.state_path("boot_id");
    format!(
        "[durability]\noutlasts = \"{outlasts}\"\n[recovery]\nboot_id = {:?}\n{rest}",
        boot_id.display().to_string()
    )
}

/// Starts a node on the first boot of its machine, with its platform and its only endpoint.
async fn start_on_first_boot(outlasts: &str, rest: &str) -> (Platform, TestServer, Node) {
    let (platform, endpoint) = (Platform::start().await, TestServer::start().await);
    let mut node =
        Node::start(&platform, &[endpoint_entry("s-1", endpoint.address, "single", "SERVING")]).await;
    node.kill();
    set_boot_id(&node, 1);
    node.write_operator_file(&operator_file(&node, outlasts, rest));
    node.launch().await;
    (platform, endpoint, node)
}

/// Waits until the sender is ready for clients.
async fn wait_until_ready(node: &Node) {
    while node.admin_request("GET /status", "").await.status() != 200 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Guards against sending an unsafe message again after a reboot, against taking a crash of the process for a
/// reboot, and against an admin endpoint and a command that do not show the difference.
#[tokio::test]
async fn distinguishes_a_crash_of_the_process_from_a_reboot() {
    let (mut platform, mut endpoint, mut node) = start_on_first_boot(
        "process",
        "clock = \"vouched\"\nlist_for = \"100 ms\"\nfull_after = \"100 ms\"\n",
    )
    .await;
    let status = node.admin_request("GET /status/recovery", "").await.json();
    assert_eq!(status["trust"]["machine"], "unknown", "{status}");
    // The endpoint refuses the message: it has not run, and waits for its next attempt.
    assert_eq!(node.submit("waits", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 30\r\n", ""));
    node.kill();
    node.launch().await;
    let status = node.admin_request("GET /status/recovery", "").await.json();
    let states = [&status["trust"]["machine"], &status["trust"]["journal"], &status["stage"]]
        .map(|state| state.as_str().unwrap());
    assert_eq!(states, ["same", "binds", "full"], "{status}");
    node.kill();
    set_boot_id(&node, 2);
    node.launch().await;
    // The journal may have lost a later attempt that ran, so the unsafe message fails.
    let notification = platform.next_notification().await.to_string();
    assert!(notification.contains("waits"), "{notification}");
    let status = node.admin_request("GET /status/recovery", "").await.json();
    assert_eq!(
        (&status["trust"]["machine"], &status["trust"]["journal"]),
        (&"another".into(), &"hint".into()),
        "{status}"
    );
    wait_until_ready(&node).await;
    let status = node.admin_request("GET /status/recovery", "").await.json();
    assert!(status["steps"].as_array().unwrap().len() >= 3, "{status}");
    let admin_address = node.admin_address.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_micadrum"))
        .args(["recovery", "--door", &admin_address])
        .output()
        .unwrap();
    let output = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.contains("machine  rebooted") && output.contains("journal_survived=false"), "{output}");
    node.terminate();
    assert!(node.exits_successfully().await);
}

/// Guards against sending messages from the journal of another sender, and against deleting it.
#[tokio::test]
async fn the_journal_of_another_sender_is_set_aside() {
    let (_platform, mut endpoint, mut node) = start_on_first_boot("machine", "").await;
    assert_eq!(node.submit("theirs", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.reply(response("429 Too Many Requests", "Retry-After: 1\r\n", ""));
    node.kill();
    node.edit_config(|config| config["name"] = "n7".into());
    node.launch().await;
    let status = node.admin_request("GET /status/recovery", "").await.json();
    assert_eq!(status["trust"]["findings"][0]["foreign"], "n1", "{status}");
    assert!(node.state_folder().join("messages.wal.foreign").exists());
    wait_until_ready(&node).await;
    assert_eq!(node.submit("ours", "unsafe", "").await.status(), 202);
    let call = endpoint.next_call().await;
    assert_eq!(call.id(), "ours");
    call.ok();
    node.wait_for_metrics("only the new message is delivered", |f| f["calls"]["unsafe"]["success"] == 1)
        .await;
    assert!(endpoint.is_idle_for(std::time::Duration::from_millis(1500)).await);
    node.terminate();
    assert!(node.exits_successfully().await);
}

/// Guards against admitting all new messages at once after a reboot, and against refusing them without
/// `Retry-After`.
#[tokio::test]
async fn limits_the_rate_of_new_messages_after_a_reboot() {
    let (_platform, mut endpoint, mut node) =
        start_on_first_boot("machine", "list_for = \"100 ms\"\nnewcomers = \"1/s\"\nfull_after = \"60 s\"\n")
            .await;
    assert_eq!(node.submit("before", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    node.kill();
    set_boot_id(&node, 2);
    node.launch().await;
    wait_until_ready(&node).await;
    assert_eq!(node.submit("first", "unsafe", "").await.status(), 202);
    endpoint.next_call().await.ok();
    let second = node.submit("second", "unsafe", "").await;
    assert_eq!(second.status(), 503);
    let wait: u64 = second.header("retry-after").unwrap().parse().unwrap();
    assert!((1..=10).contains(&wait), "{wait}");
    node.terminate();
    assert!(node.exits_successfully().await);
}
