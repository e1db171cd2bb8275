//! Errors of the operators' tool.

use displaydoc::Display;

use crocushoist_state::ConfigError;

/// Error of the operators' tool.
#[derive(Debug, Display)]
pub enum ToolError {
    /// the runtime cannot start: {0}
    Runtime(std::io::Error),
    /// no host could be asked; the last one, {host}, failed: {cause}
    Unreachable {
        /// Last host asked.
        host: String,
        /// Cause.
        cause: String,
    },
    /// no host to ask; name one with --host or CROCUSHOIST_HOSTS
    NoHost,
    /// log {path} cannot be read: {error}
    LogFile {
        /// Path given.
        path: String,
        /// Cause.
        error: std::io::Error,
    },
    /// no log line names the request {0}; a plain success is logged once in 64
    UnknownRequest(String),
    /// {0}
    Config(ConfigError),
    /// {error}{near}
    UnknownName {
        /// What is unknown.
        error: String,
        /// A near name, if there is one.
        near: String,
    },
    /// refused: {0}
    Refused(String),
    /// {0}
    Unconfirmed(String),
}

impl std::error::Error for ToolError {}

impl ToolError {
    /// Exit code of the tool.
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
