//! The share of the fleet that a hub hears.
//!
//! Hosts that are not heard may admit keyed requests for as long as their
//! proof of the configuration lasts; later they admit nothing and count no more.

use std::collections::VecDeque;

use crocushoist_state::ClockTime;

/// Milliseconds for which a host that is not heard may still admit keyed requests.
pub(crate) const UNHEARD_MS: u64 = 5_000;

/// The share of the fleet that a hub hears.
#[derive(Clone, Debug)]
pub(crate) struct FleetCoverage {
    heard_counts: VecDeque<(ClockTime, u32)>,
    share: f64,
}

impl Default for FleetCoverage {
    fn default() -> Self {
        FleetCoverage {
            heard_counts: VecDeque::new(),
            share: 1.0,
        }
    }
}

impl FleetCoverage {
    /// Notes that `heard` hosts are heard, of at least `least` that may admit requests.
    pub(crate) fn note(&mut self, heard: u32, least: u32, now: ClockTime) {
        self.heard_counts.push_back((now, heard));
        while now.since(self.heard_counts[0].0) > UNHEARD_MS {
            self.heard_counts.pop_front();
        }
        let counts = self.heard_counts.iter().map(|(_, count)| *count);
        let live = counts.max().unwrap_or(1).max(least).max(1);
        self.share = f64::from(heard) / f64::from(live);
    }

    /// Share of the hosts that may admit requests.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }
}
