//! Errors that end a trial before it has a result.

use displaydoc::Display;

use crocushoist_transport::TransportError;

/// Error that ends a trial before it has a result.
#[derive(Debug, Display)]
pub enum TrialError {
    /// cannot start program "{program}": {error}
    Start {
        /// File name of the program.
        program: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// {0}
    Io(std::io::Error),
    /// {0}
    Transport(TransportError),
    /// timed out after {waited_ms} ms waiting for {what}
    TimedOut {
        /// Awaited event.
        what: &'static str,
        /// Milliseconds waited.
        waited_ms: u64,
    },
    /// unknown scenario "{name}"; the closest name is "{closest}"
    UnknownScenario {
        /// Unknown name.
        name: String,
        /// Name of the scenario that is most similar.
        closest: String,
    },
    /// an edit was rejected: {0}
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
