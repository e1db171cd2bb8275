//! Chooses the instances that a hub's answer describes to one host.
//!
//! An answer has the instances whose estimate or load changed by more than the
//! host's choices depend on, and in turn a part of the others. Each instance
//! is therefore described again after a fixed number of answers, which makes up
//! for lost ones.

use std::collections::HashMap;

use crocushoist_state::ClockTime;

use crate::FaultEstimate;
use crate::InstanceState;

/// Number of answers after which each instance has been described.
const ANSWERS_PER_TURN: u32 = 16;

/// Difference of the fault probability from which an instance is described again.
const MIN_PROBABILITY_CHANGE: f64 = 0.03;

/// Relative difference of the latency, likewise.
const MIN_LATENCY_CHANGE: f64 = 0.15;

/// What a host was last told about an instance.
#[derive(Clone, Copy, Debug)]
struct SentEstimate {
    fault: FaultEstimate,
    latency_ms: f64,
    load: u32,
}

/// Instances that answers described to one host.
#[derive(Clone, Debug, Default)]
pub struct EstimateSelection {
    /// Number of answers so far.
    answers: u32,
    /// Last description by instance hash.
    sent: HashMap<u32, SentEstimate>,
}

impl EstimateSelection {
    /// Starts the next answer.
    pub fn start_answer(&mut self) {
        self.answers = self.answers.wrapping_add(1);
    }

    /// Whether the answer describes the instance with `state` and `load` requests in flight from
    /// other hosts. If so, records it as described.
    pub fn select(&mut self, state: &InstanceState, load: u32, now: ClockTime) -> bool {
        let probability = state.fault_probability(now);
        let latency_ms = state.latency_ms();
        let is_turn = (state.hash.wrapping_add(self.answers)).is_multiple_of(ANSWERS_PER_TURN);
        let is_changed = self.sent.get(&state.hash).is_none_or(|sent| {
            let probability_change = (sent.fault.probability(now) - probability).abs();
            let latency_change = (sent.latency_ms - latency_ms).abs();
            // Below the number of slots nothing waits, whatever the load is.
            let load_matters = sent.load.max(load) >= state.listing.slots;
            probability_change >= MIN_PROBABILITY_CHANGE
                || latency_change >= sent.latency_ms * MIN_LATENCY_CHANGE
                || (load_matters && sent.load != load)
        });
        if !is_turn && !is_changed {
            return false;
        }
        let described = SentEstimate {
            fault: FaultEstimate::received(probability, now),
            latency_ms,
            load,
        };
        self.sent.insert(state.hash, described);
        true
    }
}
