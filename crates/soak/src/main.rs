//! Command line of the soak.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

use crocushoist_soak::SoakError;
use crocushoist_soak::SoakSize;
use crocushoist_soak::run_seed;

const EXIT_FAULT: u8 = 2;

/// Runs a fleet of real processes under overlapping faults and checks its promises.
#[derive(Debug, Parser)]
#[command(name = "crocushoist-soak", version)]
struct SoakArguments {
    /// What to do.
    #[command(subcommand)]
    command: SoakCommand,
}

#[derive(Debug, Subcommand)]
enum SoakCommand {
    /// Runs chosen seeds.
    Run {
        /// Seeds: a number, or a range as 1..50.
        #[arg(long, default_value = "1..2")]
        seeds: String,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs the seeds of a file, one a line, with a remark after it.
    File {
        /// The file.
        path: PathBuf,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs fresh seeds for some minutes.
    Fresh {
        /// Minutes.
        #[arg(long, default_value_t = 3)]
        minutes: u64,
        #[command(flatten)]
        options: RunOptions,
    },
}

#[derive(Debug, Args)]
struct RunOptions {
    /// Host processes.
    #[arg(long, default_value_t = 6)]
    hosts: usize,
    /// Instances.
    #[arg(long, default_value_t = 6)]
    instances: usize,
    /// Callers.
    #[arg(long, default_value_t = 18)]
    callers: usize,
    /// Loopback net 127.N to use; runs at the same time need different ones.
    #[arg(long, default_value_t = 90)]
    net: u8,
    /// Folder for the logs of runs that break a promise.
    #[arg(long, default_value = "soak-logs")]
    logs: PathBuf,
}

fn main() -> ExitCode {
    match run(SoakArguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAULT)
        }
    }
}

/// Runs the command; the number of seeds that broke a promise.
fn run(arguments: SoakArguments) -> Result<usize, SoakError> {
    match arguments.command {
        SoakCommand::Run { seeds, options } => run_seeds(parse_seeds(&seeds)?, &options),
        SoakCommand::File { path, options } => run_seeds(read_seeds(&path)?, &options),
        SoakCommand::Fresh { minutes, options } => {
            let until = Instant::now() + Duration::from_secs(minutes * 60);
            let seeds = std::iter::repeat_with(|| u64::from(rand::random::<u32>()));
            run_seeds(seeds.take_while(|_| Instant::now() < until), &options)
        }
    }
}

fn run_seeds(
    seeds: impl IntoIterator<Item = u64>,
    options: &RunOptions,
) -> Result<usize, SoakError> {
    let size = SoakSize {
        hosts: options.hosts,
        instances: options.instances,
        callers: options.callers,
    };
    let (mut count, mut failed) = (0, 0);
    for seed in seeds {
        let runtime = compio::runtime::Runtime::new()?;
        let verdict = runtime.block_on(run_seed(seed, size, options.net, &options.logs))?;
        let (calls, served, ran) = verdict.counts;
        let result = if verdict.broken.is_empty() {
            "kept"
        } else {
            "BROKEN"
        };
        println!("seed {seed}: {result}, {calls} calls, {served} served, {ran} ran");
        if !verdict.broken.is_empty() {
            for trouble in &verdict.plan.troubles {
                println!(
                    "  {:>6} ms for {} ms: {:?}",
                    trouble.at_ms, trouble.for_ms, trouble.kind
                );
            }
            for promise in &verdict.broken {
                println!("  {promise}");
            }
            failed += 1;
        }
        count += 1;
    }
    println!("soak: {count} seeds, {failed} with a broken promise");
    Ok(failed)
}

fn parse_seeds(text: &str) -> Result<Vec<u64>, SoakError> {
    let wrong = || SoakError::Seeds(text.to_owned());
    let parse = |part: &str| part.parse::<u64>().map_err(|_| wrong());
    match text.split_once("..") {
        Some((first, last)) => Ok((parse(first)?..=parse(last)?).collect()),
        None => Ok(vec![parse(text)?]),
    }
}

fn read_seeds(path: &std::path::Path) -> Result<Vec<u64>, SoakError> {
    let fault = |cause: String| SoakError::SeedFile(path.display().to_string(), cause);
    let text = std::fs::read_to_string(path).map_err(|error| fault(error.to_string()))?;
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(|line| {
            let seed = line.split_whitespace().next().unwrap_or_default();
            seed.parse()
                .map_err(|_| fault(format!("{line:?} names no seed")))
        })
        .collect()
}
