//! Tests of difficult combinations of faults, and of the checker's ability to detect faulty senders.
mod common;

use common::{read_scenario, scenario, shipped_scenarios, simulate, simulate_without_violations};
use micadrum_testkit::invariants::Invariant;
use micadrum_testkit::plan::{ConfigOverride, Plan};
use micadrum_testkit::scenario::Scenario;
use micadrum_testkit::units::Span;

/// Simulates a shipped scenario with each seed and asserts that all invariants hold.
fn simulate_shipped(name: &str, seeds: std::ops::RangeInclusive<u64>) {
    let file =
        shipped_scenarios().into_iter().find(|f| f.file_stem().is_some_and(|stem| stem == name)).unwrap();
    for seed in seeds {
        let report = simulate_without_violations(read_scenario(&file), seed);
        assert!(report.results.counts["taken on"] > 1_000, "{}", report.text());
    }
}

/// Guards against messages that are lost, duplicated or out of order when most senders restart while the
/// destinations of one building are unreachable.
#[test]
fn a_mass_restart_during_an_outage_of_one_building_has_no_violations() {
    simulate_shipped("mass-restart", 1..=4);
}

/// Guards against violations when endpoint lists are ten seconds old and contain dead hosts.
#[test]
fn outdated_endpoint_lists_cause_no_violations() {
    simulate_shipped("lagging-list", 1..=3);
}

/// Guards against clumps that push over quiet destinations of whose outages senders have seen one or two
/// failures (review/10).
#[test]
fn clumps_after_quiet_outages_cause_no_violations() {
    simulate_quiet_outages(1..=4);
}

/// Simulates the scenario of quiet destinations, which has fewer messages than others.
fn simulate_quiet_outages(seeds: std::ops::RangeInclusive<u64>) {
    let files = shipped_scenarios();
    let file = files.iter().find(|file| file.ends_with("quiet-partners.toml")).unwrap();
    for seed in seeds {
        let report = simulate_without_violations(read_scenario(file), seed);
        assert!(report.results.counts["taken on"] > 500, "{}", report.text());
    }
}

/// Guards against messages that are lost or sent again when senders restart while their disk is full.
#[test]
fn a_restart_with_a_full_disk_has_no_violations() {
    simulate_shipped("full-disk-restart", 1..=4);
}

/// Guards against a journal that does not match the calls sent: the process is killed before, during and
/// after each of the first writes, with calls in flight and messages queued.
#[test]
fn a_kill_at_any_write_has_no_violations() {
    let mut exits = 0;
    for nth in 1..=30 {
        for place in ["before", "torn", "after"] {
            let rest = format!(
                "[[fault]]\nkind = \"errors\"\nat = \"500 ms\"\nfor = \"4 s\"\ncalls = \"40%\"\n\
                 [[fault]]\nkind = \"kill-at-write\"\nat = \"2 s\"\nnth = {nth}\nwhere = \"{place}\"\n"
            );
            let report = simulate_without_violations(scenario("5 s", &rest), nth);
            exits += report.results.counts["ends of senders"];
        }
    }
    assert_eq!(exits, 2 * 30 * 3, "each sender was killed once in each run");
}

/// Guards against a repeated attempt after a call was abandoned that may still take effect, and against a
/// late answer that is taken for the answer to another call.
#[test]
fn answers_to_abandoned_calls_cause_no_violations() {
    let rest =
        "[[fault]]\nkind = \"late\"\nat = \"5 s\"\nfor = \"10 s\"\nshare = \"50%\"\ndelay = \"14 s\"\n";
    let report = simulate_without_violations(scenario("20 s", rest), 3);
    let counts = &report.results.counts;
    assert!(counts["calls given up"] > 20 && counts["noticed as failed"] > 5, "{}", report.text());
}

/// Guards against senders that exceed the limit of a destination that they share and that no configuration
/// states.
#[test]
fn two_senders_find_the_limit_that_they_share() {
    let overloaded = scenario("60 s", "load = \"120%\"\n");
    let report = simulate_without_violations(overloaded, 9);
    let counts = &report.results.counts;
    let share = counts["calls turned away"] as f64 / counts["calls"] as f64;
    assert!(share < 0.25, "{share:.2} of the calls were rejected\n{}", report.text());
}

