//! Errors that end a soak before the promises of a run could be checked.

use displaydoc::Display;

use crocushoist_transport::TransportError;

/// Error that ends a soak before the promises of a run could be checked.
#[derive(Debug, Display)]
pub enum SoakError {
    /// {0}
    Transport(TransportError),
    /// I/O error while running the fleet: {0}
    Io(std::io::Error),
    /// not all hosts were ready after {0} ms
    NotReady(u64),
    /// seeds {0} are neither a number nor a range such as 1..50
    InvalidSeeds(String),
    /// seed file {0} cannot be read: {1}
    SeedFile(String, String),
}

impl std::error::Error for SoakError {}

impl From<TransportError> for SoakError {
    fn from(error: TransportError) -> Self {
        SoakError::Transport(error)
    }
}

impl From<std::io::Error> for SoakError {
    fn from(error: std::io::Error) -> Self {
        SoakError::Io(error)
    }
}
