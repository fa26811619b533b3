//! `micadrum-testkit`: plays a scenario against the daemon, simulated or live, and judges the six rules.
use clap::{Args, Parser, Subcommand};
use micadrum_testkit::plan::Plan;
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::Scenario;
use micadrum_testkit::trace_aggregate::Count;
use micadrum_testkit::units::Span;
use micadrum_testkit::{live, seed_search, sim};
use std::io::{BufRead, BufReader};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Plays a scenario against the daemon, simulated or live, and judges the six rules.
///
/// Exit: 0 no rule broke, 1 a rule broke, 2 the command or a file is wrong, 3 the run could not be made.
#[derive(Parser)]
#[command(name = "micadrum-testkit", version)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// In simulated time
    Sim {
        #[command(flatten)]
        day: Day,
        /// What chance follows
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Adds faults drawn from the seed
        #[arg(long)]
        random_faults: bool,
        /// Adds faults of senders and of what they say to each other, drawn from the seed
        #[arg(long)]
        peer_faults: bool,
        /// Writes the report for machines too
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Writes what the senders recorded of each other, a line a record
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
        /// Shows the senders' logs
        #[arg(long)]
        logs: bool,
        /// A line each simulated ten minutes; long days tell anyway
        #[arg(long)]
        progress: bool,
    },
    /// The built daemon on loopback, in real time
    Live {
        #[command(flatten)]
        day: Day,
        /// What chance follows
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Adds faults drawn from the seed
        #[arg(long)]
        random_faults: bool,
        /// Adds faults of senders and of what they say to each other, drawn from the seed
        #[arg(long)]
        peer_faults: bool,
        /// Writes the report for machines too
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Writes what the senders recorded of each other, a line a record
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
        /// The daemon's binary; the one beside this if not given
        #[arg(long, value_name = "PATH")]
        daemon: Option<PathBuf>,
    },
    /// Many seeds, each with faults of its own
    Hunt {
        #[command(flatten)]
        day: Day,
        /// The seeds, both ends included
        #[arg(long, value_name = "A..B", value_parser = range)]
        seeds: RangeInclusive<u64>,
        /// Faults of senders and of what they say to each other, in place of the others
        #[arg(long)]
        peer_faults: bool,
        /// No drawn faults: the scenario's own, as each seed plays them
        #[arg(long, conflicts_with = "peer_faults")]
        planned: bool,
        /// Runs at once; the machine's cores if not given
        #[arg(long, value_name = "N", value_parser = clap::value_parser!(u16).range(1..))]
        jobs: Option<u16>,
    },
    /// Adds up the logs of daemons that ran with MICADRUM_TRACE=calls, by destination and second
    Count {
        /// A folder of logs, one a sender
        logs: PathBuf,
    },
    /// Reads the files and nothing more
    Check {
        /// The scenarios
        #[arg(required = true)]
        scenarios: Vec<String>,
    },
}

/// Which day is played.
#[derive(Args)]
struct Day {
    /// The file
    scenario: String,
    /// Plays only these of the plan's faults, by number from 0, or "none" of them
    #[arg(long, value_name = "0,2,5", value_parser = faults)]
    faults: Option<Faults>,
    /// Another length of the day, such as "60 s"; random faults are drawn for it
    #[arg(long, value_parser = Span::parse)]
    length: Option<Span>,
    /// Ends the day sooner than planned, with all else as it was
    #[arg(long, value_name = "LENGTH", value_parser = Span::parse)]
    until: Option<Span>,
}

/// Places of faults in a plan.
#[derive(Clone)]
struct Faults(Vec<usize>);

fn faults(text: &str) -> Result<Faults, String> {
    let places = text.split(',').filter(|place| *place != "none");
    let number = |place: &str| place.parse().map_err(|_| format!("{place:?} is no number of a fault"));
    places.map(number).collect::<Result<_, _>>().map(Faults)
}

fn range(text: &str) -> Result<RangeInclusive<u64>, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is no number"));
    let (from, to) = text.split_once("..").ok_or("no range, such as 1..500")?;
    let (from, to) = (number(from)?, number(to)?);
    if from > to { Err(format!("{from} comes after {to}")) } else { Ok(from..=to) }
}

/// A day as long as this tells how far it is without being asked.
const LONG: Span = Span::seconds(3600);

/// Which faults are drawn from the seed.
#[derive(Clone, Copy)]
struct Random {
    faults: bool,
    peers: bool,
}

/// Why nothing was judged.
enum Wrong {
    /// The command or a file.
    Asked(String),
    /// The run could not be made.
    Run(String),
}

fn scenario(file: &str) -> Result<Scenario, Wrong> {
    let text = std::fs::read_to_string(file).map_err(|e| Wrong::Asked(format!("{file}: {e}")))?;
    Scenario::parse(file, &text).map_err(|e| Wrong::Asked(e.to_string()))
}