/// Guards against a second delivery of a message that is submitted again under its id, in flight or ended,
/// after a restart. One message in a hundred is submitted twice.
#[test]
fn a_repeated_submission_after_a_restart_is_not_delivered_again() {
    let rest = "[[fault]]\nkind = \"restart\"\nat = \"10 s\"\nhow = \"kill\"\nevery = \"5 s\"\nbatch = 1\n\
                [[fault]]\nkind = \"restart\"\nat = \"25 s\"\nhow = \"term\"\n";
    let report = simulate_without_violations(scenario("40 s", rest), 4);
    let counts = &report.results.counts;
    let repeated = counts["handed in"] - counts["refused"] - counts["unanswered"] - counts["taken on"];
    assert!(repeated > 5, "{repeated} submissions were repeated\n{}", report.text());
}

/// Guards against senders of a starting fleet that learn of drained endpoints only after the grace period.
/// With lists on request the first requests are spread over seconds, which must be detected as a violation.
#[test]
fn a_starting_fleet_learns_of_drained_endpoints_in_time() {
    let fleet = |seed| {
        let drains =
            (1..4).map(|at| format!("[[fault]]\nkind = \"drain\"\nat = \"{at} s\"\nshare = \"20%\"\n"));
        let text = format!(
            "title = \"test\"\nlength = \"7 s\"\nsenders = 100\npartners = 8\ntraffic = \"300/s\"\n\
             list_delay = \"300 ms\"\n{}",
            drains.collect::<String>()
        );
        Plan::new(Scenario::parse("fleet.toml", &text).unwrap(), seed)
    };
    for seed in 1..=2 {
        let verdict = simulate(fleet(seed)).verdict;
        assert!(verdict.violation_counts.is_empty(), "seed {seed}: {:?}", verdict.violation_counts);
    }
    let mut on_request = fleet(1);
    on_request.config_overrides =
        vec![ConfigOverride { pointer: "/settings/discovery".to_owned(), value: "on_request".into() }];
    assert!(simulate(on_request).verdict.violation_counts.contains_key(&Invariant::SentToDraining));
}

/// Guards against violations when a whole fleet restarts while discovery answers only 20 requests per second.
/// With lists on request, a sender that never reaches discovery must be detected.
#[test]
fn a_fleet_restart_with_an_overloaded_discovery_has_no_violations() {
    simulate_shipped("herd-fleet", 1..=1);
    let rest = "discovery = \"on-request\"\ndiscovery_bears = \"20/s\"\n\
                [[fault]]\nkind = \"drain\"\nat = \"5 s\"\nshare = \"50%\"\n";
    let mut misdirected = Plan::new(scenario("30 s", rest), 1);
    misdirected.config_overrides =
        vec![ConfigOverride { pointer: "/discovery".to_owned(), value: "10.9.9.9:1".into() }];
    assert!(simulate(misdirected).verdict.violation_counts.contains_key(&Invariant::SentToDraining));
    simulate_without_violations(scenario("30 s", rest), 1);
}

/// Guards against senders that do not follow a discovery agent to its new address, or compare its revisions
/// with those from before the move: later drains are listed only at the new address.
#[test]
fn senders_follow_a_discovery_agent_that_moves_and_restarts_its_revisions() {
    let rest = "[[fault]]\nkind = \"drain\"\nat = \"4 s\"\nshare = \"30%\"\n\
                [[fault]]\nkind = \"move-discovery\"\nat = \"6 s\"\n\
                [[fault]]\nkind = \"restart\"\nat = \"8 s\"\nhow = \"kill\"\n\
                [[fault]]\nkind = \"drain\"\nat = \"20 s\"\nshare = \"50%\"\n";
    for seed in 1..=3 {
        simulate_without_violations(scenario("35 s", rest), seed);
    }
}

