//! Belief that an instance is faulty, from the outcomes of requests.
//!
//! A two-state filter: an instance is sound or faulty, changes between the two
//! at known mean rates, and each outcome moves the odds by how much likelier
//! it is in one state than in the other. A single failure speaks strongly
//! against an instance, because sound instances rarely fail, and without
//! further outcomes the belief relaxes to its long-term mean, so that an
//! instance which is avoided comes back without a probe.

use crocushoist_state::ClockTime;

/// Mean seconds that a fault lasts; gray faults of the sites last 5 to 9 s.
const FAULT_SECONDS: f64 = 6.0;

/// Share of instances that are faulty in the long run, from the sites' day files.
const FAULTY_SHARE: f64 = 0.10;

const MIN_BELIEF: f64 = 0.001;
const MAX_BELIEF: f64 = 0.95;

/// How an attempt at an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Whole answer within the objective.
    Good,
    /// Whole answer after the objective.
    Late,
    /// Error, cut, crossed or missing answer.
    Failed,
    /// Could not be connected to.
    Unreachable,
}

impl AttemptOutcome {
    /// Likelihood of the outcome at a sound and at a faulty instance.
    fn likelihoods(self) -> (f64, f64) {
        match self {
            AttemptOutcome::Good => (0.93, 0.25),
            AttemptOutcome::Late => (0.05, 0.20),
            AttemptOutcome::Failed => (0.02, 0.50),
            AttemptOutcome::Unreachable => (0.03, 0.50),
        }
    }
}

/// Belief that an instance is faulty.
#[derive(Clone, Copy, Debug)]
pub struct InstanceBelief {
    faulty: f64,
    at: ClockTime,
}

impl InstanceBelief {
    /// Belief about an instance of which nothing was seen.
    pub fn new(now: ClockTime) -> Self {
        InstanceBelief {
            faulty: FAULTY_SHARE,
            at: now,
        }
    }

    /// Belief that was told by a peer.
    pub fn told(faulty: f64, now: ClockTime) -> Self {
        InstanceBelief { faulty, at: now }
    }

    /// Probability that the instance is faulty at `now`.
    pub fn faulty(&self, now: ClockTime) -> f64 {
        let seconds = now.since(self.at) as f64 / 1_000.0;
        let kept = (-seconds / FAULT_SECONDS).exp();
        FAULTY_SHARE + (self.faulty - FAULTY_SHARE) * kept
    }

    /// Takes an outcome into account.
    pub fn observe(&mut self, outcome: AttemptOutcome, now: ClockTime) {
        let prior = self.faulty(now);
        let (if_sound, if_faulty) = outcome.likelihoods();
        let faulty = prior * if_faulty;
        let sound = (1.0 - prior) * if_sound;
        self.faulty = (faulty / (faulty + sound)).clamp(MIN_BELIEF, MAX_BELIEF);
        self.at = self.at.max(now);
    }
}
