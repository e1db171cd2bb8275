//! The operators' tool: edits defaults and exceptions and reads what the fleet reports.
//!
//! The tool keeps nothing. It asks any host for the folded configuration,
//! bases each edit on the revision it saw, and sends the edit to that host.
//! A host that cannot be reached is passed over for the next one named.

pub mod tool_arguments;
pub mod tool_error;

mod admin_client;
mod edit_command;
mod explain_request;
mod fleet_watch;
mod name_check;
mod status_view;

pub use explain_request::explain_request;
pub use name_check::check_names;
pub use name_check::nearest;

use crate::admin_client::AdminClient;
use crate::edit_command::run_edit;
use crate::explain_request::explain_files;
use crate::status_view::show_list;
use crate::status_view::show_status;
use crate::tool_arguments::ToolArguments;
use crate::tool_arguments::ToolCommand;
use crate::tool_error::ToolError;

/// Runs the command and returns what to print.
pub async fn run_command(arguments: &ToolArguments) -> Result<String, ToolError> {
    if let ToolCommand::Explain { request, logs } = &arguments.command {
        return explain_files(request, logs);
    }
    if arguments.hosts.is_empty() {
        return Err(ToolError::NoHost);
    }
    let client = AdminClient::new(&arguments.hosts)?;
    match &arguments.command {
        ToolCommand::Status => show_status(&client, arguments.json).await,
        ToolCommand::List { what } => show_list(&client, *what, arguments.json).await,
        ToolCommand::Ended {
            incarnation,
            reason,
        } => client.vouch_ended(incarnation, reason).await,
        edit => run_edit(&client, edit, arguments).await,
    }
}
