//! Errors of encoding and decoding messages.

use compact_str::CompactString;
use displaydoc::Display;

use crocushoist_coordination::ReplayError;
use crocushoist_state::ConfigError;

/// Error of decoding a message or of the state that it carries.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ProtocolError {
    /// message cannot be decoded: {0}
    Decode(CompactString),
    /// record has format version {found}, this host supports version {known}
    Version {
        /// Version of the record.
        found: u8,
        /// Version that this host supports.
        known: u8,
    },
    /// message carries an invalid value: {0}
    Config(ConfigError),
    /// log replay failed: {0}
    Replay(ReplayError),
}

impl std::error::Error for ProtocolError {}

impl From<ConfigError> for ProtocolError {
    fn from(error: ConfigError) -> Self {
        ProtocolError::Config(error)
    }
}

impl From<ReplayError> for ProtocolError {
    fn from(error: ReplayError) -> Self {
        ProtocolError::Replay(error)
    }
}

impl From<postcard::Error> for ProtocolError {
    fn from(error: postcard::Error) -> Self {
        ProtocolError::Decode(error.to_string().into())
    }
}

impl From<serde_json::Error> for ProtocolError {
    fn from(error: serde_json::Error) -> Self {
        ProtocolError::Decode(error.to_string().into())
    }
}
