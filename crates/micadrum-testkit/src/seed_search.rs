//! Searches seeds for one that breaks a rule, and cuts its plan down to what still does.
use crate::invariants::Invariant;
use crate::plan::Plan;
use crate::report::Report;
use crate::sim;
use crate::units::Span;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::ops::RangeInclusive;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Shortest day that is tried.
const SHORTEST: Span = Span::seconds(2);

/// A seed that breaks a rule.
pub struct Failing {
    /// The seed.
    pub seed: u64,
    /// The rules that its full plan breaks, and how often.
    pub broken: BTreeMap<Invariant, usize>,
    /// Places of the faults that are needed, in the plan's order.
    pub faults: Vec<usize>,
    /// Those faults, a line each.
    pub lines: Vec<String>,
    /// The shortest day on which it still breaks one.
    pub length: Span,
    /// What went wrong first in the shortest plan, or why it could not be played.
    pub first: String,
}

/// What a hunt found.
#[derive(Default)]
pub struct Found {
    /// Seeds that were played.
    pub played: u64,
    /// Those that break a rule, by seed.
    pub failing: Vec<Failing>,
}

impl Failing {
    /// What to tell, with the command that plays it again; `options` are those that the hunt had.
    pub fn text(&self, file: &str, options: &str) -> String {
        let mut text = format!("seed {}: {:?}\n", self.seed, self.broken);
        let list = |faults: &[usize]| match faults {
            [] => "none".to_owned(),
            some => some.iter().map(usize::to_string).collect::<Vec<_>>().join(","),
        };
        let _ = writeln!(text, "  replay: micadrum-testkit sim {file}{options} --seed {}", self.seed);
        let _ = writeln!(
            text,
            "  shortest: micadrum-testkit sim {file}{options} --seed {} --faults {} --until \"{}\"",
            self.seed,
            list(&self.faults),
            self.length
        );
        for line in &self.lines {
            let _ = writeln!(text, "    {line}");
        }
        let _ = write!(text, "  first: {}", self.first);
        text
    }
}

fn broke(plan: Plan) -> Option<Result<Report, String>> {
    match sim::run(plan, sim::Show::default()) {
        Ok(report) if report.verdict.kept => None,
        Ok(report) => Some(Ok(report)),
        Err(e) => Some(Err(e.to_string())),
    }
}

/// Plays all seeds, `jobs` at once. Each run is on a thread of its own and depends on nothing but its seed.
pub fn run(
    seeds: RangeInclusive<u64>,
    jobs: usize,
    plan: &(dyn Fn(u64) -> Plan + Sync),
    progress: &(dyn Fn(u64, usize) + Sync),
) -> Found {
    let (next, end) = (AtomicU64::new(*seeds.start()), *seeds.end());
    let found = Mutex::new(Found::default());
    std::thread::scope(|threads| {
        for _ in 0..jobs {
            threads.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > end {
                        return;
                    }
                    let failing = broke(plan(seed)).map(|how| shrink(seed, plan, how));
                    let mut found = found.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    found.played += 1;
                    found.failing.extend(failing);
                    progress(found.played, found.failing.len());
                }
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    found.failing.sort_by_key(|one| one.seed);
    found
}

/// Leaves out one fault after another, and then the end of the day, as long as a rule still breaks.
fn shrink(seed: u64, plan: &dyn Fn(u64) -> Plan, whole: Result<Report, String>) -> Failing {
    let with = |faults: &[usize], length: Span| {
        let mut smaller = plan(seed);
        smaller.keep_faults(faults);
        smaller.cut(length);
        smaller
    };
    let mut length = plan(seed).length();
    let mut faults: Vec<usize> = (0..plan(seed).faults.len()).collect();
    let broken = whole.as_ref().map(|report| report.verdict.broken.clone()).unwrap_or_default();
    let mut last = whole;
    let mut place = 0;
    while place < faults.len() {
        let mut fewer = faults.clone();
        fewer.remove(place);
        match broke(with(&fewer, length)) {
            Some(how) => (faults, last) = (fewer, how),
            None => place += 1,
        }
    }
    loop {
        let shorter = Span(length.0 * 3 / 4 / 1_000_000 * 1_000_000);
        if shorter < SHORTEST {
            break;
        }
        let Some(how) = broke(with(&faults, shorter)) else { break };
        (length, last) = (shorter, how);
    }
    let first = match &last {
        Ok(report) => report.played.breaks.first().map_or(String::new(), |b| {
            format!("{:?}, message {}: {}", b.rule, b.id.as_deref().unwrap_or("-"), b.what)
        }),
        Err(e) => e.clone(),
    };
    let lines = with(&faults, length).faults.iter().map(|fault| fault.line()).collect();
    Failing { seed, broken, faults, lines, length, first }
}
