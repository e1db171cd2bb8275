//! Plan of a planned stop: what a stopping host still takes, and when it ends.
//!
//! A request that was taken is finished, so a stopping host takes only what it
//! can finish. In the first half of the grace period, and no longer than the
//! platform excuses a late response, it takes every request; those have at least
//! the other half. After that it takes a request only if the caller's deadline
//! comes before the end of the process. In the second half it accepts no new
//! connection, so that callers go to another host. The process ends as late as
//! its supervisor allows, because the silence of an instance is no reason to give
//! up its response.

/// Milliseconds kept free before the end of the grace period, in which the process exits.
///
/// Around half of the grace period the same margin covers the delay of the stop signal and of
/// callers whose cached addresses expire at that time.
const MARGIN_MS: u64 = 250;

/// Milliseconds after the stop signal up to which the platform excuses a request that is cut off
/// because its instance was still at work at the end.
const EXCUSED_SEND_MS: u64 = 3_000;

/// Milliseconds before the end of the process at which idle connections are closed, and up to
/// which a response must be ready so that it can be written.
const WRITE_MS: u64 = 150;

/// Plan of a planned stop; times are milliseconds since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    grace_ms: u64,
}

impl StopPlan {
    /// Plan of a stop after which the process is killed if it still runs after `grace_ms`.
    pub fn new(grace_ms: u64) -> Self {
        StopPlan { grace_ms }
    }

    /// Until when every request is taken.
    pub fn take_all_ms(self) -> u64 {
        let until_ms = (self.grace_ms / 2).min(EXCUSED_SEND_MS);
        until_ms.saturating_sub(MARGIN_MS)
    }

    /// When the listener is closed.
    pub fn close_listener_ms(self) -> u64 {
        (self.grace_ms / 2 + MARGIN_MS).min(self.close_idle_ms())
    }

    /// When idle connections are closed.
    pub fn close_idle_ms(self) -> u64 {
        self.end_ms().saturating_sub(WRITE_MS)
    }

    /// When the process ends even if requests are in progress.
    pub fn end_ms(self) -> u64 {
        self.grace_ms.saturating_sub(MARGIN_MS)
    }

    /// Whether a request is taken that was read `elapsed_ms` after the start of the stop and that
    /// ends at the latest `budget_ms` after that.
    pub fn admits(self, elapsed_ms: u64, budget_ms: u64) -> bool {
        elapsed_ms < self.take_all_ms()
            || elapsed_ms.saturating_add(budget_ms) <= self.close_idle_ms()
    }
}
