//! The command as people use it.
use std::process::{Command, Output};

fn rehearse(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_micadrum-testkit")).args(args).output().unwrap()
}

fn file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    file
}

const GOOD: &str = "title = \"t\"\nlength = \"5 s\"\nsenders = 1\npartners = 2\ntraffic = \"10/s\"\n";

/// Guards against an exit code that hides a bad file or command, or a broken rule, or calls a good run bad.
#[test]
fn the_exit_code_tells_what_happened() {
    let (good, bad) = (file(GOOD), file("title = \"t\"\nlength = \"soon\"\n"));
    let path = |file: &tempfile::NamedTempFile| file.path().to_str().unwrap().to_owned();
    let played = rehearse(&["sim", &path(&good), "--seed", "2"]);
    assert_eq!(played.status.code(), Some(0), "{played:?}");
    assert!(String::from_utf8_lossy(&played.stdout).contains("verdict: no rule broke"));
    let refused = rehearse(&["sim", &path(&bad)]);
    assert_eq!(refused.status.code(), Some(2));
    let said = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(said.contains(":2:") && said.contains("soon"), "{said}");
    for args in
        [&["sim"][..], &["sing", &path(&good)], &["sim", &path(&good), "--loud"], &["sim", "/nowhere"]]
    {
        assert_eq!(rehearse(args).status.code(), Some(2), "{args:?}");
    }
    for args in [&["--help"][..], &["--version"], &["hunt", "--help"]] {
        assert_eq!(rehearse(args).status.code(), Some(0), "{args:?}");
    }
    for args in [&["--seeds", "9..3"][..], &["--seeds", "3"], &["--seeds", "1..2", "--jobs", "0"], &[]] {
        let day = path(&good);
        let hunt = [&["hunt", day.as_str()], args].concat();
        assert_eq!(rehearse(&hunt).status.code(), Some(2), "{hunt:?}");
    }
    let none = rehearse(&["sim", &path(&good), "--random-faults", "--faults", "none"]);
    assert!(!String::from_utf8_lossy(&none.stdout).contains("fault: "), "{none:?}");
    assert_eq!(rehearse(&["check", &path(&good)]).status.code(), Some(0));
    assert_eq!(rehearse(&["check", &path(&good), &path(&bad)]).status.code(), Some(2));
}

/// Guards against a report for machines that says something else than the one for people, or nothing.
#[test]
fn the_json_holds_the_report() {
    let (good, json) = (file(GOOD), file(""));
    let path = json.path().to_str().unwrap();
    let played = rehearse(&["sim", good.path().to_str().unwrap(), "--json", path, "--random-faults"]);
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap();
    assert_eq!(report["verdict"]["kept"], serde_json::json!(played.status.code() == Some(0)));
    assert!(report["played"]["counts"]["taken on"].as_u64().unwrap() > 10);
    assert!(!report["plan"]["faults"].as_array().unwrap().is_empty());
}

/// Guards against a former name of a subcommand that is refused, or does something else than the new one.
#[test]
fn former_subcommand_names_give_the_same_output() {
    let scenario = file(GOOD);
    let path = scenario.path().to_str().unwrap();
    let logs = tempfile::tempdir().unwrap();
    let log = "trace taken at=1000000 destination=3\ntrace list at=2000000\n";
    std::fs::write(logs.path().join("n0.log"), log).unwrap();
    let logs = logs.path().to_str().unwrap();
    let commands: [(&str, &str, &[&str], &str); 3] = [
        ("simulate", "sim", &[path, "--seed", "3", "--random-faults"], "verdict: "),
        ("search", "hunt", &[path, "--seeds", "1..2", "--jobs", "1"], "2 seeds played"),
        ("aggregate", "count", &[logs], "destination 3"),
    ];
    for (name, former_name, args, expected) in commands {
        let output = rehearse(&[&[name], args].concat());
        let former_output = rehearse(&[&[former_name], args].concat());
        assert!(String::from_utf8_lossy(&output.stdout).contains(expected), "{name}: {output:?}");
        assert_eq!(output, former_output, "{name} and {former_name}");
        for name in [name, former_name] {
            assert_eq!(rehearse(&[name, "--help"]).status.code(), Some(0), "{name}");
        }
    }
}
