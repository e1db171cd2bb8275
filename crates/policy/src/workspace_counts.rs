//! What hosts admitted and refused of a workspace's requests.

/// Requests of a workspace that hosts admitted and refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceUse {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Requests admitted.
    pub admitted: u32,
    /// Requests refused.
    pub refused: u32,
    /// Requests admitted by all hosts in the last window, if a hub that knows it tells.
    pub in_window: Option<u32>,
}
