//! Errors of the operators' tool.

use displaydoc::Display;

use crocushoist_state::ConfigError;

/// Error of the operators' tool.
#[derive(Debug, Display)]
pub enum ToolError {
    /// cannot start the async runtime: {0}
    Runtime(std::io::Error),
    /// no host gave a usable response; last error from {host}: {cause}
    Unreachable {
        /// Last host that was tried.
        host: String,
        /// Error of the last try.
        cause: String,
    },
    /// no host given; set --host or CROCUSHOIST_HOSTS
    NoHost,
    /// cannot read log file {path}: {error}
    LogFile {
        /// Path of the file.
        path: String,
        /// Error of the read.
        error: std::io::Error,
    },
    /// no log line names the request {0}; a plain success is logged once in 64
    UnknownRequest(String),
    /// {0}
    Config(ConfigError),
    /// {error}{suggestion}
    UnknownName {
        /// Message that says what does not exist.
        error: String,
        /// Suggestion of a similar name, empty if there is none.
        suggestion: String,
    },
    /// refused: {0}
    Refused(String),
    /// {0}
    Unconfirmed(String),
}

impl std::error::Error for ToolError {}

impl ToolError {
    /// Exit code of the tool; the help text of `ToolArguments` lists all codes.
    pub fn exit_code(&self) -> u8 {
        match self {
            ToolError::Runtime(_) | ToolError::Unreachable { .. } => 1,
            ToolError::Config(_)
            | ToolError::UnknownName { .. }
            | ToolError::NoHost
            | ToolError::LogFile { .. }
            | ToolError::UnknownRequest(_) => 2,
            ToolError::Refused(_) => 3,
            ToolError::Unconfirmed(_) => 4,
        }
    }
}

impl From<ConfigError> for ToolError {
    fn from(error: ConfigError) -> Self {
        ToolError::Config(error)
    }
}
