//! Runs many seeds against real processes, several at a time, and collects the verdicts.
use crate::live;
use crate::plan::Plan;
use crate::report::Report;
use std::collections::BTreeMap;
use std::io;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// The run of one seed.
pub struct SoakRun {
    /// The seed that the plan is drawn from.
    pub seed: u64,
    /// The report, or why the run could not be carried out.
    pub outcome: io::Result<Report>,
}

impl SoakRun {
    /// Returns whether the run was carried out and all invariants hold.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        self.outcome.as_ref().is_ok_and(|report| report.verdict.all_hold)
    }

    /// Describes the run in one line.
    #[must_use]
    pub fn line(&self) -> String {
        match &self.outcome {
            Err(error) => format!("seed {}: run failed: {error}", self.seed),
            Ok(Report { verdict, results, .. }) => format!(
                "seed {}: {}, service {:.4}, violations {:?}, injected {:?}",
                self.seed,
                if verdict.all_hold { "passed" } else { "FAILED" },
                results.service,
                verdict.violation_counts,
                results.injected
            ),
        }
    }
}

/// The results of all runs of a soak, summed up.
#[derive(Default)]
pub struct SoakSummary {
    /// Number of seeds that were run.
    pub seeds_run: u64,
    /// The seeds whose run violates an invariant or could not be carried out.
    pub failing: Vec<u64>,
    /// Number of system calls that were made to fail, by kind.
    pub injected: BTreeMap<&'static str, u64>,
}

impl SoakSummary {
    fn add(&mut self, run: &SoakRun) {
        self.seeds_run += 1;
        if !run.succeeded() {
            self.failing.push(run.seed);
        }
        if let Ok(report) = &run.outcome {
            for (kind, count) in &report.results.injected {
                *self.injected.entry(kind).or_default() += count;
            }
        }
    }
}

/// Runs all seeds, `jobs` at a time, and passes each run to `finished` as soon as it ends.
pub fn run(
    seeds: RangeInclusive<u64>,
    jobs: usize,
    daemon: Option<&PathBuf>,
    plan: &(dyn Fn(u64) -> Plan + Sync),
    finished: &(dyn Fn(&SoakRun) + Sync),
) -> SoakSummary {
    let (next, last) = (AtomicU64::new(*seeds.start()), *seeds.end());
    let summary = Mutex::new(SoakSummary::default());
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > last {
                return;
            }
            let run = SoakRun { seed, outcome: live::run(plan(seed), daemon.cloned()) };
            summary.lock().unwrap_or_else(PoisonError::into_inner).add(&run);
            finished(&run);
        }
    };
    std::thread::scope(|threads| {
        for _ in 0..jobs {
            threads.spawn(work);
        }
    });
    summary.into_inner().unwrap_or_else(PoisonError::into_inner)
}
