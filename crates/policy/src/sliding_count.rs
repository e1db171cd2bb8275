//! Count of events in a sliding window.

use std::collections::VecDeque;

use crocushoist_state::ClockTime;

/// Length in milliseconds of the interval whose events are kept as one number.
pub(crate) const BUCKET_MS: u64 = 250;

/// Count of events in a sliding window.
#[derive(Clone, Debug)]
pub(crate) struct SlidingCount {
    window_ms: u64,
    /// Begins and events of the intervals, oldest first.
    buckets: VecDeque<(ClockTime, u32)>,
    sum: u32,
}

impl SlidingCount {
    /// Count over `window_ms`; an interval counts until its begin leaves the window.
    pub(crate) fn new(window_ms: u64) -> Self {
        SlidingCount {
            window_ms,
            buckets: VecDeque::new(),
            sum: 0,
        }
    }

    /// Adds one event.
    pub(crate) fn add(&mut self, now: ClockTime) {
        self.drop_expired(now);
        self.sum += 1;
        match self.buckets.back_mut() {
            Some((begin, count)) if now.since(*begin) < BUCKET_MS => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
    }

    /// Number of events in the window that ends now.
    pub(crate) fn in_window(&mut self, now: ClockTime) -> u32 {
        self.drop_expired(now);
        self.sum
    }

    /// Number of events in the window that ends now, without forgetting the others.
    pub(crate) fn peek(&self, now: ClockTime) -> u32 {
        let expired = self.buckets.iter();
        let expired = expired.take_while(|(begin, _)| now.since(*begin) > self.window_ms);
        self.sum - expired.map(|(_, count)| count).sum::<u32>()
    }

    fn drop_expired(&mut self, now: ClockTime) {
        while let Some((begin, count)) = self.buckets.front().copied()
            && now.since(begin) > self.window_ms
        {
            self.buckets.pop_front();
            self.sum -= count;
        }
    }
}
