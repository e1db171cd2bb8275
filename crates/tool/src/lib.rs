//! Operators' command-line tool: edits the configuration and shows the fleet's status.
//!
//! The tool stores nothing. For each edit it reads the current configuration
//! from a host and sends the edit with the revision of the edited object, so
//! that hosts refuse an edit that is based on an outdated revision. Every
//! request goes to the given hosts in order, until one of them responds.

pub mod tool_arguments;
pub mod tool_error;

mod admin_client;
mod edit_command;
mod edit_wait;
mod explain_request;
mod name_check;
mod status_view;

pub use explain_request::explain_request;
pub use name_check::check_names;
pub use name_check::closest_name;

use crate::admin_client::AdminClient;
use crate::edit_command::run_edit;
use crate::explain_request::explain_files;
use crate::status_view::show_list;
use crate::status_view::show_status;
use crate::tool_arguments::ToolArguments;
use crate::tool_arguments::ToolCommand;
use crate::tool_error::ToolError;

/// Runs the command and returns the text to print.
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
        } => client.declare_ended(incarnation, reason).await,
        edit => run_edit(&client, edit, arguments).await,
    }
}
