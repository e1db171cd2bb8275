//! Known use of a workspace's window when its limiter is created.

/// Known use of a workspace's window when its limiter is created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialUse {
    /// Number of requests that other hubs counted.
    Counted(u32),
    /// A near-full record in the store lists the workspace.
    NearFull,
    /// No near-full record in the store lists the workspace.
    Unrecorded,
    /// The near-full records were not read recently.
    Unknown,
}
