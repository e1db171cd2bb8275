//! Gray faults of an instance, switched while it runs.

use serde::Deserialize;
use serde::Serialize;

/// Faults of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultScript {
    /// Times that a request takes longer, 1 or 0 for none.
    pub slow_factor: u32,
    /// Percent of requests that are slow, all if zero.
    pub slow_percent: u32,
    /// Percent of requests that fail with an error.
    pub error_percent: u32,
    /// Whether requests are accepted and never answered.
    pub hang: bool,
    /// Whether answers are cut short.
    pub short: bool,
    /// Whether answers carry the number of another attempt.
    pub crossed: bool,
    /// Whether the instance answers that it is leaving.
    pub draining: bool,
}
