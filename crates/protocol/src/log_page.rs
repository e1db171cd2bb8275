//! Pages of the platform's log.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::ProtocolError;

/// Records of the log from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Oldest offset that the log keeps.
    pub oldest: u64,
    /// Offset after the newest record.
    pub tail: u64,
    /// Offset of the first record in this page.
    pub first: u64,
    /// Records in base64, in order.
    pub records: Vec<String>,
}

impl LogPage {
    /// Encodes record bytes for a page or an append.
    pub fn encode(bytes: &[u8]) -> String {
        STANDARD.encode(bytes)
    }

    /// Decodes a record of a page or an append.
    pub fn decode(text: &str) -> Result<Vec<u8>, ProtocolError> {
        STANDARD
            .decode(text)
            .map_err(|error| ProtocolError::Decode(CompactString::from(error.to_string())))
    }
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the new record.
    pub offset: u64,
}
