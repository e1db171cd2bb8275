//! What is known of the use of a workspace's window when its limiter is created.

/// What is known of the use of a workspace's window when its limiter is created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialUse {
    /// Number of requests in the window: counted by another hub, or zero after a whole window
    /// without any.
    Counted(u32),
    /// The near-full records were read recently, and at least one lists the workspace.
    NearFull,
    /// The near-full records were read recently, and none lists the workspace.
    Unrecorded,
    /// The near-full records were not read recently.
    Unknown,
}
