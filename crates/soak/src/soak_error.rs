//! Errors that end a soak without a verdict.

use displaydoc::Display;

use crocushoist_transport::TransportError;

/// Error that ends a soak without a verdict.
#[derive(Debug, Display)]
pub enum SoakError {
    /// {0}
    Transport(TransportError),
    /// a host process cannot be run: {0}
    Process(std::io::Error),
    /// hosts are not ready {0} ms after their start
    NotReady(u64),
    /// seeds {0} are not a number or a range as 1..50
    Seeds(String),
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
        SoakError::Process(error)
    }
}
