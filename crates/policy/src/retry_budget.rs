//! Budget of one host for the retries and hedged requests of one service.
//!
//! The fleet's budget in each window is a ratio of the requests plus a fixed
//! number, the slack. Each host deposits the ratio for its own requests and
//! accumulates at most its part of the slack. The sum over all hosts thus stays
//! within the fleet's budget without any exchange, also while hosts cannot
//! reach each other.

/// Part of the ratio that is deposited; the rest is a margin for windows that contain only a part
/// of a burst.
const RATIO_FRACTION: f64 = 0.9;

/// Part of the slack that is used; the rest is a margin for hosts that join or restart.
const SLACK_FRACTION: f64 = 0.8;

/// Lower bound of a host's maximum balance, in retries, whatever the size of the fleet.
const MIN_CAP: f64 = 1.0;

/// Budget of one host for the repeated requests of one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Repeated requests that the host may send.
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            balance: MIN_CAP / 2.0,
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

    /// Withdraws one repeated request; returns whether the balance sufficed.
    pub fn try_withdraw(&mut self) -> bool {
        if !self.has_balance() {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Whether the balance suffices for one repeated request.
    pub fn has_balance(&self) -> bool {
        self.balance >= 1.0
    }
}
