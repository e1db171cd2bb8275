//! Requests that succeeded in the last seconds.
//!
//! Two sets take turns: the older one is dropped whenever the newer one is full
//! or old, so the memory is bounded and nothing is sorted.

use std::collections::HashSet;

use crocushoist_state::ClockTime;

/// Milliseconds for which a success is remembered at least, and twice as long at most, unless too
/// many follow it.
const SPAN_MS: u64 = 10_000;

/// Maximum number of requests in each set.
const MAX_REQUESTS: usize = 4_096;

/// Requests that succeeded in the last seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentSuccesses {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    newer_since: ClockTime,
}

impl RecentSuccesses {
    /// Whether `request` succeeded lately.
    pub(crate) fn contains(&self, request: u64, now: ClockTime) -> bool {
        let age_ms = now.since(self.newer_since);
        let in_newer = age_ms <= 2 * SPAN_MS && self.newer.contains(&request);
        in_newer || (age_ms <= SPAN_MS && self.older.contains(&request))
    }

    /// Adds `request`, which succeeded.
    pub(crate) fn add(&mut self, request: u64, now: ClockTime) {
        let age_ms = now.since(self.newer_since);
        if age_ms > SPAN_MS || self.newer.len() >= MAX_REQUESTS {
            self.older.clear();
            std::mem::swap(&mut self.newer, &mut self.older);
            if age_ms > 2 * SPAN_MS {
                self.older.clear();
            }
            self.newer_since = now;
        }
        self.newer.insert(request);
    }
}
