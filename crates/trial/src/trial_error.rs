//! Errors that end a trial before it has a verdict.

use displaydoc::Display;

use crocushoist_transport::TransportError;

/// Error that ends a trial before it has a verdict.
#[derive(Debug, Display)]
pub enum TrialError {
    /// program "{program}" cannot be started: {error}
    Start {
        /// Program.
        program: String,
        /// Cause.
        error: std::io::Error,
    },
    /// {0}
    Io(std::io::Error),
    /// {0}
    Transport(TransportError),
    /// {what} did not come about within {millis} ms
    TimedOut {
        /// What was waited for.
        what: &'static str,
        /// Milliseconds waited.
        millis: u64,
    },
    /// scenario "{name}" does not exist; near: {near}
    UnknownScenario {
        /// Name given.
        name: String,
        /// Scenarios with a near name.
        near: String,
    },
    /// an edit was refused: {0}
    Edit(String),
}

impl std::error::Error for TrialError {}

impl From<TransportError> for TrialError {
    fn from(error: TransportError) -> Self {
        TrialError::Transport(error)
    }
}

impl From<std::io::Error> for TrialError {
    fn from(error: std::io::Error) -> Self {
        TrialError::Io(error)
    }
}
