//! Retries of one host at one service.
//!
//! A hub grants a number of retries, counted from the host's start. The host
//! never exceeds it, however late the next answer is. The share of the pool that
//! the hub assigns only spreads the granted retries over the hosts while there
//! are too few. A host whose hub falls silent may use what is left of the grant
//! for a while, and then the part that its own requests have added since.

use crocushoist_state::ClockTime;

use crate::RetryBudget;
use crate::RetryCounts;
use crate::RetryPayment;
use crate::WorkspaceCounts;
use crate::name_hash;
use crate::sliding_count::BUCKET_MS;
use crate::sliding_count::SlidingCount;

/// Length in milliseconds of the window in which the platform counts retries and requests.
pub(crate) const BUDGET_WINDOW_MS: u64 = 10_000;

/// Milliseconds from sending a retry to its arrival at an instance.
const MAX_ARRIVAL_DELAY_MS: u64 = 500;

/// Milliseconds after the report that a grant answers, up to which the grant may be used.
pub(crate) const GRANT_VALID_MS: u64 = 2_000;

/// Age of the grant in milliseconds from which the host's own part may be used.
const SILENT_HUB_MS: u64 = 700;

/// Part of the ratio that the host's own part gets. Before the hub fell silent, the pool may have
/// used the ratio of the same window.
const OWN_RATIO_FRACTION: f64 = 0.55;

/// Part of the ratio that a host's retries in a window may use of its own, those that the pool paid
/// for included.
const WINDOW_RATIO_FRACTION: f64 = 0.9;

/// Latest grant of a hub.
#[derive(Clone, Copy, Debug)]
struct GrantState {
    ceiling: u32,
    /// When the report that it answers was sent.
    reported_at: ClockTime,
}

/// Retries of one host at one service.
#[derive(Clone, Debug)]
pub struct RetryAccount {
    budget: RetryBudget,
    grant: Option<GrantState>,
    /// Retries for each request of the whole fleet.
    ratio: f64,
    requests: SlidingCount,
    retries: SlidingCount,
}

impl Default for RetryAccount {
    fn default() -> Self {
        let mut budget = RetryBudget::default();
        // Hubs may have given out the whole slack before this start.
        budget.clear_balance();
        RetryAccount {
            budget,
            grant: None,
            ratio: 0.0,
            requests: SlidingCount::new(BUDGET_WINDOW_MS),
            // An interval leaves by its begin, the last of its retries later.
            retries: SlidingCount::new(BUDGET_WINDOW_MS + MAX_ARRIVAL_DELAY_MS + BUCKET_MS),
        }
    }
}

impl RetryAccount {
    /// Counts a request; `ratio` and `slack` are the budget of the whole fleet of `hosts` hosts.
    pub fn add_request(&mut self, ratio: f64, slack: f64, hosts: usize, now: ClockTime) {
        self.requests.add(now);
        self.ratio = ratio;
        let own_ratio = ratio * OWN_RATIO_FRACTION;
        self.budget.deposit(own_ratio, slack, hosts);
    }

    /// Takes one retry, with a random number from 0 to 1; `share` is the assigned share of the
    /// fleet's pool. Returns what it was charged to, `None` if it must not be sent.
    pub fn withdraw(
        &mut self,
        share: Option<f64>,
        draw: f64,
        now: ClockTime,
    ) -> Option<RetryPayment> {
        let payment = self.payment(now);
        let is_allowed = match payment {
            Some(RetryPayment::Pool) => self.budget.try_withdraw(share.or(Some(1.0)), draw),
            Some(RetryPayment::OwnPart) => self.budget.try_withdraw(None, draw),
            Some(RetryPayment::Free) | None => self.budget.try_withdraw(Some(0.0), draw),
        };
        if !is_allowed {
            return None;
        }
        self.retries.add(now);
        payment
    }

    /// Whether a retry may probably be sent; `share` is as in [`Self::withdraw`].
    pub fn is_affordable(&self, share: Option<f64>, now: ClockTime) -> bool {
        match self.payment(now) {
            Some(RetryPayment::Pool) => self.budget.is_affordable(share.or(Some(1.0))),
            Some(RetryPayment::OwnPart) => self.budget.is_affordable(None),
            Some(RetryPayment::Free) | None => false,
        }
    }

    /// What the next retry would be charged to, `None` if the grant is used up.
    fn payment(&self, now: ClockTime) -> Option<RetryPayment> {
        let own_part = self.has_own_part(now).then_some(RetryPayment::OwnPart);
        let Some(grant) = self.grant else {
            return own_part;
        };
        let age_ms = now.since(grant.reported_at);
        if age_ms <= GRANT_VALID_MS && is_below(self.budget.sent(), grant.ceiling) {
            return Some(RetryPayment::Pool);
        }
        own_part.filter(|_| age_ms > SILENT_HUB_MS)
    }

    /// Whether the host's retries of the window are below the ratio of its own requests. The
    /// balance alone does not know what the pool paid for before the hub fell silent.
    fn has_own_part(&self, now: ClockTime) -> bool {
        let requests = f64::from(self.requests.peek(now));
        let allowed = (self.ratio * WINDOW_RATIO_FRACTION * requests).max(1.0);
        f64::from(self.retries.peek(now)) < allowed
    }

    /// Applies the grant in the answer to a report that was sent at `reported_at`.
    pub fn apply_grant(&mut self, ceiling: u32, reported_at: ClockTime) {
        self.grant = Some(GrantState {
            ceiling,
            reported_at,
        });
        // The hub has counted the requests for the pool.
        self.budget.clear_balance();
    }

    /// Counts for the pool of `service`, as of a workspace.
    pub fn pool_counts(&self, service: &str) -> WorkspaceCounts {
        self.budget.counts(service)
    }

    /// Counts for the hub's ledger.
    pub fn counts(&mut self, service: &str, now: ClockTime) -> RetryCounts {
        RetryCounts {
            service: name_hash(service),
            requests: self.requests.in_window(now),
            retries: self.retries.in_window(now),
            sent: self.budget.sent(),
        }
    }
}

/// Whether a counter that may have wrapped around is below `ceiling`.
fn is_below(count: u32, ceiling: u32) -> bool {
    let left = ceiling.wrapping_sub(count);
    left > 0 && left <= u32::MAX / 2
}
