//! The part of the fleet whose requests a hub can count.
//!
//! A host that reports to no reachable hub may admit requests with an API key
//! as long as its evidence of the configuration is fresh. Afterwards it admits
//! none of them and is left out of the calculation.

use std::collections::VecDeque;

use crocushoist_state::ClockTime;

/// Milliseconds for which a host that reports to no reachable hub may still admit requests with
/// an API key.
pub(crate) const UNREACHABLE_ADMISSION_MS: u64 = 5_000;

/// Fraction of the admitting hosts that currently report, directly or through other hubs.
#[derive(Clone, Debug)]
pub(crate) struct FleetCoverage {
    /// Numbers of reporting hosts in the last `UNREACHABLE_ADMISSION_MS`, oldest first.
    reporting_counts: VecDeque<(ClockTime, u32)>,
    /// Hosts that may admit requests.
    admitting: u32,
    fraction: f64,
}

impl Default for FleetCoverage {
    fn default() -> Self {
        FleetCoverage {
            reporting_counts: VecDeque::new(),
            admitting: 1,
            fraction: 1.0,
        }
    }
}

impl FleetCoverage {
    /// Updates the fraction: `reporting` hosts report, and at least `min_hosts` hosts may admit
    /// requests.
    pub(crate) fn update(&mut self, reporting: u32, min_hosts: u32, now: ClockTime) {
        self.reporting_counts.push_back((now, reporting));
        while now.since(self.reporting_counts[0].0) > UNREACHABLE_ADMISSION_MS {
            self.reporting_counts.pop_front();
        }
        let counts = self.reporting_counts.iter().map(|(_, count)| *count);
        self.admitting = counts.max().unwrap_or(1).max(min_hosts).max(1);
        self.fraction = f64::from(reporting) / f64::from(self.admitting);
    }

    /// Part of the admitting hosts that `count` of them are.
    pub(crate) fn part(&self, count: u32) -> f64 {
        (f64::from(count) / f64::from(self.admitting)).min(1.0)
    }

    /// Fraction of the admitting hosts that report, from 0 to 1.
    pub(crate) fn fraction(&self) -> f64 {
        self.fraction
    }
}
