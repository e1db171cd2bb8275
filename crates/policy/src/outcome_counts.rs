//! Numbers of attempts at an instance by outcome.

/// Numbers of attempts by outcome since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Complete responses within the objective.
    pub good: u32,
    /// Complete responses after the objective.
    pub late: u32,
    /// Failed attempts.
    pub failed: u32,
    /// Failures to establish a connection.
    pub unreachable: u32,
    /// Sum of the latencies of complete responses, in milliseconds.
    pub latency_sum_ms: u32,
}
