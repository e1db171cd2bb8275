//! State of one instance, as this host sees it.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::ClockTime;
use crate::InstanceEvidence;

/// Weight of an instance that is wholly in use, in percent.
pub(crate) const WHOLE_WEIGHT: u8 = 100;

/// State of one instance, as this host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceState {
    /// Name of its service.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Whether the listing shows it as leaving, or not at all.
    pub leaving: bool,
    /// Smoothed latency in microseconds.
    pub latency_micros: u64,
    /// Until when this host avoids it.
    pub avoided_until: ClockTime,
    pub(crate) working: Vec<WorkingRequest>,
    pub(crate) drains_until: ClockTime,
    pub(crate) failures: u32,
    pub(crate) avoid_millis: u64,
    pub(crate) cold_until: ClockTime,
    /// Why the evidence of all hosts together ejected it last.
    pub reason: CompactString,
    pub(crate) weight: u8,
    pub(crate) verdict_until: ClockTime,
    pub(crate) evidence: InstanceEvidence,
}

/// Request that an instance is working on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkingRequest {
    pub(crate) taken_at: ClockTime,
    pub(crate) counted_stuck: bool,
}

impl InstanceState {
    /// Requests of this host that it is working on.
    pub fn outstanding(&self) -> usize {
        self.working.len()
    }

    /// Whether the evidence of all hosts together ejects it.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.weight == 0 && self.verdict_until > now
    }

    /// Whether it takes no new work, by the listing or by its own word.
    pub fn is_leaving(&self, now: ClockTime) -> bool {
        self.leaving || self.drains_until > now
    }

    /// Whether this host may send it requests.
    pub fn is_usable(&self, now: ClockTime) -> bool {
        !self.is_leaving(now) && self.avoided_until <= now && !self.is_ejected(now)
    }

    /// Whether it counts towards the floor.
    pub fn is_healthy(&self, now: ClockTime) -> bool {
        self.is_usable(now) && self.cold_until <= now
    }

    /// Share of its requests in percent that it gets after an ejection.
    pub(crate) fn current_weight(&self, now: ClockTime) -> u8 {
        if self.verdict_until > now {
            self.weight
        } else {
            WHOLE_WEIGHT
        }
    }

    /// Gives back the slot that was taken at `taken_at`.
    pub(crate) fn release(&mut self, taken_at: ClockTime) {
        let index = self
            .working
            .iter()
            .position(|request| request.taken_at == taken_at);
        if let Some(index) = index {
            self.working.swap_remove(index);
        }
    }
}
