//! Messages for reading and appending to the platform's log.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::ProtocolError;

/// Records of the log from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Offset of the oldest record in the log.
    pub oldest: u64,
    /// Offset after the newest record.
    pub tail: u64,
    /// Offset of the first record in this page.
    pub first: u64,
    /// Records in base64, in the order of their offsets.
    pub records: Vec<String>,
}

impl LogPage {
    /// Encodes the bytes of a record in base64, as pages and appends carry them.
    pub fn encode(bytes: &[u8]) -> String {
        STANDARD.encode(bytes)
    }

    /// Decodes the base64 text of a record.
    ///
    /// # Errors
    ///
    /// [`ProtocolError::Decode`] if `text` is not valid base64.
    pub fn decode(text: &str) -> Result<Vec<u8>, ProtocolError> {
        STANDARD
            .decode(text)
            .map_err(|error| ProtocolError::Decode(CompactString::from(error.to_string())))
    }
}

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the new record.
    pub offset: u64,
}
