//! Starts one host of the fleet from its settings file.

use std::process::ExitCode;

use clap::Parser;
use slog::Drain;
use slog::LevelFilter;
use slog::Logger;
use slog::o;

use crocushoistd::host_daemon::run_host;
use crocushoistd::host_settings::HostSettings;

const EXIT_SETTINGS: u8 = 2;

/// Runs one host of a crocushoist fleet.
#[derive(Debug, Parser)]
#[command(name = "crocushoistd", version)]
struct DaemonArguments {
    /// Checks the settings file, reports every fault and exits.
    #[arg(long)]
    check: bool,
    /// Settings file in INI.
    #[arg(value_name = "FILE")]
    settings: String,
}

fn main() -> ExitCode {
    let arguments = DaemonArguments::parse();
    let settings = match HostSettings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("crocushoistd: {fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: every setting is allowed", arguments.settings);
        return ExitCode::SUCCESS;
    }
    let logger = new_logger(settings.log_level);
    match run_host(settings, logger) {
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
