//! Command line of `micadrum-testkit`: subcommands, options and their parsers.
use clap::{Args, Parser, Subcommand};
use micadrum_testkit::plan::Plan;
use micadrum_testkit::scenario::Scenario;
use micadrum_testkit::units::Span;
use std::num::ParseIntError;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;

/// Runs a scenario against the daemon, simulated or live, and checks the invariants of message delivery.
///
/// Exit code: 0 if all invariants hold, 1 if an invariant is violated, 2 if the command line or an input file
/// is invalid, 3 if the run could not be carried out.
#[derive(Parser)]
#[command(name = "micadrum-testkit", version)]
pub struct CommandLine {
    /// The subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands; each alias is the subcommand's former name.
#[derive(Subcommand)]
pub enum Command {
    /// Run a scenario in simulated time
    #[command(alias = "sim")]
    Simulate(SimulateArgs),
    /// Run a scenario against the built daemon on loopback, in real time
    Live(LiveArgs),
    /// Simulate a scenario with many seeds, each with its own random faults
    #[command(alias = "hunt")]
    Search(SearchArgs),
    /// Run a scenario live with many seeds, each with random faults of the senders' system calls, clocks and
    /// folders
    Soak(SoakArgs),
    /// Sum up by destination and second the logs of daemons that ran with MICADRUM_TRACE=calls
    #[command(alias = "count")]
    Aggregate {
        /// Directory of logs, one per sender
        logs: PathBuf,
    },
    /// Validate scenario files without running them
    Check {
        /// The scenario files
        #[arg(required = true)]
        scenarios: Vec<String>,
    },
}

/// Arguments of `simulate`.
#[derive(Args)]
pub struct SimulateArgs {
    /// Options shared with `live`.
    #[command(flatten)]
    pub run: RunArgs,
    /// Print the senders' logs
    #[arg(long)]
    pub logs: bool,
    /// Print a line every ten simulated minutes; the default for runs of an hour or more
    #[arg(long)]
    pub progress: bool,
}

/// Arguments of `live`.
#[derive(Args)]
pub struct LiveArgs {
    /// Options shared with `simulate`.
    #[command(flatten)]
    pub run: RunArgs,
    /// The daemon's binary [default: the one in this binary's directory]
    #[arg(long, value_name = "PATH")]
    pub daemon: Option<PathBuf>,
}

/// Arguments of `search`.
#[derive(Args)]
pub struct SearchArgs {
    /// The scenario to run.
    #[command(flatten)]
    pub scenario: ScenarioArgs,
    /// The seeds to run, both ends included
    #[arg(long, value_name = "A..B", value_parser = parse_seed_range)]
    pub seeds: RangeInclusive<u64>,
    /// Add random faults of senders and of the links between them, in place of the other random faults
    #[arg(long)]
    pub peer_faults: bool,
    /// Add random faults of the senders' clocks and folders
    #[arg(long)]
    pub system_faults: bool,
    /// Add random faults of endpoints and agents that answer more than once
    #[arg(long)]
    pub answer_faults: bool,
    /// Add random requests in two pieces, and ends of processes while they arrive
    #[arg(long)]
    pub request_faults: bool,
    /// Add agents that answer late, and endpoints that change their address or id
    #[arg(long)]
    pub discovery_faults: bool,
    /// Add no random faults; inject only those of the scenario
    #[arg(long, conflicts_with = "peer_faults")]
    pub planned: bool,
    /// Number of concurrent runs [default: the number of CPU cores]
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u16).range(1..))]
    pub jobs: Option<u16>,
}

