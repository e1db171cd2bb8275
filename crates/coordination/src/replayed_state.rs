//! State built by replaying the platform's log.
//!
//! Every host replays the same records in the same order and therefore has the
//! same configuration and the same shard table. Every host skips the same
//! invalid and unreadable records. The offset only moves forward.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use compact_str::CompactString;
use compact_str::format_compact;

use crocushoist_state::FleetConfig;
use crocushoist_state::ShardTable;
use crocushoist_state::breach;
use crocushoist_state::breach::BreachKind;

use crate::EditId;
use crate::EditRecord;
use crate::LogRecord;
use crate::ReplayError;
use crate::ShardClaim;
use crate::SnapshotPart;

/// Number of offsets for which the outcome of an edit is kept to recognise a repetition.
const OUTCOME_RETENTION_OFFSETS: u64 = 8_192;

/// Result of applying an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditOutcome {
    /// Offset of the first record of the edit, which decided the result.
    pub offset: u64,
    /// Why the edit was refused, `None` if it was applied.
    pub refusal: Option<CompactString>,
}

/// State built by replaying the platform's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayedState {
    config: FleetConfig,
    table: ShardTable,
    outcomes: BTreeMap<EditId, EditOutcome>,
    outcome_order: VecDeque<EditId>,
    next_offset: u64,
    newest_snapshot_offset: u64,
}

impl ReplayedState {
    /// State of an empty log.
    pub fn new(shard_count: u32) -> Self {
        ReplayedState::from_parts(FleetConfig::default(), ShardTable::new(shard_count), 0)
    }

    /// State of a log of which every record below `next_offset` has been replayed.
    pub fn from_parts(config: FleetConfig, table: ShardTable, next_offset: u64) -> Self {
        ReplayedState {
            config,
            table,
            outcomes: BTreeMap::new(),
            outcome_order: VecDeque::new(),
            next_offset,
            newest_snapshot_offset: next_offset,
        }
    }

    /// Restores an outcome from a snapshot. Must be called in ascending order of offsets.
    pub fn restore_outcome(&mut self, id: EditId, outcome: EditOutcome) {
        self.insert_outcome(id, outcome);
    }

    /// Applies the record at `offset`; `None` stands for an unreadable record.
    ///
    /// Returns the previous shard table if the record changed it. A record that
    /// was already applied is skipped.
    ///
    /// # Errors
    ///
    /// [`ReplayError::Gap`] if `offset` is not the next one.
    pub fn apply(
        &mut self,
        offset: u64,
        record: Option<&LogRecord>,
    ) -> Result<Option<ShardTable>, ReplayError> {
        if offset < self.next_offset {
            return Ok(None);
        }
        if offset > self.next_offset {
            return Err(ReplayError::Gap {
                offset,
                next: self.next_offset,
            });
        }
        self.next_offset = offset + 1;
        let before = match record {
            Some(LogRecord::Edit(edit)) => {
                self.apply_edit(offset, edit);
                None
            }
            Some(LogRecord::Claim(claim)) => self.apply_claim(offset, claim),
            Some(LogRecord::DeclareEnded { incarnation, .. }) => {
                let before = self.table.clone();
                self.table.mark_ended(*incarnation).then_some(before)
            }
            Some(LogRecord::Snapshot(part)) => {
                self.record_snapshot(part);
                None
            }
            None => None,
        };
        Ok(before)
    }

    /// Replaces this state by one at a later offset, as a host that fell behind must.
    ///
    /// An earlier one is ignored and counted as a breached invariant.
    pub fn replace(&mut self, later: ReplayedState) {
        if breach::require(
            later.next_offset >= self.next_offset,
            BreachKind::OffsetWentBack,
        ) {
            *self = later;
        }
    }

    /// Offset of the first record that has not been replayed.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Offset at which the newest snapshot in the log was taken.
    pub fn newest_snapshot_offset(&self) -> u64 {
        self.newest_snapshot_offset
    }

    /// Configuration built from the log.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Shard table built from the log.
    pub fn table(&self) -> &ShardTable {
        &self.table
    }

    /// Result of the edit `id`, `None` if it was not applied or its result is no longer kept.
    pub fn outcome(&self, id: EditId) -> Option<&EditOutcome> {
        self.outcomes.get(&id)
    }

    /// Results of edits that are still kept, in the order of their offsets.
    pub fn outcomes(&self) -> impl Iterator<Item = (EditId, &EditOutcome)> {
        self.outcome_order
            .iter()
            .filter_map(|id| Some((*id, self.outcomes.get(id)?)))
    }

    fn apply_edit(&mut self, offset: u64, edit: &EditRecord) {
        if self.outcomes.contains_key(&edit.id) {
            return;
        }
        let result = self
            .config
            .apply(&edit.change, edit.base_revision, &edit.author, offset + 1);
        let outcome = EditOutcome {
            offset,
            refusal: result.err().map(|error| format_compact!("{error}")),
        };
        self.insert_outcome(edit.id, outcome);
        self.remove_outcomes_before(offset.saturating_sub(OUTCOME_RETENTION_OFFSETS));
    }

    fn insert_outcome(&mut self, id: EditId, outcome: EditOutcome) {
        self.outcomes.insert(id, outcome);
        self.outcome_order.push_back(id);
    }

    /// Removes the outcomes of records before the offset `oldest`.
    fn remove_outcomes_before(&mut self, oldest: u64) {
        while let Some(id) = self.outcome_order.front() {
            let outcome = self.outcomes.get(id);
            if outcome.is_some_and(|outcome| outcome.offset >= oldest) {
                return;
            }
            self.outcomes.remove(id);
            self.outcome_order.pop_front();
        }
    }

    fn apply_claim(&mut self, offset: u64, claim: &ShardClaim) -> Option<ShardTable> {
        let before = self.table.clone();
        let to = claim.to.clone();
        if !self.table.change_holder(
            claim.shard,
            claim.generation,
            claim.from,
            to,
            claim.offer,
            offset,
        ) {
            return None;
        }
        if let Some(holder) = &claim.to {
            self.table.mark_superseded_by(holder);
        }
        Some(before)
    }

    fn record_snapshot(&mut self, part: &SnapshotPart) {
        let is_last = part.index + 1 == part.count;
        if is_last && part.as_of <= self.next_offset {
            self.newest_snapshot_offset = self.newest_snapshot_offset.max(part.as_of);
        }
    }
}
