//! A few dozen seeds with faults of their own; the long search is the command's.
mod common;

use common::scenario;
use micadrum_testkit::plan::{ConfigOverride, Plan};
use micadrum_testkit::seed_search;

/// Guards against a change that breaks a rule under faults that nobody thought of.
#[test]
fn random_faults_break_no_rule() {
    let plan = |seed| {
        let mut plan = Plan::new(scenario("60 s", "clumps = \"5%\"\n"), seed);
        plan.add_random_faults();
        plan
    };
    let found = seed_search::run(1..=40, 2, &plan, &|_, _| {});
    let failing: Vec<String> = found.failing.iter().map(|one| one.text("test.toml", "")).collect();
    assert_eq!((found.played, failing.len()), (40, 0), "{}", failing.join("\n"));
}

/// Guards against a hunt that finds nothing, or leaves in its plan what has no part in the failure.
#[test]
fn a_hunt_finds_a_planted_fault_and_cuts_the_plan_down() {
    let plan = |seed| {
        let rest = "[[fault]]\nkind = \"stall\"\nat = \"2 s\"\nfor = \"5 s\"\npause = \"200 ms\"\nevery = \"1 s\"\n\
                    [[fault]]\nkind = \"errors\"\nat = \"4 s\"\nfor = \"10 s\"\ncalls = \"60%\"\n";
        let mut plan = Plan::new(scenario("30 s", rest), seed);
        let lie =
            ConfigOverride { pointer: "/settings/lanes/0/repeat".to_owned(), value: "retryable".into() };
        plan.config_overrides.push(lie);
        plan
    };
    let found = seed_search::run(3..=3, 1, &plan, &|_, _| {});
    let [one] = &found.failing[..] else { panic!("{} found", found.failing.len()) };
    assert_eq!(one.faults, [1], "{:?}", one.lines);
    assert!(one.length.as_secs() < 30.0, "{}", one.length);
    let text = one.text("test.toml", "");
    assert!(text.contains("--seed 3") && text.contains("--faults 1 --until"), "{text}");
}
