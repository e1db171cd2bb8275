//! Sliding window over the request outcomes at one instance.
//!
//! The window is a ring of short intervals of time. An interval that a newer one
//! replaces expires as a whole.

use crate::ClockTime;
use crate::InstanceOutcomes;

/// Length of one interval.
const INTERVAL_MS: u64 = 250;
/// Number of intervals in the ring.
const INTERVAL_COUNT: usize = 16;

/// Request outcomes of the last four seconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeWindow {
    /// Number of the interval, counted from clock time zero, and its outcomes.
    intervals: [(u64, InstanceOutcomes); INTERVAL_COUNT],
}

impl Default for OutcomeWindow {
    fn default() -> Self {
        OutcomeWindow {
            intervals: [(0, InstanceOutcomes::default()); INTERVAL_COUNT],
        }
    }
}

impl OutcomeWindow {
    /// Adds outcomes that were received at `now`.
    pub fn add(&mut self, outcomes: &InstanceOutcomes, now: ClockTime) {
        let number = now.as_millis() / INTERVAL_MS;
        let interval = &mut self.intervals[number as usize % INTERVAL_COUNT];
        if interval.0 != number {
            *interval = (number, InstanceOutcomes::default());
        }
        interval.1.add(outcomes);
    }

    /// Sums the outcomes of the last `millis` milliseconds, at most four seconds.
    pub fn sum(&self, now: ClockTime, millis: u64) -> InstanceOutcomes {
        let newest = now.as_millis() / INTERVAL_MS;
        let oldest =
            newest.saturating_sub(millis.div_ceil(INTERVAL_MS).min(INTERVAL_COUNT as u64 - 1));
        let mut sum = InstanceOutcomes::default();
        for (number, outcomes) in &self.intervals {
            if (oldest..=newest).contains(number) {
                sum.add(outcomes);
            }
        }
        sum
    }

    /// Removes all outcomes.
    pub fn clear(&mut self) {
        *self = OutcomeWindow::default();
    }
}
