//! What one host saw of one instance since its last report.

/// What one host saw of one instance since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceEvidence {
    /// Whole answers.
    pub succeeded: u32,
    /// Errors, cut, crossed or missing answers.
    pub failed: u32,
    /// Whole answers that took several times the typical latency.
    pub slow: u32,
    /// Sum of the latencies of whole answers in microseconds.
    pub latency_sum: u64,
}

impl InstanceEvidence {
    /// Whether nothing was seen.
    pub fn is_empty(&self) -> bool {
        *self == InstanceEvidence::default()
    }

    /// Whether something speaks against the instance.
    pub fn is_bad(&self) -> bool {
        self.failed > 0 || self.slow > 0
    }

    /// Number of requests.
    pub fn total(&self) -> u32 {
        self.succeeded + self.failed
    }

    /// Adds what `other` saw.
    pub fn add(&mut self, other: &InstanceEvidence) {
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.slow += other.slow;
        self.latency_sum += other.latency_sum;
    }
}
