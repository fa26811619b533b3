//! The adapter as a process: valid batches, senders distributed over processes, and invalid input.
#![allow(clippy::min_ident_chars, clippy::too_many_lines, reason = "not done yet, see docs/ROADMAP.md")]
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_micadrum-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let text: String = lines.iter().map(|l| format!("{l}\n")).collect();
    let _ = child.stdin.take().unwrap().write_all(text.as_bytes());
    child.wait_with_output().unwrap()
}

const PROFILE: &str = r#"{"azs":["a","b"],"zone":"b","discovery":"pushed","fleet_size":2,"kinds":["k"],
"lanes":[{"aim":2500000,"group":"all","hard_limit":16000000,"key_ttl":5000000,"late_value":0.3,"name":"c","repeat":"fragile","stream":false,"worth":1.0}],
"limits":{"cancel":true,"connect_timeout":1500000,"max_attempts":6,"most_held":50,"probes":false},
"invariants":{"drain_grace":1000000,"cold_share":0.2,"ramp_time":9000000,"overload_factor":2.0,"fall":1500000,"order_settle":0,"must_ask_in":10000000},
"specifics":{"bundle_max":[1],"kind_apart":[false],"decay":"even","max_calls":SLOTS},
"period":5000,"report":{"how":"answers","names":["x0","x1"]},"weights":"none","brand_new_key":[1,{"x":null}]}"#;

fn start(sender: u32) -> String {
    let profile = PROFILE.replace('\n', "").replace("SLOTS", "4");
    format!(
        r#"{{"sender":{sender},"input":[{{"t":"start","rng_seed":{sender},"profile_data":{profile}}},{{"t":"catalog","page":0,"entries":[{{"readiness":"active","dest":5,"came_up":null,"rack_zone":"a","flavor":"k","endpoint":"10.0.0.{sender}:7","power_hint":1}}]}},{{"t":"discovery","kind":"stale_copy","rev":1,"page":0}}]}}"#
    )
}

fn ask(sender: u32, job: u32) -> String {
    format!(
        r#"{{"sender":{sender},"input":[{{"t":"ask","job":{job},"realm":null,"subject":null,"service":"c","estimate":null,"is_retry":false,"again":false,"is_write":false,"time_budget":16000000,"dest":5}}]}}"#
    )
}

fn batch(serial: u32, groups: &[String]) -> String {
    let time = 1_000_000 + u64::from(serial) * 5_000;
    format!(r#"{{"sim_time":{time},"serial":{serial},"senders":[{}]}}"#, groups.join(","))
}

fn replies(output: &Output) -> Vec<serde_json::Value> {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    output
        .stdout
        .split(|b| *b == b'\n')
        .filter(|l| !l.is_empty())
        .map(|l| serde_json::from_slice(l).unwrap())
        .collect()
}

#[test]
fn answers_valid_batches_with_their_serial() {
    let output = run(&[batch(1, &[]), batch(2, &[start(3)]), batch(3, &[ask(3, 77)])]);
    let replies = replies(&output);
    assert_eq!(replies.len(), 3);
    assert_eq!(replies[0], serde_json::json!({"serial": 1, "senders": []}));
    let done = &replies[2]["senders"][0]["do"];
    assert_eq!(replies[2]["senders"][0]["sender"], 3);
    let send = done.as_array().unwrap().iter().find(|a| a["t"] == "forward").unwrap();
    assert_eq!((&send["job"], &send["endpoint"]), (&77.into(), &"10.0.0.3:7".into()));
}

#[test]
fn resolves_catalog_pages_in_event_order_and_drops_them_at_a_restart() {
    // Both senders refer to page 0, which is overwritten in between; then sender 1 goes down, restarts and
    // gets its own entries.
    let output = run(&[
        batch(1, &[start(1), start(2)]),
        batch(2, &[ask(1, 11), ask(2, 12)]),
        batch(3, &[start(1).replace(r#""input":["#, r#""input":[{"t":"down"},"#)]),
        batch(4, &[ask(1, 13)]),
    ]);
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    assert!(output.status.success());
    for (job, endpoint) in [(11, 1), (12, 2), (13, 1)] {
        assert!(text.contains(&format!(r#""job":{job},"endpoint":"10.0.0.{endpoint}:7""#)), "{text}");
    }
}

#[test]
fn one_process_for_two_senders_acts_like_one_process_each() {
    let actions_of = |group: &[u32]| {
        let each = |f: &dyn Fn(u32) -> String| group.iter().map(|g| f(*g)).collect::<Vec<_>>();
        let mut lines = vec![batch(1, &each(&start))];
        lines.extend((2..40).map(|n| batch(n, &each(&|g| ask(g, n * 10 + g)))));
        let mut all = Vec::new();
        for reply in replies(&run(&lines)) {
            all.extend(
                reply["senders"]
                    .as_array()
                    .unwrap()
                    .iter()
                    .map(|s| (reply["serial"].as_u64(), s.to_string())),
            );
        }
        all
    };
    let by_one_process = actions_of(&[1, 2]);
    let mut by_two_processes = actions_of(&[1]);
    by_two_processes.extend(actions_of(&[2]));
    let sorted = |mut v: Vec<_>| {
        v.sort();
        v
    };
    assert!(!by_one_process.is_empty());
    assert_eq!(sorted(by_one_process), sorted(by_two_processes));
}

#[test]
fn rejects_invalid_input_with_a_one_line_error_and_no_reply() {
    let assert_rejected = |line: String, words: &[&str]| {
        let output = run(&[batch(1, &[start(3)]), line]);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains("line 2") && !error.contains("panicked"), "{error}");
        assert!(words.iter().all(|w| error.contains(w)), "{error}");
        assert_eq!(
            output.stdout.iter().filter(|b| **b == b'\n').count(),
            1,
            "only the first batch is answered"
        );
    };
    assert_rejected("nonsense".into(), &["expected"]);
    assert_rejected(r#"{"sim_time":1,"senders":[]}"#.into(), &["serial"]);
    assert_rejected(batch(2, &[ask(3, 7).replace(r#""job":7"#, r#""job":"seven""#)]), &["seven"]);
    assert_rejected(
        batch(2, &[ask(3, 7).replace(r#""service":"c""#, r#""service":"other""#)]),
        &["class", "other", "sender 3"],
    );
    assert_rejected(batch(2, &[ask(8, 7)]), &["the sender has not been started", "sender 8"]);
    assert_rejected(
        batch(2, &[r#"{"sender":3,"input":[{"t":"discovery","kind":"whole","rev":2,"page":9}]}"#.into()]),
        &["catalog page 9"],
    );
    let zero = start(4).replace(r#""max_calls":4"#, r#""max_calls":0"#);
    assert_rejected(batch(2, &[zero]), &["slots"]);
}
