//! An exception of the folded configuration.

use compact_str::CompactString;

/// One exception from the defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExceptionEntry {
    /// Value in place of the default.
    pub value: u32,
    /// Why it stands.
    pub reason: CompactString,
    /// Who set it.
    pub author: CompactString,
    /// Offset of the record that last changed it, plus one.
    pub revision: u64,
}
