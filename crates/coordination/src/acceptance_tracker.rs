//! Computes which records a majority of the shard holders has replayed.
//!
//! A record is *accepted* once incarnations that are known to have replayed it
//! hold a majority of the held shards, counted in the shard table as it was
//! before the record. A record that changes the table is accepted only after
//! every earlier change, so that a majority of each table has replayed the
//! change that replaced it before the next table's majority counts. An
//! incarnation that has ended counts as having replayed everything, because it
//! can no longer confirm an older offset.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crocushoist_state::IncarnationId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardTable;

/// Tracks the offset below which every record is accepted.
#[derive(Clone, Debug, Default)]
pub struct AcceptanceTracker {
    /// Offset up to which each incarnation is known to have replayed the log.
    replayed: HashMap<IncarnationId, u64>,
    /// Table changes not yet accepted: the record's offset and the table before it.
    pending: VecDeque<(u64, ShardTable)>,
    ended: HashSet<IncarnationId>,
    accepted_offset: u64,
    /// Offset at which this host's replay started.
    start_offset: u64,
}

impl AcceptanceTracker {
    /// Tracker for a replay that starts at `next_offset`.
    ///
    /// This host does not know the table changes before that offset, so it
    /// computes nothing until another host reports that every record below
    /// `next_offset` is accepted.
    pub fn starting_at(next_offset: u64) -> Self {
        AcceptanceTracker {
            start_offset: next_offset,
            ..AcceptanceTracker::default()
        }
    }

    /// Records that the record at `offset` changed the table, which was `before` until then.
    pub fn record_table_change(&mut self, offset: u64, before: ShardTable) {
        if offset >= self.accepted_offset {
            self.pending.push_back((offset, before));
        }
    }

    /// Records that `incarnation` has ended.
    pub fn record_ended(&mut self, incarnation: IncarnationId) {
        self.ended.insert(incarnation);
    }

    /// Marks the holders that `successor` supersedes at its address as ended.
    ///
    /// The tables of changes that are not yet accepted may still name them.
    pub fn record_successor(&mut self, successor: &ShardHolder) {
        let tables = self.pending.iter().map(|(_, before)| before);
        let ended = tables
            .flat_map(|table| table.live_holders())
            .filter(|holder| holder.is_superseded_by(successor))
            .map(|holder| holder.incarnation);
        self.ended.extend(ended);
    }

    /// Records that `incarnation` has replayed every record below `next_offset`.
    pub fn record_replayed_offset(&mut self, incarnation: IncarnationId, next_offset: u64) {
        let known_offset = self.replayed.entry(incarnation).or_default();
        *known_offset = next_offset.max(*known_offset);
    }

    /// Records that another host knows every record below `accepted` to be accepted.
    pub fn record_accepted_offset(&mut self, accepted: u64) {
        self.accepted_offset = self.accepted_offset.max(accepted);
        self.remove_accepted_changes();
    }

    /// Recomputes and returns the accepted offset.
    ///
    /// `table` is the table after the last record that this host has replayed,
    /// which is the one before `next_offset`.
    pub fn update_accepted_offset(&mut self, table: &ShardTable, next_offset: u64) -> u64 {
        if self.accepted_offset < self.start_offset {
            return self.accepted_offset;
        }
        while let Some((offset, before)) = self.pending.front() {
            let majority_offset = self.majority_offset(before);
            if majority_offset <= *offset {
                self.accepted_offset = self.accepted_offset.max(majority_offset);
                return self.accepted_offset;
            }
            self.accepted_offset = self.accepted_offset.max(offset + 1);
            self.pending.pop_front();
        }
        let majority_offset = self.majority_offset(table).min(next_offset);
        self.accepted_offset = self.accepted_offset.max(majority_offset);
        self.accepted_offset
    }

    /// Offset below which every record is known to be accepted.
    pub fn accepted_offset(&self) -> u64 {
        self.accepted_offset
    }

    /// Removes incarnations for which `is_known` is false and that no pending table names.
    pub fn retain(&mut self, is_known: impl Fn(IncarnationId) -> bool) {
        let pending_holders: HashSet<IncarnationId> = self
            .pending
            .iter()
            .flat_map(|(_, before)| before.live_holders())
            .map(|holder| holder.incarnation)
            .collect();
        let is_needed = |incarnation: &IncarnationId| {
            is_known(*incarnation) || pending_holders.contains(incarnation)
        };
        self.replayed
            .retain(|incarnation, _| is_needed(incarnation));
        self.ended.retain(is_needed);
    }

    /// Offset up to which a majority of the held shards of `table` has replayed.
    fn majority_offset(&self, table: &ShardTable) -> u64 {
        let offset = table.majority_value(|holder| {
            if holder.ended || self.ended.contains(&holder.incarnation) {
                return u64::MAX;
            }
            self.replayed.get(&holder.incarnation).copied().unwrap_or(0)
        });
        offset.unwrap_or(u64::MAX)
    }

    fn remove_accepted_changes(&mut self) {
        while self
            .pending
            .front()
            .is_some_and(|(offset, _)| *offset < self.accepted_offset)
        {
            self.pending.pop_front();
        }
    }
}
