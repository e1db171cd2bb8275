//! Rate and burst of a workspace in the folded configuration.

/// Rate and burst of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceLimit {
    /// Requests a second.
    pub rate: u32,
    /// Requests at once.
    pub burst: u32,
}