/// Arguments of `soak`.
#[derive(Args)]
pub struct SoakArgs {
    /// The scenario to run.
    #[command(flatten)]
    pub scenario: ScenarioArgs,
    /// The seeds to run, both ends included
    #[arg(long, value_name = "A..B", value_parser = parse_seed_range)]
    pub seeds: RangeInclusive<u64>,
    /// Add random requests in two pieces, and ends of processes while they arrive
    #[arg(long)]
    pub request_faults: bool,
    /// Add agents that answer late, and endpoints that change their address or id
    #[arg(long)]
    pub discovery_faults: bool,
    /// Add no random faults; inject only those of the scenario
    #[arg(long)]
    pub planned: bool,
    /// Number of concurrent runs, each with all senders of the scenario
    #[arg(long, value_name = "N", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..))]
    pub jobs: u16,
    /// The daemon's binary [default: the one in this binary's directory]
    #[arg(long, value_name = "PATH")]
    pub daemon: Option<PathBuf>,
    /// Write the report of each run with violations as text into this directory
    #[arg(long, value_name = "DIRECTORY")]
    pub reports: Option<PathBuf>,
}

impl SearchArgs {
    /// Returns which kinds of random faults are drawn from each seed.
    pub fn random_faults(&self) -> RandomFaults {
        RandomFaults {
            world: !self.peer_faults && !self.planned,
            peers: self.peer_faults,
            system: self.system_faults,
            answers: self.answer_faults,
            requests: self.request_faults,
            discovery: self.discovery_faults,
        }
    }

    /// Returns the options that a `simulate` command needs to replay a seed of this search.
    pub fn replay_options(&self) -> String {
        let length = self.scenario.length.map_or(String::new(), |length| format!(" --length \"{length}\""));
        let system_faults = if self.system_faults { " --system-faults" } else { "" };
        let answer_faults = if self.answer_faults { " --answer-faults" } else { "" };
        let request_faults = if self.request_faults { " --request-faults" } else { "" };
        let random_faults = match (self.planned, self.peer_faults) {
            (true, _) => "",
            (_, true) => " --peer-faults",
            _ => " --random-faults",
        };
        let discovery_faults = if self.discovery_faults { " --discovery-faults" } else { "" };
        format!("{length}{random_faults}{system_faults}{answer_faults}{request_faults}{discovery_faults}")
    }
}

/// Options of a single run, simulated or live.
#[derive(Args)]
pub struct RunArgs {
    /// The scenario to run.
    #[command(flatten)]
    pub scenario: ScenarioArgs,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Add random faults drawn from the seed
    #[arg(long)]
    pub random_faults: bool,
    /// Add random faults of senders and of the links between them, drawn from the seed
    #[arg(long)]
    pub peer_faults: bool,
    /// Add random faults of the senders' system calls, clocks and folders, drawn from the seed
    #[arg(long)]
    pub system_faults: bool,
    /// Add random faults of endpoints and agents that answer more than once, drawn from the seed
    #[arg(long)]
    pub answer_faults: bool,
    /// Add random requests in two pieces, and ends of processes while they arrive, drawn from the seed
    #[arg(long)]
    pub request_faults: bool,
    /// Add agents that answer late, and endpoints that change their address or id
    #[arg(long)]
    pub discovery_faults: bool,
    /// Also write the report as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write the senders' membership and recovery events, one per line
    #[arg(long, value_name = "FILE")]
    pub history: Option<PathBuf>,
}

impl RunArgs {
    /// Returns the plan of this run, drawn from `scenario`.
    pub fn plan(&self, scenario: &Scenario) -> Plan {
        let random_faults = RandomFaults {
            world: self.random_faults,
            peers: self.peer_faults,
            system: self.system_faults,
            answers: self.answer_faults,
            requests: self.request_faults,
            discovery: self.discovery_faults,
        };
        self.scenario.plan(scenario, self.seed, random_faults)
    }
}

/// Options that select the scenario and the part of it to run.
#[derive(Args)]
pub struct ScenarioArgs {
    /// The scenario file
    #[arg(value_name = "SCENARIO")]
    pub file: String,
    /// Inject only these faults of the plan, by number from 0, or "none"
    #[arg(long, value_name = "0,2,5")]
    pub faults: Option<FaultSelection>,
    /// Length of the run, such as "60 s", instead of the scenario's; random faults are drawn for it
    #[arg(long, value_parser = Span::parse)]
    pub length: Option<Span>,
    /// End the run at this time, with its plan otherwise unchanged
    #[arg(long, value_name = "LENGTH", value_parser = Span::parse)]
    pub until: Option<Span>,
}

