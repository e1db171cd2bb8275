//! Bounds the log lines about what others do again and again.
//!
//! Whoever writes an odd entry may write it again and again, and every host that
//! reads the whole list finds it; clients that are turned away come back. So all
//! are counted, and one line in an interval says how many there were since the
//! last one.

use std::cell::Cell;

use crocushoist_state::ClockTime;

/// Minimum milliseconds between two lines.
const LINE_INTERVAL_MS: u64 = 10_000;

/// Counts events until the next line.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    logged_at: Cell<Option<ClockTime>>,
    unlogged: Cell<u64>,
}

impl LogLimiter {
    /// Counts an event; returns the number of those since the last line if one is due.
    pub(crate) fn count(&self, now: ClockTime) -> Option<u64> {
        let count = self.unlogged.get() + 1;
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| now.since(at) <= LINE_INTERVAL_MS) {
            self.unlogged.set(count);
            return None;
        }
        self.logged_at.set(Some(now));
        self.unlogged.set(0);
        Some(count)
    }
}
