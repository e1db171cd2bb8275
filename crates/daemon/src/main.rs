//! Starts one host of the fleet with a settings file.

use std::process::ExitCode;

use clap::Parser;
use slog::Drain;
use slog::LevelFilter;
use slog::Logger;
use slog::o;

use crocushoist_edge::edge_host::run_edge;
use crocushoist_edge::edge_settings::EdgeSettings;
use crocushoist_edge::host_signals::HostSignals;
use crocushoist_settings::SettingsError;
use crocushoistd::host_daemon::run_host;
use crocushoistd::host_settings::HostSettings;

/// Exit code for a settings file with errors.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Runs one host of a crocushoist fleet.
#[derive(Debug, Parser)]
#[command(name = "crocushoistd", version)]
struct DaemonArguments {
    /// Checks the settings file, reports every error and exits.
    #[arg(long)]
    check: bool,
    /// Settings file in INI format.
    #[arg(value_name = "FILE")]
    settings: String,
    /// Runs a host on the users' platform.
    #[arg(long)]
    platform: bool,
}

fn main() -> ExitCode {
    let arguments = DaemonArguments::parse();
    if arguments.platform {
        return run_on_platform(&arguments);
    }
    let settings = match HostSettings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(errors) => return reject_settings(&errors),
    };
    if arguments.check {
        return report_valid_settings(&arguments);
    }
    let logger = new_logger(settings.log_level);
    exit_code(run_host(settings, logger))
}

fn run_on_platform(arguments: &DaemonArguments) -> ExitCode {
    // The handlers come first, because a reload signal can arrive as soon as the process runs.
    let signals = match HostSignals::listen() {
        Ok(signals) => signals,
        Err(error) => return exit_code(Err(error)),
    };
    match EdgeSettings::load(&arguments.settings) {
        Err(errors) => reject_settings(&errors),
        Ok(_) if arguments.check => report_valid_settings(arguments),
        Ok(settings) => exit_code(run_edge(&arguments.settings, settings, signals)),
    }
}

fn reject_settings(errors: &[SettingsError]) -> ExitCode {
    for error in errors {
        eprintln!("crocushoistd: {error}");
    }
    ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
}

fn report_valid_settings(arguments: &DaemonArguments) -> ExitCode {
    println!("{}: every setting is allowed", arguments.settings);
    ExitCode::SUCCESS
}

fn exit_code<E: std::error::Error>(outcome: Result<(), E>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocushoistd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn new_logger(level: slog::Level) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build();
    Logger::root(LevelFilter::new(drain, level).ignore_res(), o!())
}
