//! Selects one instance among those that accept a request.
//!
//! An instance is drawn at random with a weight that decreases with its
//! expected cost: latency, queue, distance to another data centre, warm-up, a
//! new connection and the probability of a fault. Suspected instances get a
//! small part of the idempotent requests as trial requests, which show when
//! they have recovered.

use crocushoist_state::ClockTime;

use crate::InstanceKey;
use crate::InstanceState;
use crate::RetrySafety;
use crate::TrialOffer;

/// Costs, in units of the service's mean latency.
///
/// The queue costs are per waiting request per slot and per square of it, the latency cost is per
/// relative latency, and the fault costs are per fault probability above `HEALTHY_PROBABILITY`.
const QUEUE_COST: f64 = 0.3;
const QUADRATIC_QUEUE_COST: f64 = 0.12;
const LATENCY_COST: f64 = 0.7;
const REMOTE_COST: f64 = 0.9;
const WARM_UP_COST: f64 = 0.8;
const CONNECT_COST: f64 = 0.15;
const FAULT_COST_AT_MOST_ONCE: f64 = 9.0;
const FAULT_COST_IDEMPOTENT: f64 = 5.0;

/// Relative latency, in units of the service's mean, below which a faster instance gains no
/// further preference.
const MIN_RELATIVE_LATENCY: f64 = 0.85;

/// Cost difference at which the weight of an instance falls by the factor e.
const COST_SCALE: f64 = 0.3;

/// Fault probability up to which an instance counts as healthy; somewhat above the long-term
/// mean.
const HEALTHY_PROBABILITY: f64 = 0.15;

/// Fault probability from which an instance is suspected and gets few requests other than trials.
pub(crate) const SUSPECT_PROBABILITY: f64 = 0.25;

/// Fraction of idempotent requests used as trials without a hub, per suspected instance and at most in total.
///
/// At 30 idempotent requests a second, each suspected instance gets a trial about every two
/// seconds. The maximum still allows one trial a second for each of a third of 170 instances.
const TRIAL_FRACTION: f64 = 0.015;
const MAX_TRIAL_FRACTION: f64 = 0.3;

/// Instance that may be selected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InstanceCandidate<'a> {
    /// Key of the instance in the table.
    pub(crate) key: InstanceKey,
    /// Current state of the instance.
    pub(crate) state: &'a InstanceState,
    /// Whether an idle connection to the instance exists.
    pub(crate) is_connected: bool,
    /// Whether the instance named a limit, and this host has a permit for the request.
    pub(crate) is_limited: bool,
}

/// Inputs of one selection.
#[derive(Debug)]
pub(crate) struct InstanceSelector<'a> {
    /// Instances that accept the request.
    pub(crate) candidates: Vec<InstanceCandidate<'a>>,
    /// Data centre of this host.
    pub(crate) data_centre: &'a str,
    /// Whether the request may be executed more than once.
    pub(crate) retry_safety: RetrySafety,
    /// Mean latency of the service in milliseconds.
    pub(crate) mean_latency_ms: f64,
    /// Whether a hub offers trials.
    pub(crate) has_hub: bool,
    /// Time of the selection.
    pub(crate) now: ClockTime,
}

/// Returns the candidates that are not in backoff, or all of them if every one is.
pub(crate) fn prefer_past_backoff(
    candidates: Vec<InstanceCandidate<'_>>,
    now: ClockTime,
) -> Vec<InstanceCandidate<'_>> {
    let is_past_backoff = |candidate: &&InstanceCandidate<'_>| candidate.state.is_past_backoff(now);
    let past_backoff: Vec<_> = candidates.iter().filter(is_past_backoff).copied().collect();
    if past_backoff.is_empty() {
        candidates
    } else {
        past_backoff
    }
}

