//! Limit of a workspace.

/// Limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once beyond the rate.
    pub burst: f64,
    /// Requests beyond the limit that the platform puts down to late reports, in a window.
    pub slack: f64,
}