impl Day {
    fn plan(&self, scenario: &Scenario, seed: u64, random: Random) -> Plan {
        let mut scenario = scenario.clone();
        if let Some(length) = self.length {
            scenario.set_length(length);
        }
        let mut plan = Plan::new(scenario, seed);
        if random.faults {
            plan.add_random_faults();
        }
        if random.peers {
            plan.add_peer_faults();
        }
        if let Some(Faults(only)) = &self.faults {
            plan.keep_faults(only);
        }
        if let Some(until) = self.until {
            plan.cut(until);
        }
        plan
    }
}

fn finish(report: &Report, json: Option<PathBuf>, history: Option<PathBuf>) -> Result<ExitCode, Wrong> {
    print!("{}", report.text());
    let write = |file: Option<PathBuf>, text: &dyn Fn() -> String| match file {
        Some(file) => {
            std::fs::write(&file, text()).map_err(|e| Wrong::Run(format!("{}: {e}", file.display())))
        }
        None => Ok(()),
    };
    write(json, &|| report.json())?;
    write(history, &|| report.history.text())?;
    Ok(if report.verdict.kept { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn check(files: &[String]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match scenario(file) {
            Ok(scenario) => println!("{file}: fine: {}", scenario.title),
            Err(Wrong::Asked(e) | Wrong::Run(e)) => {
                eprintln!("{e}");
                code = ExitCode::from(2);
            }
        }
    }
    code
}

fn count(logs: &Path) -> Result<Count, Wrong> {
    let unreadable = |path: &Path, e: std::io::Error| Wrong::Asked(format!("{}: {e}", path.display()));
    let mut count = Count::default();
    for entry in std::fs::read_dir(logs).map_err(|e| unreadable(logs, e))? {
        let path = entry.map_err(|e| unreadable(logs, e))?.path();
        if !path.is_file() {
            continue;
        }
        let log = std::fs::File::open(&path).map_err(|e| unreadable(&path, e))?;
        for (number, line) in BufReader::new(log).lines().enumerate() {
            let line = line.map_err(|e| unreadable(&path, e))?;
            let place = || format!("{}:{}", path.display(), number + 1);
            count.add(&line).map_err(|e| Wrong::Asked(format!("{}: {e}", place())))?;
        }
    }
    Ok(count)
}

fn run(what: What) -> Result<ExitCode, Wrong> {
    let failed = |e: std::io::Error| Wrong::Run(e.to_string());
    match what {
        What::Count { logs } => {
            print!("{}", count(&logs)?);
            Ok(ExitCode::SUCCESS)
        }
        What::Check { scenarios } => Ok(check(&scenarios)),
        What::Sim { day, seed, random_faults, peer_faults, json, history, logs, progress } => {
            let random = Random { faults: random_faults, peers: peer_faults };
            let plan = day.plan(&scenario(&day.scenario)?, seed, random);
            let progress = progress || plan.length() >= LONG;
            finish(&sim::run(plan, sim::Show { logs, progress }).map_err(failed)?, json, history)
        }
        What::Live { day, seed, random_faults, peer_faults, json, history, daemon } => {
            let random = Random { faults: random_faults, peers: peer_faults };
            let plan = day.plan(&scenario(&day.scenario)?, seed, random);
            finish(&live::run(plan, daemon).map_err(failed)?, json, history)
        }
        What::Hunt { day, seeds, peer_faults, planned, jobs } => {
            let scenario = scenario(&day.scenario)?;
            let cores = || std::thread::available_parallelism().map_or(1, usize::from);
            let random = Random { faults: !peer_faults && !planned, peers: peer_faults };
            let plan = |seed| day.plan(&scenario, seed, random);
            let found =
                seed_search::run(seeds, jobs.map_or_else(cores, usize::from), &plan, &|done, found| {
                    if done % 50 == 0 {
                        eprintln!("{done} seeds, {found} that break a rule");
                    }
                });
            let length = day.length.map_or(String::new(), |length| format!(" --length \"{length}\""));
            let drawn = match (planned, peer_faults) {
                (true, _) => "",
                (_, true) => " --peer-faults",
                _ => " --random-faults",
            };
            let options = format!("{length}{drawn}");
            for one in &found.failing {
                println!("{}", one.text(&day.scenario, &options));
            }
            println!("{} seeds played, {} broke a rule", found.played, found.failing.len());
            Ok(if found.failing.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
        }
    }
}

fn main() -> ExitCode {
    // A wrong command ends here, with 2.
    match run(Command::parse().what) {
        Ok(code) => code,
        Err(Wrong::Asked(what)) => {
            eprintln!("{what}");
            ExitCode::from(2)
        }
        Err(Wrong::Run(what)) => {
            eprintln!("micadrum-testkit: {what}");
            ExitCode::from(3)
        }
    }
}
