//! `micadrum-testkit`: runs a scenario against the daemon, simulated or live, and checks the invariants of
//! message delivery.
mod cli;

use clap::Parser;
use cli::{Command, CommandLine, LiveArgs, RandomFaults, RunArgs, SearchArgs, SimulateArgs, SoakArgs};
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::{Scenario, ScenarioError};
use micadrum_testkit::trace_aggregate::{TraceAggregate, TraceError};
use micadrum_testkit::units::Span;
use micadrum_testkit::{live, seed_search, sim, soak};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Minimum length of a run that prints its progress by default.
const MIN_PROGRESS_LENGTH: Span = Span::seconds(3600);
/// Number of seeds between two progress lines of a seed search.
const SEEDS_PER_PROGRESS_LINE: u64 = 50;

const EXIT_VIOLATION: u8 = 1;
const EXIT_INVALID_INPUT: u8 = 2;
const EXIT_RUN_FAILED: u8 = 3;

/// Why a command returned no verdict.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// An input file or directory cannot be read.
    #[error("{path}: {source}")]
    Unreadable { path: String, source: std::io::Error },
    /// A scenario file is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A line of a log is invalid.
    #[error("{path}:{line}: {source}")]
    Trace { path: String, line: usize, source: TraceError },
    /// The run could not be carried out.
    #[error("micadrum-testkit: {0}")]
    Run(#[from] std::io::Error),
    /// A report cannot be written.
    #[error("micadrum-testkit: {path}: {source}")]
    Unwritable { path: String, source: std::io::Error },
}

impl CommandError {
    fn unreadable(path: &Path, source: std::io::Error) -> Self {
        Self::Unreadable { path: path.display().to_string(), source }
    }

    fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Unreadable { .. } | Self::Scenario(_) | Self::Trace { .. } => EXIT_INVALID_INPUT,
            Self::Run(_) | Self::Unwritable { .. } => EXIT_RUN_FAILED,
        })
    }
}

fn main() -> ExitCode {
    // An invalid command line ends the process here, with exit code 2.
    run(CommandLine::parse().command).unwrap_or_else(|error| {
        eprintln!("{error}");
        error.exit_code()
    })
}

fn run(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Simulate(args) => simulate(args),
        Command::Live(args) => run_live(args),
        Command::Search(args) => search(&args),
        Command::Soak(args) => run_soak(&args),
        Command::Aggregate { logs } => {
            print!("{}", aggregate(&logs)?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { scenarios } => Ok(check(&scenarios)),
    }
}

fn simulate(args: SimulateArgs) -> Result<ExitCode, CommandError> {
    let plan = args.run.plan(&read_scenario(&args.run.scenario.file)?);
    let progress = args.progress || plan.length() >= MIN_PROGRESS_LENGTH;
    let report = sim::run(plan, sim::OutputOptions { logs: args.logs, progress })?;
    publish(&report, args.run)
}

fn run_live(args: LiveArgs) -> Result<ExitCode, CommandError> {
    let plan = args.run.plan(&read_scenario(&args.run.scenario.file)?);
    let report = live::run(plan, args.daemon)?;
    publish(&report, args.run)
}

fn search(args: &SearchArgs) -> Result<ExitCode, CommandError> {
    let scenario = read_scenario(&args.scenario.file)?;
    let cores = || std::thread::available_parallelism().map_or(1, usize::from);
    let jobs = args.jobs.map_or_else(cores, usize::from);
    let plan = |seed| args.scenario.plan(&scenario, seed, args.random_faults());
    let found = seed_search::run(args.seeds.clone(), jobs, &plan, &print_search_progress);
    let options = args.replay_options();
    for failing in &found.failing {
        println!("{}", failing.text(&args.scenario.file, &options));
    }
    println!("{} seeds played, {} broke a rule", found.seeds_run, found.failing.len());
    Ok(verdict_exit_code(found.failing.is_empty()))
}

fn run_soak(args: &SoakArgs) -> Result<ExitCode, CommandError> {
    let scenario = read_scenario(&args.scenario.file)?;
    let has_random = !args.planned;
    let (requests, discovery) = (args.request_faults, args.discovery_faults);
    let faults = RandomFaults {
        world: false,
        peers: false,
        system: has_random,
        answers: has_random,
        requests,
        discovery,
    };
    let plan = |seed| args.scenario.plan(&scenario, seed, faults);
    let finished = |run: &soak::SoakRun| {
        println!("{}", run.line());
        if let (false, Some(folder), Ok(report)) = (run.succeeded(), &args.reports, &run.outcome) {
            let file = folder.join(format!("seed-{}.txt", run.seed));
            if let Err(error) = write_file(file, report.text()) {
                eprintln!("{error}");
            }
        }
    };
    let summary =
        soak::run(args.seeds.clone(), usize::from(args.jobs), args.daemon.as_ref(), &plan, &finished);
    println!(
        "{} seeds run, {} failed {:?}; injected {:?}",
        summary.seeds_run,
        summary.failing.len(),
        summary.failing,
        summary.injected
    );
    Ok(verdict_exit_code(summary.failing.is_empty()))
}

fn print_search_progress(seeds: u64, failing: usize) {
    if seeds.is_multiple_of(SEEDS_PER_PROGRESS_LINE) {
        eprintln!("{seeds} seeds run, {failing} failed");
    }
}

fn aggregate(logs: &Path) -> Result<TraceAggregate, CommandError> {
    let mut aggregate = TraceAggregate::default();
    for entry in std::fs::read_dir(logs).map_err(|error| CommandError::unreadable(logs, error))? {
        let path = entry.map_err(|error| CommandError::unreadable(logs, error))?.path();
        if path.is_file() {
            aggregate_log(&path, &mut aggregate)?;
        }
    }
    Ok(aggregate)
}

fn aggregate_log(path: &Path, aggregate: &mut TraceAggregate) -> Result<(), CommandError> {
    let unreadable = |error| CommandError::unreadable(path, error);
    let log = std::fs::File::open(path).map_err(unreadable)?;
    for (index, line) in BufReader::new(log).lines().enumerate() {
        let line = line.map_err(unreadable)?;
        aggregate.add(&line).map_err(|source| CommandError::Trace {
            path: path.display().to_string(),
            line: index + 1,
            source,
        })?;
    }
    Ok(())
}

fn check(files: &[String]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match read_scenario(file) {
            Ok(scenario) => println!("{file}: valid: {}", scenario.title),
            Err(error) => {
                eprintln!("{error}");
                code = ExitCode::from(EXIT_INVALID_INPUT);
            }
        }
    }
    code
}

fn read_scenario(file: &str) -> Result<Scenario, CommandError> {
    let text =
        std::fs::read_to_string(file).map_err(|error| CommandError::unreadable(file.as_ref(), error))?;
    Ok(Scenario::parse(file, &text)?)
}

/// Prints the report, and writes the files that the options name.
fn publish(report: &Report, args: RunArgs) -> Result<ExitCode, CommandError> {
    print!("{}", report.text());
    if let Some(file) = args.json {
        write_file(file, report.json())?;
    }
    if let Some(file) = args.history {
        write_file(file, report.history.text())?;
    }
    Ok(verdict_exit_code(report.verdict.all_hold))
}

fn write_file(file: PathBuf, text: String) -> Result<(), CommandError> {
    let path = file.display().to_string();
    std::fs::write(file, text).map_err(|source| CommandError::Unwritable { path, source })
}

fn verdict_exit_code(all_hold: bool) -> ExitCode {
    if all_hold { ExitCode::SUCCESS } else { ExitCode::from(EXIT_VIOLATION) }
}
