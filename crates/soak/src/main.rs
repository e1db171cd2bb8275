//! Command line of the soak test.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

use crocushoist_soak::SoakError;
use crocushoist_soak::SoakMode;
use crocushoist_soak::SoakSize;
use crocushoist_soak::run_seed;

/// Exit code when a run could not be completed; 1 means that a promise was broken.
const EXIT_ERROR: u8 = 2;

/// Default number of instances.
const INSTANCES: usize = 6;

/// Default number of callers.
const CALLERS: usize = 18;

/// Default number of instances in the series and drill modes.
const SERIES_INSTANCES: usize = 24;

/// Default number of callers in the series and drill modes.
const SERIES_CALLERS: usize = 72;

/// Runs a fleet of host processes under overlapping faults and checks its promises.
#[derive(Debug, Parser)]
#[command(name = "crocushoist-soak", version)]
struct SoakArguments {
    /// Command to run.
    #[command(subcommand)]
    command: SoakCommand,
}

#[derive(Debug, Subcommand)]
enum SoakCommand {
    /// Runs the given seeds.
    Run {
        /// Seeds: a number, or an inclusive range such as 1..50.
        #[arg(long, default_value = "1..2")]
        seeds: String,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs the seeds listed in a file.
    File {
        /// Seed file: one seed per line, after the name of its mode if it has one, optionally
        /// followed by a remark; # starts a comment line.
        path: PathBuf,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs random seeds until the time is up.
    Fresh {
        /// Minutes during which new seeds are started.
        #[arg(long, default_value_t = 3)]
        minutes: u64,
        #[command(flatten)]
        options: RunOptions,
    },
}

#[derive(Debug, Args)]
struct RunOptions {
    /// Sends signals, stops and restarts in series, with callers that keep their connections.
    #[arg(long)]
    series: bool,
    /// As --series, with instances that leave or want no requests, and a store that comes back
    /// from older copies.
    #[arg(long, conflicts_with = "series")]
    drill: bool,
    /// As --series or --drill, with hosts that lose their path to all instances and instances that
    /// send bytes without end.
    #[arg(long, conflicts_with_all = ["series", "drill"])]
    paths: bool,
    /// As --series, with instances that name limits and hosts that lose their path to instances.
    #[arg(long, conflicts_with_all = ["series", "drill", "paths"])]
    needs: bool,
    /// Number of host processes.
    #[arg(long, default_value_t = 6)]
    hosts: usize,
    /// Number of instances [default: 6, with --series or --drill 24].
    #[arg(long)]
    instances: Option<usize>,
    /// Number of callers [default: 18, with --series or --drill 72].
    #[arg(long)]
    callers: Option<usize>,
    /// Loopback network 127.N.0.0/16 to use; concurrent runs need different ones.
    #[arg(long, default_value_t = 90)]
    net: u8,
    /// Directory for the host logs of runs that break a promise.
    #[arg(long, default_value = "soak-logs")]
    logs: PathBuf,
}

fn main() -> ExitCode {
    match run(SoakArguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Runs the command and returns the number of seeds that broke a promise.
fn run(arguments: SoakArguments) -> Result<usize, SoakError> {
    match arguments.command {
        SoakCommand::Run { seeds, options } => {
            let mode = options.mode();
            let seeds = parse_seeds(&seeds)?.into_iter();
            run_seeds(seeds.map(|seed| (mode, seed)), &options)
        }
        SoakCommand::File { path, options } => run_seeds(read_seeds(&path)?, &options),
        SoakCommand::Fresh { minutes, options } => {
            let deadline = Instant::now() + Duration::from_secs(minutes * 60);
            let mode = options.mode();
            let seeds = std::iter::repeat_with(|| (mode, u64::from(rand::random::<u32>())));
            run_seeds(seeds.take_while(|_| Instant::now() < deadline), &options)
        }
    }
}

impl RunOptions {
    /// Mode of the seeds that are not read from a file.
    fn mode(&self) -> SoakMode {
        if self.needs {
            SoakMode::Needs
        } else if self.paths {
            SoakMode::Paths
        } else if self.drill {
            SoakMode::Drill
        } else if self.series {
            SoakMode::Series
        } else {
            SoakMode::Single
        }
    }

    /// Size of the fleet in `mode`.
    fn size(&self, mode: SoakMode) -> SoakSize {
        let (instances, callers) = match mode {
            SoakMode::Single => (INSTANCES, CALLERS),
            SoakMode::Series | SoakMode::Drill | SoakMode::Paths | SoakMode::Needs => {
                (SERIES_INSTANCES, SERIES_CALLERS)
            }
        };
        SoakSize {
            hosts: self.hosts,
            instances: self.instances.unwrap_or(instances),
            callers: self.callers.unwrap_or(callers),
        }
    }
}

/// Runs seeds one after another and returns the number of those that broke a promise.
fn run_seeds(
    seeds: impl IntoIterator<Item = (SoakMode, u64)>,
    options: &RunOptions,
) -> Result<usize, SoakError> {
    let (mut run_count, mut broken_count) = (0, 0);
    for (mode, seed) in seeds {
        let size = options.size(mode);
        let runtime = compio::runtime::Runtime::new()?;
        let report = runtime.block_on(run_seed(seed, mode, size, options.net, &options.logs))?;
        let (calls, served, executed) = report.counts;
        let result = if report.broken.is_empty() {
            "kept"
        } else {
            "BROKEN"
        };
        let prefix = match mode {
            SoakMode::Single => "",
            SoakMode::Series => "series ",
            SoakMode::Drill => "drill ",
            SoakMode::Paths => "paths ",
            SoakMode::Needs => "needs ",
        };
        let (departures, holds) = report.notice_counts;
        let notices = match mode {
            SoakMode::Single | SoakMode::Series | SoakMode::Needs => String::new(),
            SoakMode::Drill | SoakMode::Paths => {
                format!(", {departures} departures passed on, {holds} holds")
            }
        };
        println!(
            "{prefix}seed {seed}: {result}, {calls} calls, {served} served, {executed} executed{notices}"
        );
        if !report.broken.is_empty() {
            for fault in &report.plan.faults {
                println!(
                    "  {:>6} ms for {} ms: {:?}",
                    fault.start_ms, fault.duration_ms, fault.kind
                );
            }
            for promise in &report.broken {
                println!("  {promise}");
            }
            broken_count += 1;
        }
        run_count += 1;
    }
    println!("soak: {run_count} seeds, {broken_count} with a broken promise");
    Ok(broken_count)
}

fn parse_seeds(text: &str) -> Result<Vec<u64>, SoakError> {
    let invalid_seeds = || SoakError::InvalidSeeds(text.to_owned());
    let parse = |part: &str| part.parse::<u64>().map_err(|_| invalid_seeds());
    match text.split_once("..") {
        Some((first, last)) => Ok((parse(first)?..=parse(last)?).collect()),
        None => Ok(vec![parse(text)?]),
    }
}

fn read_seeds(path: &std::path::Path) -> Result<Vec<(SoakMode, u64)>, SoakError> {
    let seed_file_error = |cause: String| SoakError::SeedFile(path.display().to_string(), cause);
    let text = std::fs::read_to_string(path).map_err(|error| seed_file_error(error.to_string()))?;
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(|line| {
            let (mode, rest) = match line.split_once(' ') {
                Some(("series", rest)) => (SoakMode::Series, rest),
                Some(("drill", rest)) => (SoakMode::Drill, rest),
                Some(("paths", rest)) => (SoakMode::Paths, rest),
                Some(("needs", rest)) => (SoakMode::Needs, rest),
                _ => (SoakMode::Single, line),
            };
            let seed = rest.split_whitespace().next().unwrap_or_default();
            let seed = seed.parse().map_err(|_| {
                seed_file_error(format!("line {line:?} does not start with a seed"))
            })?;
            Ok((mode, seed))
        })
        .collect()
}
