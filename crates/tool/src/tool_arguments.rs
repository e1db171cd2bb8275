//! Arguments of the operators' tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;

/// Edits a crocushoist fleet and reads its status.
///
/// Exit codes: 0 done, 1 no host could be asked, 2 wrong arguments or an
/// unknown name, 3 the edit was refused, 4 the edit was not confirmed in time.
#[derive(Debug, Parser)]
#[command(name = "crocushoist", version)]
pub struct ToolArguments {
    /// Admin addresses of hosts to ask, in this order.
    #[arg(long = "host", env = "CROCUSHOIST_HOSTS", value_delimiter = ',')]
    pub hosts: Vec<SocketAddr>,
    /// Prints JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// Who makes the edit.
    #[arg(long, env = "USER", default_value = "operator", global = true)]
    pub author: String,
    /// Waits until every live host has the edit in force.
    #[arg(long, global = true)]
    pub wait: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: ToolCommand,
}

/// What an operator does.
#[derive(Debug, Subcommand)]
pub enum ToolCommand {
    /// Shows hosts, shards, refusals, exceptions and instances.
    Status,
    /// Puts what the logs of several hosts tell about one request in order.
    Explain {
        /// Id of the request, as its caller sent it.
        request: String,
        /// Log files of the hosts.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Lists objects of the configuration.
    List {
        /// Kind of object.
        #[arg(value_enum)]
        what: ListedKind,
    },
    /// Sets a fleet-wide default.
    Default {
        /// Setting.
        setting: String,
        /// Value.
        value: u32,
    },
    /// Adds, replaces or removes an exception from a default.
    Exception(ExceptionArguments),
    /// Adds a workspace.
    AddWorkspace {
        /// Name.
        name: String,
    },
    /// Removes a workspace, its keys and its exceptions.
    RemoveWorkspace {
        /// Name.
        name: String,
    },
    /// Makes a new key for a workspace and prints it once.
    GrantKey {
        /// Name of the workspace.
        workspace: String,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// The key, or its digest in 64 hexadecimal digits.
        key: String,
    },
    /// Adds or replaces a service.
    AddService {
        /// Name.
        name: String,
        /// The service's shed answer means that the request did not run.
        #[arg(long)]
        shed_is_not_run: bool,
    },
    /// Removes a service.
    RemoveService {
        /// Name.
        name: String,
    },
    /// Adds or replaces a route.
    AddRoute {
        /// Path prefix, whole segments.
        prefix: String,
        /// Name of the service that answers.
        service: String,
        /// The route is open to all, without a key.
        #[arg(long)]
        open: bool,
    },
    /// Removes a route.
    RemoveRoute {
        /// Path prefix.
        prefix: String,
    },
    /// Vouches that an incarnation has ended, so that it holds nothing up.
    Ended {
        /// Incarnation in hexadecimal digits, as `status` shows it.
        incarnation: String,
        /// Why you are sure.
        #[arg(long)]
        reason: String,
    },
}

/// Kind of object that is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ListedKind {
    /// Defaults that were set.
    Defaults,
    /// Exceptions that stand.
    Exceptions,
    /// Workspaces.
    Workspaces,
    /// Keys, by digest.
    Keys,
    /// Services.
    Services,
    /// Routes.
    Routes,
}

/// Arguments of an exception.
#[derive(Debug, Args)]
pub struct ExceptionArguments {
    /// Workspace that it applies to.
    #[arg(long, conflicts_with = "service", required_unless_present = "service")]
    pub workspace: Option<String>,
    /// Service that it applies to.
    #[arg(long)]
    pub service: Option<String>,
    /// Setting.
    pub setting: String,
    /// Value in place of the default.
    #[arg(required_unless_present = "remove")]
    pub value: Option<u32>,
    /// Why it stands.
    #[arg(long, required_unless_present = "remove")]
    pub reason: Option<String>,
    /// Removes the exception.
    #[arg(long, conflicts_with_all = ["value", "reason"])]
    pub remove: bool,
}
