//! Counts of request outcomes at one instance.

/// Outcomes of one host's requests to one instance since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceOutcomes {
    /// Number of complete responses.
    pub succeeded: u32,
    /// Number of requests with an error, a truncated or a mismatched response, or none at all.
    pub failed: u32,
    /// Number of complete responses that took several times the typical latency.
    pub slow: u32,
    /// Sum of the latencies of complete responses, in microseconds.
    pub latency_sum: u64,
}

impl InstanceOutcomes {
    /// Whether no outcome was counted.
    pub fn is_empty(&self) -> bool {
        *self == InstanceOutcomes::default()
    }

    /// Whether any request failed or was slow.
    pub fn has_failed_or_slow(&self) -> bool {
        self.failed > 0 || self.slow > 0
    }

    /// Number of requests, whether they succeeded or failed.
    pub fn total(&self) -> u32 {
        self.succeeded + self.failed
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &InstanceOutcomes) {
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.slow += other.slow;
        self.latency_sum += other.latency_sum;
    }
}
