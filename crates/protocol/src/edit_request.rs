//! Edits as operators send them.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::WireChange;

/// Edit that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditCall {
    /// Random number of the edit, 32 hexadecimal digits; a repetition is ignored.
    pub id: CompactString,
    /// Revision that the edit is based on, the current one if absent.
    pub base: Option<u64>,
    /// Who asks.
    pub author: CompactString,
    /// The change.
    pub change: WireChange,
}

/// Answer to an accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAnswer {
    /// Offset of its record.
    pub offset: u64,
    /// Milliseconds from the request to the acceptance.
    pub accepted_after_ms: u64,
}

/// Answer to an edit that was refused or could not be accepted in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditFailure {
    /// What happened.
    pub error: CompactString,
    /// Whether the edit may still take effect.
    pub may_take_effect: bool,
}