/// Guards against a checker that misses violations. Senders are made faulty by a wrong configuration or an
/// emptied state folder; violations that cannot be caused this way are covered by the checker's unit tests.
#[test]
fn detects_the_violations_of_misconfigured_senders() {
    let errors = "[[fault]]\nkind = \"errors\"\nat = \"5 s\"\nfor = \"10 s\"\ncalls = \"60%\"\n";
    let full = "[[fault]]\nkind = \"full\"\nat = \"5 s\"\nfor = \"20 s\"\ncalls = \"60%\"\n";
    let drain = "[[fault]]\nkind = \"drain\"\nat = \"5 s\"\nshare = \"50%\"\n";
    let restart = "[[fault]]\nkind = \"restart\"\nat = \"8 s\"\nhow = \"kill\"\n";
    let config_override =
        |pointer: &str, value: serde_json::Value| ConfigOverride { pointer: pointer.to_owned(), value };
    let too_many_attempts = || {
        let aims = [0, 1].map(|lane| config_override(&format!("/settings/lanes/{lane}/aim"), 100_000.into()));
        aims.into_iter()
            .chain([config_override("/settings/limits/max_attempts", 50.into())])
            .collect::<Vec<_>>()
    };
    let few_vehicles = format!("vehicles = 3\n{errors}");
    let cases: Vec<(&str, Invariant, Vec<ConfigOverride>, bool)> = vec![
        (
            errors,
            Invariant::Duplicated,
            vec![config_override("/settings/lanes/0/repeat", "retryable".into())],
            false,
        ),
        (
            errors,
            Invariant::Duplicated,
            vec![config_override("/settings/lanes/1/key_ttl", 60_000_000.into())],
            false,
        ),
        (
            &few_vehicles,
            Invariant::OutOfOrder,
            vec![config_override("/settings/lanes/1/fifo_by_key", false.into())],
            false,
        ),
        (full, Invariant::TooManyAttempts, too_many_attempts(), false),
        (drain, Invariant::SentToDraining, vec![config_override("/discovery", "10.9.9.9:1".into())], false),
        (restart, Invariant::Lost, vec![], true),
    ];
    for (rest, invariant, overrides, wipes_state) in cases {
        let is_detected = (1..=3).any(|seed| {
            let mut plan = Plan::new(scenario("30 s", rest), seed);
            (plan.config_overrides, plan.wipes_state_on_restart) = (overrides.clone(), wipes_state);
            simulate(plan).verdict.violation_counts.contains_key(&invariant)
        });
        assert!(is_detected, "{invariant:?} was not found with {overrides:?}");
        // With correctly configured senders the same scenario has no violation.
        simulate_without_violations(scenario("30 s", rest), 1);
    }
}

/// Guards against a Retry-After that is ignored because its answer arrives in the same turn of the event loop
/// in which the call times out. With this seed that happens at 40.596 s.
#[test]
fn applies_a_retry_after_that_arrives_with_the_calls_timeout() {
    replay_found_seed("rolling-release", 1_101_186, 42_000);
}

/// Guards against overloading a recovering destination with one or two calls from each of many senders, whose
/// failed calls were spread over its endpoints so that none was marked as down.
#[test]
fn a_few_calls_from_each_of_many_senders_do_not_overload_a_recovering_destination() {
    replay_found_seed("rolling-release", 1_101_013, 21_000);
    replay_found_seed("rolling-release", 1_101_239, 21_000);
    replay_found_seed("mass-restart", 989_121, 20_500);
    replay_found_seed("building-hangs", 989_099, 21_000);
}

/// Simulates the first `until_ms` milliseconds of a seed that a search once found to violate an invariant,
/// and asserts that all invariants hold.
fn replay_found_seed(name: &str, seed: u64, until_ms: u64) {
    let file =
        shipped_scenarios().into_iter().find(|f| f.file_stem().is_some_and(|stem| stem == name)).unwrap();
    let mut scenario = read_scenario(&file);
    scenario.set_length(Span::millis(60_000));
    let mut plan = Plan::new(scenario, seed);
    plan.add_random_faults();
    plan.truncate(Span::millis(until_ms));
    let report = simulate(plan);
    assert!(report.verdict.all_hold, "{}", report.text());
}
