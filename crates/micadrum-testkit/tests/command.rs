//! Tests of the command-line interface.
use std::process::{Command, Output};

fn run_testkit(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_micadrum-testkit")).args(args).output().unwrap()
}

fn file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    file
}

const SCENARIO: &str = "title = \"t\"\nlength = \"5 s\"\nsenders = 1\npartners = 2\ntraffic = \"10/s\"\n";

/// Guards against an exit code that hides an invalid file, an invalid option or a violation.
#[test]
fn exits_with_the_code_of_the_outcome() {
    let (valid, invalid) = (file(SCENARIO), file("title = \"t\"\nlength = \"soon\"\n"));
    let path = |file: &tempfile::NamedTempFile| file.path().to_str().unwrap().to_owned();
    let output = run_testkit(&["sim", &path(&valid), "--seed", "2"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("verdict: no rule broke"));
    let rejected = run_testkit(&["sim", &path(&invalid)]);
    assert_eq!(rejected.status.code(), Some(2));
    let message = String::from_utf8_lossy(&rejected.stderr).into_owned();
    assert!(message.contains(":2:") && message.contains("soon"), "{message}");
    for args in
        [&["sim"][..], &["sing", &path(&valid)], &["sim", &path(&valid), "--loud"], &["sim", "/nowhere"]]
    {
        assert_eq!(run_testkit(args).status.code(), Some(2), "{args:?}");
    }
    for args in [&["--help"][..], &["--version"], &["hunt", "--help"]] {
        assert_eq!(run_testkit(args).status.code(), Some(0), "{args:?}");
    }
    for args in [&["--seeds", "9..3"][..], &["--seeds", "3"], &["--seeds", "1..2", "--jobs", "0"], &[]] {
        let scenario = path(&valid);
        let search = [&["hunt", scenario.as_str()], args].concat();
        assert_eq!(run_testkit(&search).status.code(), Some(2), "{search:?}");
    }
    let none = run_testkit(&["sim", &path(&valid), "--random-faults", "--faults", "none"]);
    assert!(!String::from_utf8_lossy(&none.stdout).contains("fault: "), "{none:?}");
    assert_eq!(run_testkit(&["check", &path(&valid)]).status.code(), Some(0));
    assert_eq!(run_testkit(&["check", &path(&valid), &path(&invalid)]).status.code(), Some(2));
}

/// Guards against a JSON report that is empty or contradicts the exit code.
#[test]
fn writes_the_report_as_json() {
    let (scenario, json) = (file(SCENARIO), file(""));
    let path = json.path().to_str().unwrap();
    let output = run_testkit(&["sim", scenario.path().to_str().unwrap(), "--json", path, "--random-faults"]);
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap();
    assert_eq!(report["verdict"]["kept"], serde_json::json!(output.status.code() == Some(0)));
    assert!(report["played"]["counts"]["taken on"].as_u64().unwrap() > 10);
    assert!(!report["plan"]["faults"].as_array().unwrap().is_empty());
}

/// Guards against a former name of a subcommand that is rejected, or behaves differently.
#[test]
fn former_subcommand_names_give_the_same_output() {
    let scenario = file(SCENARIO);
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
        let output = run_testkit(&[&[name], args].concat());
        let former_output = run_testkit(&[&[former_name], args].concat());
        assert!(String::from_utf8_lossy(&output.stdout).contains(expected), "{name}: {output:?}");
        assert_eq!(output, former_output, "{name} and {former_name}");
        for name in [name, former_name] {
            assert_eq!(run_testkit(&[name, "--help"]).status.code(), Some(0), "{name}");
        }
    }
}
