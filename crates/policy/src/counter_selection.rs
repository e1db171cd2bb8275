//! Chooses the counters of a message to one receiver.
//!
//! Counters are cumulative, so a message needs only those that changed since
//! the last one. All of them follow at intervals, which makes up for lost
//! messages, and in the first message, from which the receiver takes its
//! baseline.

use std::collections::HashMap;

use crocushoist_state::ClockTime;

use crate::WorkspaceCounts;

/// Milliseconds between messages with all counters.
const COMPLETE_INTERVAL_MS: u64 = 600;

/// Counters of the messages to one receiver.
#[derive(Clone, Debug, Default)]
pub struct CounterSelection {
    /// Requests (admitted, refused) as last sent, by workspace hash.
    sent: HashMap<u32, (u32, u32)>,
    /// Time of the last message with all counters.
    complete_at: Option<ClockTime>,
}

impl CounterSelection {
    /// Whether the next message has all counters.
    fn is_complete_due(&self, now: ClockTime) -> bool {
        self.complete_at
            .is_none_or(|at| now.since(at) >= COMPLETE_INTERVAL_MS)
    }

    /// Counters of the next message, and whether these are all.
    pub fn select(
        &mut self,
        counts: Vec<WorkspaceCounts>,
        now: ClockTime,
    ) -> (Vec<WorkspaceCounts>, bool) {
        let is_complete = self.is_complete_due(now);
        if is_complete {
            self.complete_at = Some(now);
        }
        let sent = &mut self.sent;
        let selected = counts
            .into_iter()
            .filter(|count| {
                let value = (count.admitted, count.refused);
                let before = sent.insert(count.workspace, value);
                is_complete || before != Some(value)
            })
            .collect();
        (selected, is_complete)
    }
}
