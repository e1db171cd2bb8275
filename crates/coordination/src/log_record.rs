//! Records of the platform's log.

use compact_str::CompactString;

use crocushoist_state::ConfigChange;
use crocushoist_state::IncarnationId;
use crocushoist_state::OfferId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;

/// Random number that identifies an edit, so that a repetition has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EditId(pub u128);

/// Edit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditRecord {
    /// Id of the edit; a second record with the same id is ignored.
    pub id: EditId,
    /// Revision of the object on which the edit is based.
    pub base_revision: u64,
    /// Who requested it.
    pub author: CompactString,
    /// The change.
    pub change: ConfigChange,
}

/// Change of a shard's holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardClaim {
    /// Shard whose holder changes.
    pub shard: ShardId,
    /// Generation of the shard when the claim was written.
    pub generation: u32,
    /// Holder of the shard when the claim was written.
    pub from: Option<IncarnationId>,
    /// New holder, `None` to release the shard.
    pub to: Option<ShardHolder>,
    /// Id of the offer by which the earlier holder hands the shard over, `None` without a handover.
    pub offer: Option<OfferId>,
}

/// Part of a snapshot of the replayed state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPart {
    /// Offset of the first record that the snapshot does not cover.
    pub as_of: u64,
    /// Index of this part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Hash of the complete snapshot.
    pub hash: u64,
    /// Encoded bytes of this part.
    pub bytes: Vec<u8>,
}

/// Record of the platform's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogRecord {
    /// Edit of the configuration.
    Edit(EditRecord),
    /// Change of a shard's holder.
    Claim(ShardClaim),
    /// Declaration of an operator that an incarnation has ended.
    DeclareEnded {
        /// Incarnation that ended.
        incarnation: IncarnationId,
        /// Who declares it.
        author: CompactString,
        /// Why the operator is certain.
        reason: CompactString,
    },
    /// Part of a snapshot of the replayed state.
    Snapshot(SnapshotPart),
}
