//! Bounds the log lines about entries that are skipped.
//!
//! Whoever writes an odd entry may write it again and again, and every host that
//! reads the whole list finds it. So all entries are counted, and one line in an
//! interval says how many were skipped since the last one.

use std::cell::Cell;

use crocushoist_state::ClockTime;

/// Minimum milliseconds between two lines.
const LINE_INTERVAL_MS: u64 = 10_000;

/// Counts skipped entries until the next line.
#[derive(Debug, Default)]
pub(crate) struct SkipLog {
    logged_at: Cell<Option<ClockTime>>,
    unlogged: Cell<u64>,
}

impl SkipLog {
    /// Counts a skipped entry; returns the number of those since the last line if one is due.
    pub(crate) fn count(&self, now: ClockTime) -> Option<u64> {
        let skipped = self.unlogged.get() + 1;
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| now.since(at) <= LINE_INTERVAL_MS) {
            self.unlogged.set(skipped);
            return None;
        }
        self.logged_at.set(Some(now));
        self.unlogged.set(0);
        Some(skipped)
    }
}
