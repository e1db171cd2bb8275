//! Probability that an instance is faulty, estimated from the outcomes of
//! requests.
//!
//! The estimate is a two-state Bayes filter. An instance is healthy or faulty
//! and changes between the two at known mean rates; each outcome changes the
//! odds by the ratio of its likelihoods in the two states. A single failure is
//! strong evidence of a fault, because healthy instances rarely fail. Without
//! further outcomes the probability decays to its long-term mean, so an
//! instance that was avoided is used again without a separate health check.

use crocushoist_state::ClockTime;

/// Mean duration of a fault in seconds; gray faults at the users' sites last 5 to 9 s.
const MEAN_FAULT_SECONDS: f64 = 6.0;

/// Long-term fraction of instances that are faulty, from the daily records of the users' sites.
const FAULTY_FRACTION: f64 = 0.10;

/// Bounds of the probability after an outcome.
const MIN_PROBABILITY: f64 = 0.001;
const MAX_PROBABILITY: f64 = 0.95;

/// Outcome of one attempt at an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Complete response within the objective.
    Good,
    /// Complete response after the objective.
    Late,
    /// Error, or a response that is truncated, missing or belongs to another request.
    Failed,
    /// The connection could not be established.
    Unreachable,
}

impl AttemptOutcome {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AttemptOutcome::Good => "good",
            AttemptOutcome::Late => "late",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Unreachable => "unreachable",
        }
    }

    /// Likelihoods of the outcome at a healthy and at a faulty instance.
    fn likelihoods(self) -> (f64, f64) {
        match self {
            AttemptOutcome::Good => (0.93, 0.25),
            AttemptOutcome::Late => (0.05, 0.20),
            AttemptOutcome::Failed => (0.02, 0.50),
            AttemptOutcome::Unreachable => (0.03, 0.50),
        }
    }
}

/// Probability that an instance is faulty, as of its last update.
#[derive(Clone, Copy, Debug)]
pub struct FaultEstimate {
    /// Probability at `updated_at`.
    probability: f64,
    /// Time of the last outcome, or of the receipt from a hub.
    updated_at: ClockTime,
}

impl FaultEstimate {
    /// Estimate for an instance without any outcome.
    pub fn new(now: ClockTime) -> Self {
        FaultEstimate {
            probability: FAULTY_FRACTION,
            updated_at: now,
        }
    }

    /// Estimate received from a hub.
    pub fn received(probability: f64, now: ClockTime) -> Self {
        FaultEstimate {
            probability,
            updated_at: now,
        }
    }

    /// Probability at `now`, after its decay towards the long-term mean.
    pub fn probability(&self, now: ClockTime) -> f64 {
        let seconds = now.since(self.updated_at) as f64 / 1_000.0;
        let decay = (-seconds / MEAN_FAULT_SECONDS).exp();
        FAULTY_FRACTION + (self.probability - FAULTY_FRACTION) * decay
    }

    /// Updates the probability with the outcome of an attempt.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome, now: ClockTime) {
        let prior = self.probability(now);
        let (if_healthy, if_faulty) = outcome.likelihoods();
        let faulty = prior * if_faulty;
        let healthy = (1.0 - prior) * if_healthy;
        self.probability = (faulty / (faulty + healthy)).clamp(MIN_PROBABILITY, MAX_PROBABILITY);
        self.updated_at = self.updated_at.max(now);
    }
}
