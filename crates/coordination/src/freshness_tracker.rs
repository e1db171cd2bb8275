//! How old this host's evidence is that it missed no accepted record.
//!
//! Evidence at time `t` means: every record that was accepted before `t` is
//! folded here. There are three sources, and any of them will do:
//!
//! - the log, read to its tail by a request sent at `t`;
//! - a peer's evidence, aged by the whole round trip of the question;
//! - a majority of the held shards in the folded table, each of whose holders
//!   answered a question sent at `t` or later that it has folded nothing
//!   newer. An accepted record was folded by a majority of some table on the
//!   way, which meets this one in a holder that would have said so.
//!
//! A table without holders has no majority; only the log can vouch then. All
//! times are of this host's clock, so that no two clocks are compared.

use std::collections::HashMap;

use crocushoist_state::ClockTime;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardTable;

use crate::timing;

/// Answer of a holder about its offset.
#[derive(Clone, Copy, Debug)]
struct HolderAnswer {
    asked_at: ClockTime,
    next_offset: u64,
}

/// Tracks the age of the evidence.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTracker {
    evidence: Option<ClockTime>,
    answers: HashMap<IncarnationId, HolderAnswer>,
}

impl FreshnessTracker {
    /// Notes that all records up to a tail read by a request sent at `asked_at` are folded.
    pub fn note_evidence(&mut self, asked_at: ClockTime) {
        self.evidence = self.evidence.max(Some(asked_at));
    }

    /// Notes a peer's evidence of age `age_millis`, asked for at `asked_at` and folded here.
    pub fn note_peer_evidence(&mut self, asked_at: ClockTime, age_millis: u64) {
        self.note_evidence(asked_at.minus(age_millis));
    }

    /// Notes that `incarnation` had folded up to `next_offset` when asked at `asked_at`.
    pub fn note_answer(
        &mut self,
        incarnation: IncarnationId,
        asked_at: ClockTime,
        next_offset: u64,
    ) {
        self.answers.insert(
            incarnation,
            HolderAnswer {
                asked_at,
                next_offset,
            },
        );
    }

    /// Takes the majority of `table` as evidence, where there is one.
    ///
    /// `own` is this incarnation, which has folded up to `next_offset`.
    pub fn weigh_majority(
        &mut self,
        table: &ShardTable,
        own: IncarnationId,
        next_offset: u64,
        now: ClockTime,
    ) {
        let asked_at = table.majority_value(|holder| {
            if holder.incarnation == own {
                return Some(now);
            }
            let answer = self.answers.get(&holder.incarnation)?;
            (answer.next_offset <= next_offset).then_some(answer.asked_at)
        });
        if let Some(Some(asked_at)) = asked_at {
            self.note_evidence(asked_at);
        }
    }

    /// Age of the evidence in milliseconds, `None` before the first.
    pub fn age(&self, now: ClockTime) -> Option<u64> {
        self.evidence.map(|evidence| now.since(evidence))
    }

    /// Whether keyed requests may be admitted.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        self.age(now).is_some_and(|age| age < timing::FRESHNESS_MS)
    }

    /// Forgets incarnations that `is_known` does not name.
    pub fn retain(&mut self, is_known: impl Fn(IncarnationId) -> bool) {
        self.answers.retain(|incarnation, _| is_known(*incarnation));
    }
}
