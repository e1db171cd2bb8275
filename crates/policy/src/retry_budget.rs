//! Balance of one host's own part of the retry budget of a service, and counts of
//! its retries.
//!
//! A [`RetryAccount`](crate::RetryAccount) decides first whether a hub's grant
//! allows a retry; the share of the fleet's retry pool then spreads the granted
//! ones. Without a hub, the host uses its own part: the fleet's budget in each window
//! is a ratio of the requests plus a fixed number, the slack. Each host deposits
//! the ratio for its own requests and accumulates at most its part of the slack,
//! so the sum over hosts that cannot reach each other is bounded too.

use crate::WorkspaceCounts;
use crate::retry_pool_key;

/// Part of the ratio that is deposited; the rest is a margin for windows that contain only a part
/// of a burst.
const RATIO_FRACTION: f64 = 0.9;

/// Part of the slack that is used; the pool uses the rest.
const SLACK_FRACTION: f64 = 0.5;

/// Lower bound of a host's maximum balance, in retries, whatever the size of the fleet.
const MIN_CAP: f64 = 1.0;

/// Share of the pool from which a further attempt counts as affordable.
const AFFORDABLE_SHARE: f64 = 0.9;

/// Budget of one host for the repeated requests of one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Repeated requests that the host may send of its own part.
    balance: f64,
    /// Repeated requests sent.
    sent: u32,
    /// Repeated requests that were not allowed.
    denied: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            balance: MIN_CAP / 2.0,
            sent: 0,
            denied: 0,
        }
    }
}

impl RetryBudget {
    /// Deposits what a first attempt adds; `ratio` and `slack` are the budget of the whole fleet of
    /// `hosts` hosts.
    pub fn deposit(&mut self, ratio: f64, slack: f64, hosts: usize) {
        let cap = (slack * SLACK_FRACTION / hosts.max(1) as f64).max(MIN_CAP);
        self.balance = (self.balance + ratio * RATIO_FRACTION).min(cap);
    }

    /// Withdraws one repeated request, with a random number from 0 to 1; `share` is the assigned
    /// share of the fleet's pool. Returns whether the request may be sent.
    pub fn try_withdraw(&mut self, share: Option<f64>, draw: f64) -> bool {
        let is_allowed = match share {
            Some(share) => draw < share,
            None => self.balance >= 1.0,
        };
        if is_allowed {
            // A host that used the pool has that much less of its own part.
            self.balance = (self.balance - 1.0).max(0.0);
            self.sent = self.sent.wrapping_add(1);
        } else {
            self.denied = self.denied.wrapping_add(1);
        }
        is_allowed
    }

    /// Whether a repeated request may probably be sent; `share` is as in [`Self::try_withdraw`].
    pub fn is_affordable(&self, share: Option<f64>) -> bool {
        match share {
            Some(share) => share >= AFFORDABLE_SHARE,
            None => self.balance >= 1.0,
        }
    }

    /// Takes back what was deposited.
    pub(crate) fn clear_balance(&mut self) {
        self.balance = 0.0;
    }

    /// Repeated requests sent since the host started.
    pub(crate) fn sent(&self) -> u32 {
        self.sent
    }

    /// Repeated requests sent and denied since the host started, for the pool of `service`.
    pub fn counts(&self, service: &str) -> WorkspaceCounts {
        WorkspaceCounts {
            workspace: retry_pool_key(service),
            admitted: self.sent,
            refused: self.denied,
            in_window: None,
        }
    }
}
