//! Budget for repeated sends of one service at one host.
//!
//! The fleet's budget is a ratio of the requests plus a fixed number in each
//! window. Each host earns its part with its own requests and holds back at
//! most its part of the fixed number, so that the sum over all hosts keeps the
//! fleet's budget without a message, also while hosts cannot hear each other.

/// Share of the ratio that is spent, which leaves room for windows that cut a burst.
const RATIO_SHARE: f64 = 0.9;

/// Share of the fixed number that is spent, for hosts that join or restart.
const SLACK_SHARE: f64 = 0.8;

/// Fixed number a host keeps in a fleet of any size.
const LEAST_CAP: f64 = 1.0;

/// Budget for repeated sends of one service at one host.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    level: f64,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        RetryAllowance {
            level: LEAST_CAP / 2.0,
        }
    }
}

impl RetryAllowance {
    /// Earns for a first send; `ratio` and `slack` are the fleet's budget over `hosts` hosts.
    pub fn earn(&mut self, ratio: f64, slack: f64, hosts: usize) {
        let cap = (slack * SLACK_SHARE / hosts.max(1) as f64).max(LEAST_CAP);
        self.level = (self.level + ratio * RATIO_SHARE).min(cap);
    }

    /// Spends one repeated send, if the budget has it.
    pub fn spend(&mut self) -> bool {
        if !self.has_one() {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Whether a repeated send is affordable.
    pub fn has_one(&self) -> bool {
        self.level >= 1.0
    }
}
