//! Retry budget of a service, shared by all hosts of the fleet.
//!
//! A host of a large fleet has a few requests a second, so its own part of the
//! budget seldom covers two failures in a row, while the fleet as a whole has
//! retries to spare. Hubs therefore limit retries like the requests of a
//! workspace: hosts report the retries that they sent and denied, and the
//! limiter assigns the share of retries that they may send, which is one as long
//! as the window has room. The share follows what was counted, so it only spreads
//! the retries; the grants of the hub's ledger bound them.
//!
//! The limiter's window is half as long as the platform's, so each has half of
//! the slack. Half of that remains for late reports and for hosts that follow no
//! hub and use their own part.

use std::collections::VecDeque;

use crocushoist_state::ClockTime;

use crate::WindowLimit;
use crate::name_hash;

/// Part of the ratio that the pool gives out; the rest is a margin for windows that contain only a
/// part of a burst.
const RATIO_FRACTION: f64 = 0.9;

/// Part of the slack that the pool gives out in one window of the limiter.
const SLACK_FRACTION: f64 = 0.2;

/// Length in milliseconds of the window over which the requests of a service are counted.
const DEMAND_WINDOW_MS: u64 = 5_000;

/// Key of the retry pool of `service` among the limits of workspaces.
pub fn retry_pool_key(service: &str) -> u32 {
    // The space keeps the key apart from those of workspaces, whose names have none.
    name_hash(&format!("retries {service}"))
}

/// Limit of the retries of a service with `requests_per_s`; `ratio` and `slack` are the budget of
/// the fleet.
pub fn retry_pool_limit(ratio: f64, slack: f64, requests_per_s: f64) -> WindowLimit {
    WindowLimit {
        // A rate of zero would mean no limit.
        rate: (ratio * RATIO_FRACTION * requests_per_s).max(f64::MIN_POSITIVE),
        burst: slack * SLACK_FRACTION,
        slack: 0.0,
        is_recorded: false,
    }
}

/// Requests of a service in the last window.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceDemand {
    /// Times and numbers of the requests, oldest first.
    counts: VecDeque<(ClockTime, u32)>,
    /// Sum of the numbers in `counts`.
    in_window: u32,
}

impl ServiceDemand {
    /// Adds requests.
    pub(crate) fn add(&mut self, requests: u32, now: ClockTime) {
        self.counts.push_back((now, requests));
        self.in_window += requests;
        self.drop_expired(now);
    }

    /// Requests a second.
    pub(crate) fn per_s(&self, now: ClockTime) -> f64 {
        let expired = self.counts.iter();
        let expired: u32 = expired
            .take_while(|(at, _)| now.since(*at) > DEMAND_WINDOW_MS)
            .map(|(_, count)| count)
            .sum();
        f64::from(self.in_window - expired) * 1_000.0 / DEMAND_WINDOW_MS as f64
    }

    fn drop_expired(&mut self, now: ClockTime) {
        while let Some((at, count)) = self.counts.front().copied()
            && now.since(at) > DEMAND_WINDOW_MS
        {
            self.counts.pop_front();
            self.in_window -= count;
        }
    }
}
