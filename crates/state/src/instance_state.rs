//! What this host knows about one instance of a service.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::ClockTime;
use crate::InstanceOutcomes;

/// Weight in percent of an instance that gets its full share of requests.
pub(crate) const FULL_WEIGHT_PERCENT: u8 = 100;

/// What this host knows about one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceState {
    /// Name of its service.
    pub service: CompactString,
    /// Address that the instance listens on.
    pub address: SocketAddr,
    /// Data centre that the instance runs in.
    pub data_centre: CompactString,
    /// Whether the latest listing marks the instance as leaving or omits it.
    pub leaving: bool,
    /// Moving average of the latency in microseconds.
    pub latency_micros: u64,
    /// End of the backoff during which this host alone sends the instance no requests.
    pub backoff_until: ClockTime,
    /// Requests from this host; each occupies one slot.
    pub(crate) in_flight: Vec<InFlightRequest>,
    /// Time until which a draining notice from the instance itself holds.
    pub(crate) draining_until: ClockTime,
    /// Consecutive failures since the last success or backoff.
    pub(crate) consecutive_failures: u32,
    /// Length of the next backoff in milliseconds.
    pub(crate) backoff_millis: u64,
    /// Time until which the instance does not count as healthy because it only just joined.
    pub(crate) warm_up_until: ClockTime,
    /// Cause of the last ejection that the owner of the service decided.
    pub ejection_reason: CompactString,
    /// Percentage of its share of requests that the last ejection decision grants.
    pub(crate) weight: u8,
    /// Time until which the last ejection decision holds.
    pub(crate) decision_expires: ClockTime,
    /// Request outcomes not reported yet.
    pub(crate) outcomes: InstanceOutcomes,
}

/// Request to which an instance has not responded yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlightRequest {
    pub(crate) acquired_at: ClockTime,
    /// Whether the request was already counted as failed for taking too long.
    pub(crate) is_counted_as_failed: bool,
}

impl InstanceState {
    /// Number of requests from this host to which the instance has not responded yet.
    pub fn outstanding(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether an ejection that the owner of the service decided is in force.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.weight == 0 && self.decision_expires > now
    }

    /// Whether the listing or the instance itself announced that it takes no new requests.
    pub fn is_leaving(&self, now: ClockTime) -> bool {
        self.leaving || self.draining_until > now
    }

    /// Whether this host may send requests to the instance.
    pub fn is_usable(&self, now: ClockTime) -> bool {
        !self.is_leaving(now) && self.backoff_until <= now && !self.is_ejected(now)
    }

    /// Whether the instance counts towards the floor of healthy instances.
    pub fn is_healthy(&self, now: ClockTime) -> bool {
        self.is_usable(now) && self.warm_up_until <= now
    }

    /// Percentage of its share of requests that the instance gets, reduced after an ejection.
    pub(crate) fn current_weight(&self, now: ClockTime) -> u8 {
        if self.decision_expires > now {
            self.weight
        } else {
            FULL_WEIGHT_PERCENT
        }
    }

    /// Frees the slot that was acquired at `acquired_at`.
    pub(crate) fn free_slot(&mut self, acquired_at: ClockTime) {
        let index = self
            .in_flight
            .iter()
            .position(|request| request.acquired_at == acquired_at);
        if let Some(index) = index {
            self.in_flight.swap_remove(index);
        }
    }
}
