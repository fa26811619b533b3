//! Searches seeds for runs that violate an invariant, and shrinks the plan of each failing run.
use crate::invariants::Invariant;
use crate::plan::Plan;
use crate::report::Report;
use crate::sim;
use crate::units::Span;
use std::collections::BTreeMap;
use std::io;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Minimum length of a shrunk run.
const MIN_LENGTH: Span = Span::seconds(2);
/// Lengths are rounded down to a multiple of this, in microseconds.
const LENGTH_STEP_MICROS: u64 = 1_000_000;

/// A seed whose run violates an invariant.
pub struct FailingSeed {
    /// The seed that reproduces the violation.
    pub seed: u64,
    /// The invariants that the full plan violates, with the number of violations.
    pub violation_counts: BTreeMap<Invariant, usize>,
    /// Indices in the full plan of the faults that the shrunk plan keeps.
    pub faults: Vec<usize>,
    /// Descriptions of those faults.
    pub fault_descriptions: Vec<String>,
    /// Length of the shrunk plan.
    pub length: Span,
    /// The first violation of the shrunk plan, or why it could not be run.
    pub first_failure: String,
}

/// The failing seeds that a search found.
#[derive(Default)]
pub struct SearchResult {
    /// Number of seeds that were run.
    pub seeds_run: u64,
    /// The seeds that violate an invariant, in ascending order.
    pub failing: Vec<FailingSeed>,
}

impl FailingSeed {
    /// Describes the failure, with the commands that replay it; `options` are those of the search.
    pub fn text(&self, file: &str, options: &str) -> String {
        let command = format!("micadrum-testkit simulate {file}{options} --seed {}", self.seed);
        let mut lines = vec![
            format!("seed {}: {:?}", self.seed, self.violation_counts),
            format!("  replay: {command}"),
            format!("  shortest: {command} --faults {} --until \"{}\"", self.fault_selection(), self.length),
        ];
        lines.extend(self.fault_descriptions.iter().map(|fault| format!("    {fault}")));
        lines.push(format!("  first failure: {}", self.first_failure));
        lines.join("\n")
    }

    /// Returns the value of `--faults` that selects the faults of the shrunk plan.
    fn fault_selection(&self) -> String {
        if self.faults.is_empty() {
            return "none".to_owned();
        }
        self.faults.iter().map(usize::to_string).collect::<Vec<_>>().join(",")
    }
}

/// Why a run failed.
enum Failure {
    /// An invariant was violated.
    Violation(Box<Report>),
    /// The run could not be carried out.
    Run(io::Error),
}

impl Failure {
    fn violation_counts(&self) -> BTreeMap<Invariant, usize> {
        match self {
            Self::Violation(report) => report.verdict.violation_counts.clone(),
            Self::Run(_) => BTreeMap::new(),
        }
    }

    /// Describes the first violation, or why the run could not be carried out.
    fn description(&self) -> String {
        match self {
            Self::Violation(report) => report.results.violations.first().map_or(String::new(), |violation| {
                let message = violation.id.as_deref().unwrap_or("-");
                format!("{:?}, message {message}: {}", violation.invariant, violation.description)
            }),
            Self::Run(error) => error.to_string(),
        }
    }
}

/// Runs all seeds, `jobs` at a time, and calls `progress` after each with the numbers of seeds run and
/// failing so far. Each run stays on one thread and depends only on its seed.
pub fn run(
    seeds: RangeInclusive<u64>,
    jobs: usize,
    plan: &(dyn Fn(u64) -> Plan + Sync),
    progress: &(dyn Fn(u64, usize) + Sync),
) -> SearchResult {
    let (next, last) = (AtomicU64::new(*seeds.start()), *seeds.end());
    let found = Mutex::new(SearchResult::default());
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > last {
                return;
            }
            let failing = simulate(plan(seed)).map(|failure| shrink(seed, plan, failure));
            let mut found = found.lock().unwrap_or_else(PoisonError::into_inner);
            found.seeds_run += 1;
            found.failing.extend(failing);
            progress(found.seeds_run, found.failing.len());
        }
    };
    std::thread::scope(|threads| {
        for _ in 0..jobs {
            threads.spawn(work);
        }
    });
    let mut found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    found.failing.sort_by_key(|failing| failing.seed);
    found
}

/// Simulates a plan. Returns the failure, or `None` if all invariants hold.
fn simulate(plan: Plan) -> Option<Failure> {
    match sim::run(plan, sim::OutputOptions::default()) {
        Ok(report) if report.verdict.all_hold => None,
        Ok(report) => Some(Failure::Violation(Box::new(report))),
        Err(error) => Some(Failure::Run(error)),
    }
}

/// Shrinks the plan of a failing seed: removes each fault without which the run still fails, then shortens
/// the run as long as it still fails.
fn shrink(seed: u64, plan: &dyn Fn(u64) -> Plan, failure: Failure) -> FailingSeed {
    let violation_counts = failure.violation_counts();
    let full_plan = plan(seed);
    let mut shrinking = Shrinking {
        seed,
        plan,
        faults: (0..full_plan.faults.len()).collect(),
        length: full_plan.length(),
        failure,
    };
    shrinking.remove_faults();
    shrinking.shorten();
    let faults = shrinking.shrunk_plan(&shrinking.faults, shrinking.length).faults;
    FailingSeed {
        seed,
        violation_counts,
        fault_descriptions: faults.iter().map(|fault| fault.describe()).collect(),
        first_failure: shrinking.failure.description(),
        faults: shrinking.faults,
        length: shrinking.length,
    }
}

/// The smallest failing plan so far.
struct Shrinking<'a> {
    seed: u64,
    plan: &'a dyn Fn(u64) -> Plan,
    /// Indices of the faults that the plan keeps.
    faults: Vec<usize>,
    length: Span,
    /// How the plan with these faults and this length fails.
    failure: Failure,
}

impl Shrinking<'_> {
    fn shrunk_plan(&self, faults: &[usize], length: Span) -> Plan {
        let mut plan = (self.plan)(self.seed);
        plan.retain_faults(faults);
        plan.truncate(length);
        plan
    }

    fn remove_faults(&mut self) {
        let mut index = 0;
        while index < self.faults.len() {
            let mut fewer = self.faults.clone();
            fewer.remove(index);
            match simulate(self.shrunk_plan(&fewer, self.length)) {
                Some(failure) => (self.faults, self.failure) = (fewer, failure),
                None => index += 1,
            }
        }
    }

    fn shorten(&mut self) {
        loop {
            let shorter = Span(self.length.0 * 3 / 4 / LENGTH_STEP_MICROS * LENGTH_STEP_MICROS);
            if shorter < MIN_LENGTH {
                return;
            }
            let Some(failure) = simulate(self.shrunk_plan(&self.faults, shorter)) else { return };
            (self.length, self.failure) = (shorter, failure);
        }
    }
}
