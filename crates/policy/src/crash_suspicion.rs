//! Crashes of instances with the same request in flight.

use crate::DepartureNotice;

/// Crashes of instances with the same request in flight, as one host tells another.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashSuspicion {
    /// Hash of what makes the request the same: service, path, caller and body.
    pub request: u64,
    /// Number of the round; each success of the request begins the next one.
    pub round: u32,
    /// Starts of the instances that crashed in this round.
    pub crashed: Vec<DepartureNotice>,
    /// Milliseconds since the last change.
    pub age_ms: u64,
}
