//! Plays live runs of many seeds, several at a time, with real processes, and gathers the verdicts.
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
    /// The seed.
    pub seed: u64,
    /// The report, or why the run could not be carried out.
    pub outcome: io::Result<Report>,
}

impl SoakRun {
    /// Whether the run was carried out and all invariants hold.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.outcome.as_ref().is_ok_and(|report| report.verdict.kept)
    }

    /// Describes the run in one line.
    #[must_use]
    pub fn line(&self) -> String {
        match &self.outcome {
            Err(error) => format!("seed {}: not carried out: {error}", self.seed),
            Ok(Report { verdict, played, .. }) => format!(
                "seed {}: {} service {:.4}, broken {:?}, injected {:?}",
                self.seed,
                if verdict.kept { "kept" } else { "BROKEN" },
                played.service,
                verdict.broken,
                played.injected
            ),
        }
    }
}

/// What all runs of a soak add up to.
#[derive(Default)]
pub struct SoakSummary {
    /// Number of seeds that were run.
    pub played: u64,
    /// The seeds whose run violates an invariant or could not be carried out.
    pub failing: Vec<u64>,
    /// How many system calls were made to fail, by kind.
    pub injected: BTreeMap<&'static str, u64>,
}

impl SoakSummary {
    fn add(&mut self, run: &SoakRun) {
        self.played += 1;
        if !run.is_kept() {
            self.failing.push(run.seed);
        }
        if let Ok(report) = &run.outcome {
            for (kind, count) in &report.played.injected {
                *self.injected.entry(kind).or_default() += count;
            }
        }
    }
}

/// Plays all seeds, `jobs` at a time, and passes each run to `finished`.
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
