//! Requests of a service that were served or not, as callers see them.

use crocushoist_state::ClockTime;

use crate::retry_pool::ServiceDemand;

/// Time constant in milliseconds with which requests lose weight.
const AVERAGE_MS: f64 = 1_500.0;

/// Requests of one service since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounts {
    /// Hash of the service's name.
    pub service: u32,
    /// Requests that ended, without failed trials of requests that may run only once.
    pub requests: u32,
    /// Those that were refused or failed.
    pub unserved: u32,
}

/// Requests of one service over the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceLoad {
    /// Requests and those not served, weighted by their age.
    requests: f64,
    unserved: f64,
    updated_at: ClockTime,
    demand: ServiceDemand,
}

impl ServiceLoad {
    /// Adds reported requests.
    pub(crate) fn add(&mut self, counts: ServiceCounts, now: ClockTime) {
        let decay = (-(now.since(self.updated_at) as f64) / AVERAGE_MS).exp();
        self.updated_at = self.updated_at.max(now);
        self.requests = self.requests * decay + f64::from(counts.requests);
        self.unserved = self.unserved * decay + f64::from(counts.unserved);
        self.demand.add(counts.requests, now);
    }

    /// Requests a second.
    pub(crate) fn requests_per_s(&self, now: ClockTime) -> f64 {
        self.demand.per_s(now)
    }

    /// Fraction of the recent requests that were refused or failed.
    pub(crate) fn unserved_share(&self) -> f64 {
        self.unserved / self.requests.max(1.0)
    }
}
