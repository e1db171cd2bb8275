//! Command line that runs trials and measurements.

use std::io::IsTerminal;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use clap::Subcommand;
use compio::time::sleep;
use compio::time::timeout;

use crocushoist_trial::demo_fleet::run_demo;
use crocushoist_trial::host_measure::measure_hosts;
use crocushoist_trial::replay_measure::measure_replay;
use crocushoist_trial::scenario_catalogue::SCENARIOS;
use crocushoist_trial::scenario_catalogue::ScenarioEntry;
use crocushoist_trial::scenario_catalogue::TrialOptions;
use crocushoist_trial::trial_error::TrialError;
use crocushoist_trial::trial_report::TrialReport;

/// Time limit of a scenario.
const MAX_SCENARIO_MS: u64 = 40_000;
const PROGRESS_INTERVAL_MS: u64 = 1_000;
const USAGE_EXIT_CODE: u8 = 2;

/// Runs scenarios against a fleet of real processes on loopback.
#[derive(Debug, Parser)]
#[command(name = "crocushoist-trial", version)]
struct TrialArguments {
    /// Command to run.
    #[command(subcommand)]
    command: TrialCommand,
}

#[derive(Debug, Subcommand)]
enum TrialCommand {
    /// Lists the scenarios.
    List,
    /// Runs a small fleet and sends one request through it.
    Demo {
        /// Seconds after which the demo ends; by default it runs until interrupted.
        #[arg(long)]
        seconds: Option<u64>,
    },
    /// Measures a configuration that is built from the log: memory, time and lookups.
    MeasureFold {
        /// Number of workspaces, each with one key.
        #[arg(long, default_value_t = 98_000)]
        workspaces: usize,
        /// Number of routes.
        #[arg(long, default_value_t = 9_800)]
        routes: usize,
    },
    /// Measures the control traffic, processor time and memory of an idle fleet.
    MeasureHosts {
        /// Number of hosts.
        #[arg(long, default_value_t = 44)]
        hosts: usize,
        /// Number of instances.
        #[arg(long, default_value_t = 20)]
        instances: usize,
        /// Number of shards.
        #[arg(long, default_value_t = 44)]
        shards: u32,
    },
    /// Runs a scenario and prints its report.
    Run {
        /// Name of the scenario.
        scenario: String,
        /// Seed of the arrival times of requests and the choice of faulty hosts.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Policy by which hosts choose instances: shared, own or round-robin.
        #[arg(long, default_value = "shared")]
        policy: String,
        /// Prints the report as one JSON object.
        #[arg(long)]
        json: bool,
        /// Exits with a failure also if a target is missed.
        #[arg(long)]
        targets: bool,
    },
}

fn main() -> ExitCode {
    match TrialArguments::parse().command {
        TrialCommand::List => {
            for entry in SCENARIOS {
                println!("{:<16}{}", entry.name, entry.summary);
            }
            ExitCode::SUCCESS
        }
        TrialCommand::Demo { seconds } => run_demo_command(seconds),
        TrialCommand::MeasureFold { workspaces, routes } => {
            measure_replay(workspaces, routes).print(false);
            ExitCode::SUCCESS
        }
        TrialCommand::MeasureHosts {
            hosts,
            instances,
            shards,
        } => run_measure_hosts(hosts, instances, shards),
        TrialCommand::Run {
            scenario,
            seed,
            policy,
            json,
            targets,
        } => run_scenario(&scenario, TrialOptions { seed, policy }, json, targets),
    }
}

fn run_scenario(name: &str, options: TrialOptions, json: bool, targets: bool) -> ExitCode {
    let report = find_scenario(name).and_then(|entry| {
        let runtime = compio::runtime::Runtime::new()?;
        runtime.block_on(run_with_time_limit(entry, options))
    });
    match report {
        Ok(report) => {
            report.print(json);
            if report.broken.is_empty() && (!targets || report.missed.is_empty()) {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error @ TrialError::UnknownScenario { .. }) => {
            eprintln!("crocushoist-trial: {error}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
        Err(error) => {
            eprintln!("crocushoist-trial: {name}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_demo_command(seconds: Option<u64>) -> ExitCode {
    let result = compio::runtime::Runtime::new()
        .map_err(TrialError::from)
        .and_then(|runtime| runtime.block_on(run_demo(seconds)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocushoist-trial: demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_measure_hosts(hosts: usize, instances: usize, shards: u32) -> ExitCode {
    let result = compio::runtime::Runtime::new()
        .map_err(TrialError::from)
        .and_then(|runtime| runtime.block_on(measure_hosts(hosts, instances, shards)));
    match result {
        Ok(report) => {
            report.print(false);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("crocushoist-trial: measure-hosts: {error}");
            ExitCode::FAILURE
        }
    }
}

fn find_scenario(name: &str) -> Result<ScenarioEntry, TrialError> {
    let closest = SCENARIOS
        .iter()
        .max_by(|a, b| strsim::jaro(a.name, name).total_cmp(&strsim::jaro(b.name, name)))
        .map_or("", |entry| entry.name);
    SCENARIOS
        .into_iter()
        .find(|entry| entry.name == name)
        .ok_or_else(|| TrialError::UnknownScenario {
            name: name.to_owned(),
            closest: closest.to_owned(),
        })
}

async fn run_with_time_limit(
    entry: ScenarioEntry,
    options: TrialOptions,
) -> Result<TrialReport, TrialError> {
    if std::io::stderr().is_terminal() {
        compio::runtime::spawn(show_progress(entry.name)).detach();
    }
    let limit = Duration::from_millis(MAX_SCENARIO_MS);
    let timed_out = TrialError::TimedOut {
        what: "the scenario to end",
        waited_ms: MAX_SCENARIO_MS,
    };
    timeout(limit, (entry.run)(options))
        .await
        .unwrap_or(Err(timed_out))
}

async fn show_progress(name: &'static str) {
    for second in 0.. {
        eprint!("\r{name} {second} s");
        sleep(Duration::from_millis(PROGRESS_INTERVAL_MS)).await;
    }
}