impl InstanceSelector<'_> {
    /// Selects an instance with two random numbers from 0 to 1; `allow_trial` permits a trial
    /// request.
    pub(crate) fn select(&self, draws: (f64, f64), allow_trial: bool) -> Option<InstanceKey> {
        let trial = if allow_trial && self.retry_safety == RetrySafety::Idempotent {
            self.select_trial(draws)
        } else {
            self.find_trial(draws.1, |offer| offer.is_required)
        };
        trial
            .or_else(|| self.select_permitted(draws.1, allow_trial))
            .or_else(|| self.select_by_cost(draws.1))
    }

    /// Selects an instance with a limit that has room, drawn with a random number from 0 to 1.
    ///
    /// Permits lapse soon, and the instances without a limit can wait for the next request. A
    /// permit for a suspected instance is a trial.
    fn select_permitted(&self, draw: f64, allow_trial: bool) -> Option<InstanceKey> {
        let may_try = allow_trial && self.retry_safety == RetrySafety::Idempotent;
        let has_room = |candidate: &&InstanceCandidate<'_>| {
            candidate.is_limited
                && candidate.state.queue_per_slot() <= 0.0
                && (may_try || !candidate.state.is_suspected(self.now))
        };
        let permitted: Vec<_> = self.candidates.iter().filter(has_room).collect();
        let index = (draw * permitted.len() as f64) as usize;
        permitted.get(index).map(|candidate| candidate.key)
    }

    /// Selects a suspected instance for a trial request: one that the hub offered, or one
    /// drawn with two random numbers from 0 to 1.
    fn select_trial(&self, draws: (f64, f64)) -> Option<InstanceKey> {
        let offered = self.find_trial(draws.1, |_| true);
        if offered.is_some() || self.has_hub {
            return offered;
        }
        let suspects: Vec<InstanceKey> = self
            .candidates
            .iter()
            .filter(|candidate| candidate.state.is_suspected(self.now))
            .map(|candidate| candidate.key)
            .collect();
        let fraction = (suspects.len() as f64 * TRIAL_FRACTION).min(MAX_TRIAL_FRACTION);
        if draws.0 >= fraction {
            return None;
        }
        let index = (draws.1 * suspects.len() as f64) as usize;
        suspects.get(index).copied()
    }

    /// Instance whose trial the hub offered to this host and that `accepts` permits, drawn with a
    /// random number from 0 to 1.
    fn find_trial(&self, draw: f64, accepts: impl Fn(TrialOffer) -> bool) -> Option<InstanceKey> {
        let is_offered = |candidate: &&InstanceCandidate<'_>| {
            candidate.state.trial(self.now).is_some_and(&accepts)
        };
        let offered: Vec<_> = self.candidates.iter().filter(is_offered).collect();
        let index = (draw * offered.len() as f64) as usize;
        offered.get(index).map(|candidate| candidate.key)
    }

    /// Selects an instance by expected cost, with a random number from 0 to 1.
    fn select_by_cost(&self, draw: f64) -> Option<InstanceKey> {
        let costs: Vec<f64> = self
            .candidates
            .iter()
            .map(|candidate| self.cost(candidate))
            .collect();
        let min_cost = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let weights: Vec<f64> = costs
            .iter()
            .map(|cost| (-(cost - min_cost) / COST_SCALE).exp())
            .collect();
        let mut remaining = draw * weights.iter().sum::<f64>();
        for (candidate, weight) in self.candidates.iter().zip(&weights) {
            remaining -= weight;
            if remaining <= 0.0 {
                return Some(candidate.key);
            }
        }
        self.candidates.last().map(|candidate| candidate.key)
    }

    /// Expected cost of the request, in units of the service's mean latency.
    fn cost(&self, candidate: &InstanceCandidate<'_>) -> f64 {
        let state = candidate.state;
        let fault_cost = match self.retry_safety {
            RetrySafety::Idempotent => FAULT_COST_IDEMPOTENT,
            RetrySafety::AtMostOnce => FAULT_COST_AT_MOST_ONCE,
        };
        let latency = (state.latency_ms() / self.mean_latency_ms).max(MIN_RELATIVE_LATENCY);
        let excess_probability = (state.fault_probability(self.now) - HEALTHY_PROBABILITY).max(0.0);
        let mut cost = latency * LATENCY_COST
            + queue_cost(state.queue_per_slot())
            + excess_probability * fault_cost;
        if state.listing.data_centre != self.data_centre {
            cost += REMOTE_COST;
        }
        if state.warm_up_left_ms(self.now) > 0 {
            cost += WARM_UP_COST;
        }
        if !candidate.is_connected {
            cost += CONNECT_COST;
        }
        cost
    }
}

/// Cost of a queue. It grows slowly at first, since the loads in reports are a few requests out
/// of date.
fn queue_cost(queue: f64) -> f64 {
    queue * QUEUE_COST + queue * queue * QUADRATIC_QUEUE_COST
}
