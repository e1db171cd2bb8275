//! Numbers of a workspace's requests that hosts admitted and refused.

/// Numbers of a workspace's requests that hosts admitted and refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceCounts {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Requests admitted.
    pub admitted: u32,
    /// Requests refused.
    pub refused: u32,
    /// Requests that all hosts admitted in the last window, if the reporting hub knows them.
    pub in_window: Option<u32>,
}
