//! Limit on requests in a sliding window.

/// Limit on requests in a sliding window, of a workspace or of the retries at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimit {
    /// Requests a second; zero means no limit.
    pub rate: f64,
    /// Requests allowed at once beyond the rate.
    pub burst: f64,
    /// Requests per window beyond rate and burst that the users' platform tolerates because of
    /// late reports.
    pub slack: f64,
    /// Whether nearly full windows are recorded in the store, so that a restart of all hosts does
    /// not give them out again.
    pub is_recorded: bool,
}
