//! Command line that runs one of the stand-ins.

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

/// Stand-ins for the systems outside a crocushoist fleet, for tests and trials.
#[derive(Debug, Parser)]
#[command(name = "crocushoist-standin", version)]
struct StandinArguments {
    /// Stand-in to run.
    #[command(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, Subcommand)]
enum StandinCommand {
    /// Runs the platform's log.
    Log {
        /// Address to listen at.
        address: SocketAddr,
    },
    /// Runs the platform's host list.
    Hosts {
        /// Address to listen at.
        address: SocketAddr,
    },
    /// Runs instances of a service.
    Instances {
        /// Address to listen at for control requests.
        #[arg(long)]
        control: SocketAddr,
        /// Service time of a request in milliseconds.
        #[arg(long, default_value_t = 2)]
        service_ms: u64,
        /// Seed of the random choice of requests that are slow or fail.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Addresses at which the instances listen.
        addresses: Vec<SocketAddr>,
    },
    /// Runs a relay that can drop bytes in one direction.
    Relay {
        /// Address to listen at for control requests.
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
            eprintln!("crocushoist-standin: cannot start the runtime: {error}");
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
                eprintln!("crocushoist-standin: cannot decode the plan: {error}");
                Ok(())
            }
        },
    }
}
