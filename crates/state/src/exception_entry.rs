//! Exceptions in the configuration.

use compact_str::CompactString;

/// Override of a default for one workspace or service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExceptionEntry {
    /// Value used in place of the default.
    pub value: u32,
    /// Reason for the exception, as the operator gave it.
    pub reason: CompactString,
    /// Operator who set the exception.
    pub author: CompactString,
    /// Offset of the log record that last changed the exception, plus one.
    pub revision: u64,
}
