//! Faults that a stand-in instance can be given while it runs.

use serde::Deserialize;
use serde::Serialize;

/// Faults of one instance; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct InstanceFaults {
    /// Factor on the service time of slow requests; 0 and 1 mean no slowdown.
    pub slow_factor: u32,
    /// Percentage of requests that are slow; 0 means all of them.
    pub slow_percent: u32,
    /// Percentage of requests that get an HTTP 500 response.
    pub error_percent: u32,
    /// Whether requests are accepted and then held for a minute before the response.
    #[serde(rename = "hang")]
    pub hangs: bool,
    /// Whether the connection fails in the middle of each response body.
    #[serde(rename = "short")]
    pub truncates_responses: bool,
    /// Whether responses carry the ID of another attempt.
    #[serde(rename = "crossed")]
    pub changes_attempt_id: bool,
    /// Whether responses state that the instance is draining.
    #[serde(rename = "draining")]
    pub is_draining: bool,
}
