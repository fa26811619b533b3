//! Searches seeds for runs that violate an invariant, and shrinks the plan of each one found.
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

/// Shrinking does not make a run shorter than this.
const MIN_LENGTH: Span = Span::seconds(2);
/// Lengths are rounded down to a multiple of this, in microseconds.
const LENGTH_STEP_MICROS: u64 = 1_000_000;

/// A seed whose run violates an invariant.
pub struct FailingSeed {
    /// The seed.
    pub seed: u64,
    /// The invariants that the full plan violates, with the number of violations.
    pub broken: BTreeMap<Invariant, usize>,
    /// Indices of the faults of the shrunk plan in the full one.
    pub faults: Vec<usize>,
    /// Descriptions of those faults.
    pub lines: Vec<String>,
    /// Length of the shrunk plan.
    pub length: Span,
    /// The first violation of the shrunk plan, or why it could not be run.
    pub first: String,
}

/// The result of a search.
#[derive(Default)]
pub struct SearchResult {
    /// Number of seeds that were run.
    pub played: u64,
    /// The seeds that violate an invariant, in ascending order.
    pub failing: Vec<FailingSeed>,
}

impl FailingSeed {
    /// Describes the failure, with the commands that replay it; `options` are those of the search.
    pub fn text(&self, file: &str, options: &str) -> String {
        let command = format!("micadrum-testkit simulate {file}{options} --seed {}", self.seed);
        let mut lines = vec![
            format!("seed {}: {:?}", self.seed, self.broken),
            format!("  replay: {command}"),
            format!("  shortest: {command} --faults {} --until \"{}\"", self.fault_selection(), self.length),
        ];
        lines.extend(self.lines.iter().map(|fault| format!("    {fault}")));
        lines.push(format!("  first: {}", self.first));
        lines.join("\n")
    }

    /// Returns the value of the option `--faults` that selects the faults of the shrunk plan.
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
            Self::Violation(report) => report.verdict.broken.clone(),
            Self::Run(_) => BTreeMap::new(),
        }
    }

    /// Describes the first violation, or why the run could not be carried out.
    fn description(&self) -> String {
        match self {
            Self::Violation(report) => report.played.breaks.first().map_or(String::new(), |violation| {
                let message = violation.id.as_deref().unwrap_or("-");
                format!("{:?}, message {message}: {}", violation.rule, violation.what)
            }),
            Self::Run(error) => error.to_string(),
        }
    }
}

/// Runs all seeds, `jobs` at a time. Each run has a thread of its own and depends on nothing but its seed.
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
            found.played += 1;
            found.failing.extend(failing);
            progress(found.played, found.failing.len());
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

/// Runs a plan, and returns the failure if there is one.
fn simulate(plan: Plan) -> Option<Failure> {
    match sim::run(plan, sim::OutputOptions::default()) {
        Ok(report) if report.verdict.kept => None,
        Ok(report) => Some(Failure::Violation(Box::new(report))),
        Err(error) => Some(Failure::Run(error)),
    }
}

/// Shrinks the plan of a failing seed: removes one fault after another, and then shortens the run, as long as the run
/// still fails.
fn shrink(seed: u64, plan: &dyn Fn(u64) -> Plan, failure: Failure) -> FailingSeed {
    let broken = failure.violation_counts();
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
    let lines = shrinking.shrunk_plan(&shrinking.faults, shrinking.length).faults;
    FailingSeed {
        seed,
        broken,
        lines: lines.iter().map(|fault| fault.describe()).collect(),
        first: shrinking.failure.description(),
        faults: shrinking.faults,
        length: shrinking.length,
    }
}

/// The smallest failing plan so far.
struct Shrinking<'a> {
    seed: u64,
    plan: &'a dyn Fn(u64) -> Plan,
    /// Indices of the faults that are left.
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
