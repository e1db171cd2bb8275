//! Rate limit of a workspace in the configuration.

/// Rate limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceLimit {
    /// Sustained rate in requests per second.
    pub rate: u32,
    /// Number of requests that may be sent in one burst.
    pub burst: u32,
}
