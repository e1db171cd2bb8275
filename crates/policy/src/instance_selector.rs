//! The choice of an instance among those that take a request.
//!
//! An instance is drawn at random, with weights that fall with its expected
//! cost: latency, queue, the way to another data centre, a cold start, a new
//! connection, and the belief that it is faulty. Suspected instances get a
//! trickle of idempotent requests that shows when they are well again.

use crocushoist_state::ClockTime;

use crate::InstanceKey;
use crate::InstanceState;
use crate::RepeatKind;

/// Costs in units of the service's mean latency.
const QUEUE_COST: f64 = 0.3;
const LONG_QUEUE_COST: f64 = 0.12;
const LATENCY_COST: f64 = 0.7;
const OTHER_CENTRE_COST: f64 = 0.5;
const COLD_COST: f64 = 0.8;
const CONNECT_COST: f64 = 0.15;
const FAULT_COST_ONCE: f64 = 9.0;
const FAULT_COST_IDEMPOTENT: f64 = 5.0;

/// Latency, in units of the mean, below which an instance is not preferred any more.
const LEAST_LATENCY: f64 = 0.85;

/// Cost difference at which an instance gets an e-th of the requests.
const COST_SCALE: f64 = 0.3;

/// Belief up to which an instance is taken for sound, somewhat above the long-term mean.
const SOUND_BELIEF: f64 = 0.15;

/// Belief from which an instance is tried only now and then.
pub(crate) const SUSPECT_BELIEF: f64 = 0.25;

/// Share of idempotent requests that try a suspected instance, for each suspected one, and the most.
///
/// With some 30 idempotent requests a second a suspected instance gets one every two seconds.
/// The most leaves one trial a second to each of a third of 170 instances.
const TRIAL_SHARE: f64 = 0.015;
const MAX_TRIAL_SHARE: f64 = 0.3;

/// Instance that may be chosen, and whether a connection to it is at hand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InstanceCandidate<'a> {
    /// Key of the instance.
    pub(crate) key: InstanceKey,
    /// State of the instance.
    pub(crate) state: &'a InstanceState,
    /// Whether a connection is at hand.
    pub(crate) is_connected: bool,
}

/// The choice of an instance among those that take a request.
#[derive(Debug)]
pub(crate) struct InstanceChoice<'a> {
    /// Instances that take the request.
    pub(crate) candidates: Vec<InstanceCandidate<'a>>,
    /// Data centre of this host.
    pub(crate) data_centre: &'a str,
    /// How often the request may run.
    pub(crate) kind: RepeatKind,
    /// Mean latency of the service in milliseconds.
    pub(crate) mean_latency_ms: f64,
    /// Time of the choice.
    pub(crate) now: ClockTime,
}

/// The candidates that are not passed over for a moment, or all if there are none.
pub(crate) fn prefer_rested(
    candidates: Vec<InstanceCandidate<'_>>,
    now: ClockTime,
) -> Vec<InstanceCandidate<'_>> {
    let is_rested = |candidate: &&InstanceCandidate<'_>| candidate.state.is_rested(now);
    let rested: Vec<_> = candidates.iter().filter(is_rested).copied().collect();
    if rested.is_empty() {
        candidates
    } else {
        rested
    }
}

impl InstanceChoice<'_> {
    /// Draws an instance by two random numbers from 0 to 1; `may_try` allows a trial.
    pub(crate) fn draw(&self, draws: (f64, f64), may_try: bool) -> Option<InstanceKey> {
        let trial = if may_try && self.kind == RepeatKind::Idempotent {
            self.draw_trial(draws)
        } else {
            None
        };
        trial.or_else(|| self.draw_by_cost(draws.1))
    }

    /// A suspected instance for a trial: one that the hub gave, or drawn by two random
    /// numbers from 0 to 1.
    fn draw_trial(&self, draws: (f64, f64)) -> Option<InstanceKey> {
        let given = self
            .candidates
            .iter()
            .find(|candidate| candidate.state.has_trial(self.now));
        if let Some(candidate) = given {
            return Some(candidate.key);
        }
        let suspects: Vec<InstanceKey> = self
            .candidates
            .iter()
            .filter(|candidate| candidate.state.faulty(self.now) >= SUSPECT_BELIEF)
            .map(|candidate| candidate.key)
            .collect();
        let share = (suspects.len() as f64 * TRIAL_SHARE).min(MAX_TRIAL_SHARE);
        if draws.0 >= share {
            return None;
        }
        let index = (draws.1 * suspects.len() as f64) as usize;
        suspects.get(index).copied()
    }

    /// Draws an instance by its expected cost, by a random number from 0 to 1.
    fn draw_by_cost(&self, draw: f64) -> Option<InstanceKey> {
        let costs: Vec<f64> = self.candidates.iter().map(|one| self.cost(one)).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let weights: Vec<f64> = costs
            .iter()
            .map(|cost| (-(cost - least) / COST_SCALE).exp())
            .collect();
        let mut rest = draw * weights.iter().sum::<f64>();
        for (candidate, weight) in self.candidates.iter().zip(&weights) {
            rest -= weight;
            if rest <= 0.0 {
                return Some(candidate.key);
            }
        }
        self.candidates.last().map(|candidate| candidate.key)
    }

    /// Expected cost of the request, in units of the service's mean latency.
    fn cost(&self, candidate: &InstanceCandidate<'_>) -> f64 {
        let state = candidate.state;
        let fault_cost = match self.kind {
            RepeatKind::Idempotent => FAULT_COST_IDEMPOTENT,
            RepeatKind::AtMostOnce => FAULT_COST_ONCE,
        };
        let latency = (state.latency_ms() / self.mean_latency_ms).max(LEAST_LATENCY);
        let suspicion = (state.faulty(self.now) - SOUND_BELIEF).max(0.0);
        let mut cost = latency * LATENCY_COST + queue_cost(state.queue()) + suspicion * fault_cost;
        if state.listing.data_centre != self.data_centre {
            cost += OTHER_CENTRE_COST;
        }
        if state.warm_up_ms(self.now) > 0 {
            cost += COLD_COST;
        }
        if !candidate.is_connected {
            cost += CONNECT_COST;
        }
        cost
    }
}

/// Cost of a queue; differences of a few requests are smaller than what reports miss.
fn queue_cost(queue: f64) -> f64 {
    queue * QUEUE_COST + queue * queue * LONG_QUEUE_COST
}
