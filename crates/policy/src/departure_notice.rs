//! Statement that one start of an instance is leaving.

/// Statement that one start of an instance is leaving.
///
/// It holds until the instance starts again: a later start has another notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DepartureNotice {
    /// Hash of the instance's id.
    pub instance: u32,
    /// Start time of the instance in Unix milliseconds.
    pub started_at_unix_ms: u64,
}
