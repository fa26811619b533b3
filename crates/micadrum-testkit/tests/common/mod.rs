//! Helpers shared by the tests of the kit.
#![allow(dead_code)]
use micadrum_testkit::plan::Plan;
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::Scenario;
use micadrum_testkit::sim::{self, OutputOptions};
use std::path::{Path, PathBuf};

/// The scenarios that are shipped.
pub fn shipped() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios");
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    assert!(files.len() >= 8, "{files:?}");
    files
}

pub fn read(file: &Path) -> Scenario {
    Scenario::parse(&file.display().to_string(), &std::fs::read_to_string(file).unwrap()).unwrap()
}

/// A scenario of a minute's traffic for a few partners, with `rest` besides.
pub fn scenario(length: &str, rest: &str) -> Scenario {
    let text = format!(
        "title = \"test\"\nlength = \"{length}\"\nsenders = 2\npartners = 6\ntraffic = \"30/s\"\n{rest}"
    );
    Scenario::parse("test.toml", &text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

pub fn play(plan: Plan) -> Report {
    sim::run(plan, OutputOptions::default()).unwrap()
}

/// Plays it and checks that no rule broke; a failure tells all.
pub fn kept(scenario: Scenario, seed: u64) -> Report {
    let report = play(Plan::new(scenario, seed));
    assert!(report.verdict.kept, "seed {seed}\n{}", report.text());
    report
}

/// The daemon's program, as this test was built beside it.
pub fn daemon() -> PathBuf {
    let exe = std::env::current_exe().unwrap();
    let daemon = exe.parent().and_then(|deps| deps.parent()).unwrap().join("micadrum");
    assert!(daemon.exists(), "{}: test the whole workspace, which builds it", daemon.display());
    daemon
}
