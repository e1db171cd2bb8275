//! Which records a majority of the shard holders has folded.
//!
//! A record is *accepted* once a majority of the held shards, in the table
//! before the record, is held by incarnations known to have folded it. A
//! record that changes the table counts only once every change before it is
//! accepted, so that of two majorities each has met the one before it. An
//! incarnation that has ended counts as having folded everything: it can no
//! longer confirm an older offset.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crocushoist_state::IncarnationId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardTable;

/// Tracks which records are accepted.
#[derive(Clone, Debug, Default)]
pub struct AcceptanceTracker {
    folded: HashMap<IncarnationId, u64>,
    pending: VecDeque<(u64, ShardTable)>,
    ended: HashSet<IncarnationId>,
    accepted: u64,
    vouched_from: u64,
}

impl AcceptanceTracker {
    /// Tracker of a fold that starts at `next_offset`.
    ///
    /// The changes of the table before that offset are not known here, so
    /// nothing counts until another host vouches for `next_offset`.
    pub fn starting_at(next_offset: u64) -> Self {
        AcceptanceTracker {
            vouched_from: next_offset,
            ..AcceptanceTracker::default()
        }
    }

    /// Notes that the record at `offset` changed the table, which was `before`.
    pub fn note_change(&mut self, offset: u64, before: ShardTable) {
        if offset >= self.accepted {
            self.pending.push_back((offset, before));
        }
    }

    /// Notes that `incarnation` has ended.
    pub fn note_ended(&mut self, incarnation: IncarnationId) {
        self.ended.insert(incarnation);
    }

    /// Notes that `later` was bound to its address, which ends earlier holders there.
    ///
    /// Tables from before that still wait for acceptance name such holders.
    pub fn note_bound(&mut self, later: &ShardHolder) {
        let tables = self.pending.iter().map(|(_, before)| before);
        let ended = tables
            .flat_map(|table| table.live_holders())
            .filter(|holder| holder.is_superseded_by(later))
            .map(|holder| holder.incarnation);
        self.ended.extend(ended);
    }

    /// Notes that `incarnation` has folded every record below `next_offset`.
    pub fn note_folded(&mut self, incarnation: IncarnationId, next_offset: u64) {
        let known = self.folded.entry(incarnation).or_default();
        *known = next_offset.max(*known);
    }

    /// Notes that another host knows every record below `accepted` to be accepted.
    pub fn note_accepted(&mut self, accepted: u64) {
        self.accepted = self.accepted.max(accepted);
        self.drop_accepted();
    }

    /// Recomputes the accepted offset; `table` is the table after the last folded record.
    pub fn advance(&mut self, table: &ShardTable, next_offset: u64) -> u64 {
        if self.accepted < self.vouched_from {
            return self.accepted;
        }
        while let Some((offset, before)) = self.pending.front() {
            let reached = self.majority_offset(before);
            if reached <= *offset {
                self.accepted = self.accepted.max(reached);
                return self.accepted;
            }
            self.accepted = self.accepted.max(offset + 1);
            self.pending.pop_front();
        }
        let reached = self.majority_offset(table).min(next_offset);
        self.accepted = self.accepted.max(reached);
        self.accepted
    }

    /// Offset below which every record is known to be accepted.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Forgets incarnations that `is_known` does not name and no waiting table holds.
    pub fn retain(&mut self, is_known: impl Fn(IncarnationId) -> bool) {
        let waiting: HashSet<IncarnationId> = self
            .pending
            .iter()
            .flat_map(|(_, before)| before.live_holders())
            .map(|holder| holder.incarnation)
            .collect();
        let is_needed =
            |incarnation: &IncarnationId| is_known(*incarnation) || waiting.contains(incarnation);
        self.folded.retain(|incarnation, _| is_needed(incarnation));
        self.ended.retain(is_needed);
    }

    fn majority_offset(&self, table: &ShardTable) -> u64 {
        let reached = table.majority_value(|holder| {
            if holder.ended || self.ended.contains(&holder.incarnation) {
                return u64::MAX;
            }
            self.folded.get(&holder.incarnation).copied().unwrap_or(0)
        });
        reached.unwrap_or(u64::MAX)
    }

    fn drop_accepted(&mut self) {
        while self
            .pending
            .front()
            .is_some_and(|(offset, _)| *offset < self.accepted)
        {
            self.pending.pop_front();
        }
    }
}