impl ScenarioArgs {
    /// Draws the plan of `scenario` for a seed and applies these options to it.
    pub fn plan(&self, scenario: &Scenario, seed: u64, random_faults: RandomFaults) -> Plan {
        let mut scenario = scenario.clone();
        if let Some(length) = self.length {
            scenario.set_length(length);
        }
        let mut plan = Plan::new(scenario, seed);
        if random_faults.world {
            plan.add_random_faults();
        }
        if random_faults.peers {
            plan.add_peer_faults();
        }
        if random_faults.system {
            plan.add_system_faults();
        }
        if random_faults.answers {
            plan.add_answer_faults();
        }
        if random_faults.requests {
            plan.add_request_faults();
        }
        if random_faults.discovery {
            plan.add_discovery_faults();
        }
        if let Some(FaultSelection(numbers)) = &self.faults {
            plan.retain_faults(numbers);
        }
        if let Some(until) = self.until {
            plan.truncate(until);
        }
        plan
    }
}

/// Which kinds of random faults are drawn from the seed.
#[derive(Clone, Copy)]
pub struct RandomFaults {
    /// Faults of endpoints, discovery, links between zones and single senders.
    pub world: bool,
    /// Faults of senders and of the links between them.
    pub peers: bool,
    /// Faults of the senders' system calls, clocks and folders.
    pub system: bool,
    /// Faults of endpoints and agents that answer more than once.
    pub answers: bool,
    /// Requests in two pieces, and ends of processes while they arrive.
    pub requests: bool,
    /// Agents that answer late, and endpoints that change their address or id.
    pub discovery: bool,
}

/// Why an argument could not be parsed.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// A fault number is invalid.
    #[error(
        "{text:?} is not the number of a fault: expected numbers from 0 on, separated by commas, or \"none\""
    )]
    FaultNumber {
        /// The text that was given as a fault number.
        text: String,
        /// The error of the integer parser.
        source: ParseIntError,
    },
    /// A seed is invalid.
    #[error("{text:?} is not a seed: expected an integer from 0 to 2^64 - 1")]
    Seed {
        /// The text that was given as a seed.
        text: String,
        /// The error of the integer parser.
        source: ParseIntError,
    },
    /// A range has no `..`.
    #[error("expected a range of seeds, such as 1..500")]
    NoRange,
    /// The first seed of a range is greater than the last.
    #[error("the first seed, {first}, is greater than the last, {last}")]
    EmptyRange {
        /// The first seed of the range.
        first: u64,
        /// The last seed of the range.
        last: u64,
    },
}

/// The indices in the plan of the faults that are kept.
#[derive(Clone)]
pub struct FaultSelection(Vec<usize>);

impl FromStr for FaultSelection {
    type Err = ArgumentError;

    fn from_str(text: &str) -> Result<Self, ArgumentError> {
        let number = |text: &str| {
            text.parse().map_err(|source| ArgumentError::FaultNumber { text: text.to_owned(), source })
        };
        let numbers = text.split(',').filter(|number| *number != "none");
        numbers.map(number).collect::<Result<_, _>>().map(Self)
    }
}

fn parse_seed_range(text: &str) -> Result<RangeInclusive<u64>, ArgumentError> {
    let (first, last) = text.split_once("..").ok_or(ArgumentError::NoRange)?;
    let (first, last) = (parse_seed(first)?, parse_seed(last)?);
    if first > last { Err(ArgumentError::EmptyRange { first, last }) } else { Ok(first..=last) }
}

fn parse_seed(text: &str) -> Result<u64, ArgumentError> {
    text.parse().map_err(|source| ArgumentError::Seed { text: text.to_owned(), source })
}
