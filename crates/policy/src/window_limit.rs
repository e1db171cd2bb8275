//! Limit on the requests of a workspace in a sliding window.

/// Limit on the requests of a workspace in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimit {
    /// Requests a second; zero means no limit.
    pub rate: f64,
    /// Requests allowed at once beyond the rate.
    pub burst: f64,
    /// Requests per window beyond rate and burst that the users' platform tolerates because of
    /// late reports.
    pub slack: f64,
}
