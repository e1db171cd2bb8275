//! Errors of replaying the platform's log.

use compact_str::CompactString;
use displaydoc::Display;

use crocushoist_state::ConfigError;

/// Error of replaying the platform's log.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ReplayError {
    /// record {offset} is out of sequence, the next expected offset is {next}
    Gap {
        /// Offset of the record.
        offset: u64,
        /// Offset expected next.
        next: u64,
    },
    /// edit refused: {0}
    Refused(ConfigError),
    /// the log no longer holds record {next}, its oldest record is {oldest}
    Expired {
        /// Offset needed next.
        next: u64,
        /// Offset of the oldest record in the log.
        oldest: u64,
    },
    /// the log holds no complete snapshot between its oldest record {oldest} and its tail {tail}
    NoSnapshot {
        /// Offset of the oldest record in the log.
        oldest: u64,
        /// Offset after the newest record.
        tail: u64,
    },
    /// snapshot taken at offset {as_of} does not match its hash: {cause}
    CorruptSnapshot {
        /// Offset at which the snapshot was taken.
        as_of: u64,
        /// What differs.
        cause: CompactString,
    },
}

impl std::error::Error for ReplayError {}

impl From<ConfigError> for ReplayError {
    fn from(error: ConfigError) -> Self {
        ReplayError::Refused(error)
    }
}
