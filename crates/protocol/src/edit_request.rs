//! Configuration edits by operators.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::WireChange;

/// Request of an operator to edit the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRequest {
    /// Random id of the edit, 32 hexadecimal digits. A second edit with the same id is ignored.
    pub id: CompactString,
    /// Revision on which the edit is based, the current one if absent.
    pub base: Option<u64>,
    /// Who requests the edit.
    pub author: CompactString,
    /// The change.
    pub change: WireChange,
}

/// Response to an accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditResponse {
    /// Offset of the edit's record.
    pub offset: u64,
    /// Milliseconds from the request to the acceptance.
    pub accepted_after_ms: u64,
}

/// Response to an edit that was refused or not accepted in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditFailure {
    /// Error message.
    pub error: CompactString,
    /// Whether the edit may still take effect.
    pub may_take_effect: bool,
}
