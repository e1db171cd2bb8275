//! Numbers of attempts at an instance by outcome.

use crate::AttemptOutcome;

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

impl OutcomeCounts {
    /// Number of attempts by outcome.
    pub fn by_outcome(&self) -> [(AttemptOutcome, u32); 4] {
        [
            (AttemptOutcome::Good, self.good),
            (AttemptOutcome::Late, self.late),
            (AttemptOutcome::Failed, self.failed),
            (AttemptOutcome::Unreachable, self.unreachable),
        ]
    }
}
