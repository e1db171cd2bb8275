//! Entry point of the operators' tool.

use std::process::ExitCode;

use clap::Parser;

use crocushoist::run_command;
use crocushoist::tool_arguments::ToolArguments;
use crocushoist::tool_error::ToolError;

fn main() -> ExitCode {
    let arguments = ToolArguments::parse();
    let result = compio::runtime::Runtime::new()
        .map_err(ToolError::Runtime)
        .and_then(|runtime| runtime.block_on(run_command(&arguments)));
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("crocushoist: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
