//! Tracks the age of this host's evidence that it has missed no accepted record.
//!
//! Evidence as of time `t` means that this host has replayed every record that
//! was accepted before `t`. Each of these sources is sufficient:
//!
//! - The log, read to its tail by a request sent at `t`.
//! - A peer's evidence, with the full round trip of the request added to its age.
//! - A majority of the held shards in this host's table, each of whose holders
//!   responded to a request sent at `t` or later that it has replayed nothing
//!   newer. An accepted record that this host lacks was replayed by a majority
//!   of this table or of a later one, whose change a majority of this table
//!   replayed. At least one of these holders would have reported a newer offset.
//!
//! A table without holders has no majority, so only the first two sources
//! remain. All times are of this host's own clock; no two clocks are compared.

use std::collections::HashMap;

use crocushoist_state::ClockTime;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardTable;

use crate::timing;

/// Offset that a holder reported.
#[derive(Clone, Copy, Debug)]
struct HolderResponse {
    requested_at: ClockTime,
    next_offset: u64,
}

/// Tracks the age of the evidence that this host has missed no accepted record.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTracker {
    /// Time as of which the newest evidence holds.
    evidence_at: Option<ClockTime>,
    responses: HashMap<IncarnationId, HolderResponse>,
}

impl FreshnessTracker {
    /// Records that this host has replayed the log up to the tail read by a request that was
    /// sent at `requested_at`.
    pub fn record_evidence(&mut self, requested_at: ClockTime) {
        self.evidence_at = self.evidence_at.max(Some(requested_at));
    }

    /// Records the evidence of a peer whose records this host has replayed.
    ///
    /// The request was sent at `requested_at`, and the peer's evidence was `age_millis` old.
    pub fn record_evidence_from_peer(&mut self, requested_at: ClockTime, age_millis: u64) {
        self.record_evidence(requested_at.minus(age_millis));
    }

    /// Records that `incarnation` reported `next_offset` to a request sent at `requested_at`.
    pub fn record_holder_response(
        &mut self,
        incarnation: IncarnationId,
        requested_at: ClockTime,
        next_offset: u64,
    ) {
        self.responses.insert(
            incarnation,
            HolderResponse {
                requested_at,
                next_offset,
            },
        );
    }

    /// Records the evidence that a majority of the holders in `table` gives, if there is one.
    ///
    /// `own` is this incarnation, which has replayed every record below `next_offset`.
    pub fn record_majority_evidence(
        &mut self,
        table: &ShardTable,
        own: IncarnationId,
        next_offset: u64,
        now: ClockTime,
    ) {
        let requested_at = table.majority_value(|holder| {
            if holder.incarnation == own {
                return Some(now);
            }
            let response = self.responses.get(&holder.incarnation)?;
            (response.next_offset <= next_offset).then_some(response.requested_at)
        });
        if let Some(Some(requested_at)) = requested_at {
            self.record_evidence(requested_at);
        }
    }

    /// Age of the newest evidence in milliseconds, `None` before the first.
    pub fn age(&self, now: ClockTime) -> Option<u64> {
        self.evidence_at.map(|evidence_at| now.since(evidence_at))
    }

    /// Whether the evidence is recent enough to admit keyed requests.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        self.age(now)
            .is_some_and(|age| age < timing::MAX_EVIDENCE_AGE_MS)
    }

    /// Removes the responses of incarnations for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(IncarnationId) -> bool) {
        self.responses
            .retain(|incarnation, _| is_known(*incarnation));
    }
}
