//! Searches a few dozen seeds with random faults.
mod common;

use common::scenario;
use micadrum_testkit::plan::{ConfigOverride, Plan};
use micadrum_testkit::seed_search;

/// Guards against violations under combinations of faults that no other test covers.
#[test]
fn random_faults_violate_no_invariant() {
    let plan = |seed| {
        let mut plan = Plan::new(scenario("60 s", "clumps = \"5%\"\n"), seed);
        plan.add_random_faults();
        plan
    };
    let found = seed_search::run(1..=40, 2, &plan, &|_, _| {});
    let failing: Vec<String> = found.failing.iter().map(|seed| seed.text("test.toml", "")).collect();
    assert_eq!((found.seeds_run, failing.len()), (40, 0), "{}", failing.join("\n"));
}

/// Guards against a search that misses a violation, or keeps faults in the plan that do not contribute to it.
#[test]
fn finds_a_violation_and_shrinks_its_plan() {
    let plan = |seed| {
        let rest = "[[fault]]\nkind = \"stall\"\nat = \"2 s\"\nfor = \"5 s\"\npause = \"200 ms\"\nevery = \"1 s\"\n\
                    [[fault]]\nkind = \"errors\"\nat = \"4 s\"\nfor = \"10 s\"\ncalls = \"60%\"\n";
        let mut plan = Plan::new(scenario("30 s", rest), seed);
        let config_override =
            ConfigOverride { pointer: "/settings/lanes/0/repeat".to_owned(), value: "retryable".into() };
        plan.config_overrides.push(config_override);
        plan
    };
    let found = seed_search::run(3..=3, 1, &plan, &|_, _| {});
    let [failing] = &found.failing[..] else { panic!("{} found", found.failing.len()) };
    assert_eq!(failing.faults, [1], "{:?}", failing.fault_descriptions);
    assert!(failing.length.as_secs() < 30.0, "{}", failing.length);
    let text = failing.text("test.toml", "");
    assert!(text.contains("--seed 3") && text.contains("--faults 1 --until"), "{text}");
}
