//! Errors of the coordination layer.

use compact_str::CompactString;
use displaydoc::Display;

use crocushoist_state::ConfigError;

/// Error of the coordination layer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FoldError {
    /// record {offset} does not follow, the next offset is {next}
    Gap {
        /// Offset of the record.
        offset: u64,
        /// Offset that the fold needs next.
        next: u64,
    },
    /// edit refused: {0}
    Refused(ConfigError),
    /// the log no longer keeps record {next}, its oldest is {oldest}
    Expired {
        /// Offset that the fold needs next.
        next: u64,
        /// Oldest offset that the log keeps.
        oldest: u64,
    },
    /// no whole snapshot stands between the log's oldest record {oldest} and its tail {tail}
    NoSnapshot {
        /// Oldest offset that the log keeps.
        oldest: u64,
        /// Offset after the newest record.
        tail: u64,
    },
    /// snapshot of offset {as_of} does not match its hash: {cause}
    CorruptSnapshot {
        /// Offset that the snapshot claims.
        as_of: u64,
        /// What is wrong.
        cause: CompactString,
    },
}

impl std::error::Error for FoldError {}

impl From<ConfigError> for FoldError {
    fn from(error: ConfigError) -> Self {
        FoldError::Refused(error)
    }
}
