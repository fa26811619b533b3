//! Helpers shared by the tests of the kit.
#![allow(dead_code)]
use micadrum_testkit::plan::Plan;
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::Scenario;
use micadrum_testkit::sim::{self, OutputOptions};
use std::path::{Path, PathBuf};

/// Returns the paths of the scenarios in `deploy/scenarios`, sorted.
pub fn shipped_scenarios() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios");
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    assert!(files.len() >= 8, "{files:?}");
    files
}

/// Returns the text of a scenario in `deploy/scenarios`.
pub fn shipped_scenario(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

/// Parses a scenario file.
pub fn read_scenario(file: &Path) -> Scenario {
    Scenario::parse(&file.display().to_string(), &std::fs::read_to_string(file).unwrap()).unwrap()
}

/// Returns a scenario of two senders and six destinations, with `rest` appended to its text.
pub fn scenario(length: &str, rest: &str) -> Scenario {
    let text = format!(
        "title = \"test\"\nlength = \"{length}\"\nsenders = 2\npartners = 6\ntraffic = \"30/s\"\n{rest}"
    );
    Scenario::parse("test.toml", &text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

/// Simulates a plan.
pub fn simulate(plan: Plan) -> Report {
    sim::run(plan, OutputOptions::default()).unwrap()
}

/// Simulates a scenario and asserts that all invariants hold.
pub fn simulate_without_violations(scenario: Scenario, seed: u64) -> Report {
    let report = simulate(Plan::new(scenario, seed));
    assert!(report.verdict.all_hold, "seed {seed}\n{}", report.text());
    report
}

/// Returns the path of the daemon's binary, which is built together with the tests of the whole workspace.
pub fn daemon() -> PathBuf {
    let exe = std::env::current_exe().unwrap();
    let daemon = exe.parent().and_then(|deps| deps.parent()).unwrap().join("micadrum");
    assert!(
        daemon.exists(),
        "{} does not exist: run the tests of the whole workspace, which build it",
        daemon.display()
    );
    daemon
}
