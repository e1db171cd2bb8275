//! Runs one of the stand-ins.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use crocushoist_standin::InstanceGroup;
use crocushoist_standin::RelayPlan;
use crocushoist_standin::serve_host_list;
use crocushoist_standin::serve_instances;
use crocushoist_standin::serve_log;
use crocushoist_standin::serve_relay;
use crocushoist_transport::TransportError;

/// Stand-ins for the systems that a crocushoist fleet meets.
#[derive(Debug, Parser)]
#[command(name = "crocushoist-standin", version)]
struct StandinArguments {
    /// Stand-in to run.
    #[command(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, Subcommand)]
enum StandinCommand {
    /// The platform's log.
    Log {
        /// Where to listen.
        address: SocketAddr,
    },
    /// The platform's host list.
    Hosts {
        /// Where to listen.
        address: SocketAddr,
    },
    /// Instances of services.
    Instances {
        /// Where to listen for control.
        #[arg(long)]
        control: SocketAddr,
        /// Milliseconds that a request takes.
        #[arg(long, default_value_t = 2)]
        service_ms: u64,
        /// Seed of the random faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where the instances listen.
        addresses: Vec<SocketAddr>,
    },
    /// A relay that can drop one direction.
    Relay {
        /// Where to listen for control.
        #[arg(long)]
        control: SocketAddr,
        /// Mappings as JSON: {"mappings":[{"listen":"IP:PORT","target":"IP:PORT"}]}.
        plan: String,
    },
}

fn main() -> ExitCode {
    let arguments = StandinArguments::parse();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("crocushoist-standin: the runtime cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(arguments.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocushoist-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: StandinCommand) -> Result<(), TransportError> {
    match command {
        StandinCommand::Log { address } => serve_log(address).await,
        StandinCommand::Hosts { address } => serve_host_list(address).await,
        StandinCommand::Instances {
            control,
            service_ms,
            seed,
            addresses,
        } => {
            let group = InstanceGroup {
                addresses,
                service_ms,
                seed,
            };
            serve_instances(control, group).await
        }
        StandinCommand::Relay { control, plan } => match serde_json::from_str::<RelayPlan>(&plan) {
            Ok(plan) => serve_relay(control, plan).await,
            Err(error) => {
                eprintln!("crocushoist-standin: the plan cannot be read: {error}");
                Ok(())
            }
        },
    }
}
