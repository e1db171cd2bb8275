//! Command-line arguments of the operators' tool.
//!
//! The doc comments on these types are the help texts, and their fields and
//! variants are the names of the flags and commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;

/// Edits the configuration of a crocushoist fleet and shows its status.
///
/// Exit codes: 0 done, 1 no usable response from any host, 2 invalid arguments or an
/// unknown name, 3 the edit was refused, 4 the edit was not confirmed in time.
#[derive(Debug, Parser)]
#[command(name = "crocushoist", version)]
pub struct ToolArguments {
    /// Admin addresses of hosts, tried in this order.
    #[arg(long = "host", env = "CROCUSHOIST_HOSTS", value_delimiter = ',')]
    pub hosts: Vec<SocketAddr>,
    /// Prints the output as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// Name that is recorded as the author of the edit.
    #[arg(long, env = "USER", default_value = "operator", global = true)]
    pub author: String,
    /// Waits until the edit is in force on every live host.
    #[arg(long, global = true)]
    pub wait: bool,
    /// Command to run.
    #[command(subcommand)]
    pub command: ToolCommand,
}

/// Command of the tool.
#[derive(Debug, Subcommand)]
pub enum ToolCommand {
    /// Shows hosts, shards, instances, refusals, retries and exceptions.
    Status,
    /// Lists the log lines of several hosts that explain one request, by time.
    Explain {
        /// Id of the request, as sent by its caller.
        request: String,
        /// Log files of the hosts.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Lists objects of the configuration.
    List {
        /// Kind of object to list.
        #[arg(value_enum)]
        what: ListedKind,
    },
    /// Sets a fleet-wide default.
    Default {
        /// Name of the setting.
        setting: String,
        /// New default value.
        value: u32,
    },
    /// Sets or removes an exception from a default, for one workspace or service.
    Exception(ExceptionArguments),
    /// Adds a workspace.
    AddWorkspace {
        /// Name of the workspace.
        name: String,
    },
    /// Removes a workspace, its keys and its exceptions.
    RemoveWorkspace {
        /// Name of the workspace.
        name: String,
    },
    /// Generates a key for a workspace and prints it; it cannot be shown again.
    GrantKey {
        /// Name of the workspace.
        workspace: String,
    },
    /// Withdraws a key from its workspace.
    WithdrawKey {
        /// The key, or its digest as 64 hexadecimal digits.
        key: String,
    },
    /// Adds or replaces a service.
    AddService {
        /// Name of the service.
        name: String,
        /// A load-shedding response of the service means that it did not run the request.
        #[arg(long)]
        shed_is_not_run: bool,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: String,
    },
    /// Adds or replaces a route.
    AddRoute {
        /// Path prefix, which matches whole path segments.
        prefix: String,
        /// Name of the service that receives the requests.
        service: String,
        /// Requests on this route need no key.
        #[arg(long)]
        open: bool,
    },
    /// Removes a route.
    RemoveRoute {
        /// Path prefix of the route.
        prefix: String,
    },
    /// Declares that an incarnation has ended, so that the fleet stops waiting for it.
    Ended {
        /// Incarnation in hexadecimal digits, as `status` shows it.
        incarnation: String,
        /// How you know that it has ended.
        #[arg(long)]
        reason: String,
    },
}

/// Kind of configuration object to list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ListedKind {
    /// Defaults that have been set.
    Defaults,
    /// Exceptions from the defaults.
    Exceptions,
    /// Workspaces.
    Workspaces,
    /// Keys, shown by their digest.
    Keys,
    /// Services.
    Services,
    /// Routes.
    Routes,
}

/// Arguments of the exception command.
#[derive(Debug, Args)]
pub struct ExceptionArguments {
    /// Workspace that the exception applies to.
    #[arg(long, conflicts_with = "service", required_unless_present = "service")]
    pub workspace: Option<String>,
    /// Service that the exception applies to.
    #[arg(long)]
    pub service: Option<String>,
    /// Name of the setting.
    pub setting: String,
    /// Value that replaces the default.
    #[arg(required_unless_present = "remove")]
    pub value: Option<u32>,
    /// Reason for the exception.
    #[arg(long, required_unless_present = "remove")]
    pub reason: Option<String>,
    /// Removes the exception.
    #[arg(long, conflicts_with_all = ["value", "reason"])]
    pub remove: bool,
}
