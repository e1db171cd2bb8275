//! Instances that a hub describes to its hosts, in the order of their changes.
//!
//! A hub looks for changes once for all hosts. An answer has the instances that
//! changed since the last one to the same host, and in turn a part of the
//! others, which makes up for lost answers. The cost of an answer thus depends
//! on what changed, not on the number of instances.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crocushoist_state::ClockTime;

use crate::FaultEstimate;
use crate::InstanceKey;
use crate::InstanceState;
use crate::InstanceTable;

/// Minimum interval in milliseconds between searches for changes.
const SEARCH_INTERVAL_MS: u64 = 10;

/// Number of answers after which each instance has been described.
const ANSWERS_PER_TURN: usize = 32;

/// Difference of the fault probability from which an instance is described again.
const MIN_PROBABILITY_CHANGE: f64 = 0.03;

/// Relative difference of the latency, likewise.
const MIN_LATENCY_CHANGE: f64 = 0.15;

/// What was last described of an instance.
#[derive(Clone, Copy, Debug)]
struct DescribedState {
    fault: FaultEstimate,
    latency_ms: f64,
    load: u32,
    change: u64,
}

impl DescribedState {
    /// Whether `state` and `load` differ by more than the choices of hosts depend on.
    fn is_outdated(&self, state: &InstanceState, load: u32, now: ClockTime) -> bool {
        let probability_change = self.fault.probability(now) - state.fault_probability(now);
        let latency_change = self.latency_ms - state.latency_ms();
        // Below the number of slots nothing waits, whatever the load is.
        let load_matters = self.load.max(load) >= state.listing.slots;
        probability_change.abs() >= MIN_PROBABILITY_CHANGE
            || latency_change.abs() >= self.latency_ms * MIN_LATENCY_CHANGE
            || (load_matters && self.load != load)
    }
}

/// Position of a host in the feed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedCursor {
    /// Last change that was described.
    change: u64,
    /// First of the instances to describe in turn.
    turn: usize,
    /// Whether anything was described.
    has_started: bool,
}

/// Changes of instances in their order.
#[derive(Clone, Debug, Default)]
pub struct EstimateFeed {
    described: HashMap<InstanceKey, DescribedState>,
    /// Instances by their last change.
    changes: BTreeMap<u64, InstanceKey>,
    /// Usable instances at the last search.
    usable: Vec<InstanceKey>,
    last_change: u64,
    searched_at: ClockTime,
}

impl EstimateFeed {
    /// Finds the changes since the last search; `load` has the requests in flight from all hosts,
    /// by instance hash.
    pub fn search(&mut self, table: &InstanceTable, load: &HashMap<u32, u32>, now: ClockTime) {
        if now.since(self.searched_at) < SEARCH_INTERVAL_MS {
            return;
        }
        self.searched_at = now;
        self.usable.clear();
        for (key, state) in table.iter().filter(|(_, state)| state.is_usable(now)) {
            self.usable.push(key);
            let load = load.get(&state.hash).copied().unwrap_or_default();
            let known = self.described.get(&key);
            if known.is_some_and(|known| !known.is_outdated(state, load, now)) {
                continue;
            }
            if let Some(known) = known {
                self.changes.remove(&known.change);
            }
            self.last_change += 1;
            self.changes.insert(self.last_change, key);
            let described = DescribedState {
                fault: FaultEstimate::received(state.fault_probability(now), now),
                latency_ms: state.latency_ms(),
                load,
                change: self.last_change,
            };
            self.described.insert(key, described);
        }
    }

    /// Instances that the next answer to the host at `cursor` describes.
    pub fn next_answer(&self, cursor: &mut FeedCursor) -> Vec<InstanceKey> {
        if !cursor.has_started {
            *cursor = FeedCursor {
                change: self.last_change,
                turn: 0,
                has_started: true,
            };
            return self.usable.clone();
        }
        let changed = self.changes.range(cursor.change + 1..);
        let mut keys: Vec<InstanceKey> = changed.map(|(_, key)| *key).collect();
        cursor.change = self.last_change;
        let count = self.usable.len().div_ceil(ANSWERS_PER_TURN);
        let in_turn = self.usable.iter().cycle().skip(cursor.turn).take(count);
        keys.extend(in_turn);
        cursor.turn = (cursor.turn + count) % self.usable.len().max(1);
        keys
    }
}
