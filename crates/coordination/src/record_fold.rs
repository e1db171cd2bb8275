//! Fold of the platform's log.
//!
//! Every host folds the same records in the same order and so holds the same
//! configuration and the same shard table. Invalid and unreadable records are
//! passed over, the same on every host. The offset only moves forward.

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
use crate::FleetRecord;
use crate::FoldError;
use crate::ShardClaim;
use crate::SnapshotPart;

const OUTCOMES_KEPT_OFFSETS: u64 = 8_192;

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditOutcome {
    /// Offset of the record that decided.
    pub offset: u64,
    /// Why it was refused, `None` if it stands.
    pub refused: Option<CompactString>,
}

/// Fold of the platform's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordFold {
    config: FleetConfig,
    table: ShardTable,
    outcomes: BTreeMap<EditId, EditOutcome>,
    outcome_order: VecDeque<EditId>,
    next_offset: u64,
    newest_snapshot: u64,
}

impl RecordFold {
    /// Fold of an empty log.
    pub fn new(shard_count: u32) -> Self {
        RecordFold::from_parts(FleetConfig::default(), ShardTable::new(shard_count), 0)
    }

    /// Fold that continues at `next_offset`.
    pub fn from_parts(config: FleetConfig, table: ShardTable, next_offset: u64) -> Self {
        RecordFold {
            config,
            table,
            outcomes: BTreeMap::new(),
            outcome_order: VecDeque::new(),
            next_offset,
            newest_snapshot: next_offset,
        }
    }

    /// Puts back an outcome kept in a snapshot, in the order of their offsets.
    pub fn restore_outcome(&mut self, id: EditId, outcome: EditOutcome) {
        self.keep_outcome(id, outcome);
    }

    /// Folds the record at `offset`, `None` if it is unreadable.
    ///
    /// Returns the shard table before the record if the record changed it.
    /// A record that was already folded is passed over.
    pub fn apply(
        &mut self,
        offset: u64,
        record: Option<&FleetRecord>,
    ) -> Result<Option<ShardTable>, FoldError> {
        if offset < self.next_offset {
            return Ok(None);
        }
        if offset > self.next_offset {
            return Err(FoldError::Gap {
                offset,
                next: self.next_offset,
            });
        }
        self.next_offset = offset + 1;
        let before = match record {
            Some(FleetRecord::Edit(edit)) => {
                self.apply_edit(offset, edit);
                None
            }
            Some(FleetRecord::Claim(claim)) => self.apply_claim(offset, claim),
            Some(FleetRecord::End { incarnation, .. }) => {
                let before = self.table.clone();
                self.table.mark_ended(*incarnation).then_some(before)
            }
            Some(FleetRecord::Snapshot(part)) => {
                self.note_snapshot(part);
                None
            }
            None => None,
        };
        Ok(before)
    }

    /// Replaces this fold by a later one, as a host that fell behind must.
    pub fn replace(&mut self, later: RecordFold) {
        if breach::require(
            later.next_offset >= self.next_offset,
            BreachKind::OffsetWentBack,
        ) {
            *self = later;
        }
    }

    /// Offset of the first record not folded.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Offset that the newest snapshot in the log was taken at.
    pub fn newest_snapshot(&self) -> u64 {
        self.newest_snapshot
    }

    /// Folded configuration.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Folded shard table.
    pub fn table(&self) -> &ShardTable {
        &self.table
    }

    /// What became of edit `id`, if it was folded lately.
    pub fn outcome(&self, id: EditId) -> Option<&EditOutcome> {
        self.outcomes.get(&id)
    }

    /// Outcomes that are still kept, in the order of their offsets.
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
            .apply(&edit.change, edit.base, &edit.author, offset + 1);
        let outcome = EditOutcome {
            offset,
            refused: result.err().map(|error| format_compact!("{error}")),
        };
        self.keep_outcome(edit.id, outcome);
        self.forget_outcomes(offset.saturating_sub(OUTCOMES_KEPT_OFFSETS));
    }

    fn keep_outcome(&mut self, id: EditId, outcome: EditOutcome) {
        self.outcomes.insert(id, outcome);
        self.outcome_order.push_back(id);
    }

    /// Forgets outcomes older than offset `oldest`.
    fn forget_outcomes(&mut self, oldest: u64) {
        while let Some(id) = self.outcome_order.front() {
            let kept = self.outcomes.get(id);
            if kept.is_some_and(|outcome| outcome.offset >= oldest) {
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

    fn note_snapshot(&mut self, part: &SnapshotPart) {
        let is_last = part.index + 1 == part.count;
        if is_last && part.as_of <= self.next_offset {
            self.newest_snapshot = self.newest_snapshot.max(part.as_of);
        }
    }
}
