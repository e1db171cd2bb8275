//! Records of the platform's log.

use compact_str::CompactString;

use crocushoist_state::ConfigChange;
use crocushoist_state::IncarnationId;
use crocushoist_state::OfferId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;

/// Random number that makes an edit idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EditId(pub u128);

/// Edit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditRecord {
    /// Number of the edit; a repetition is ignored.
    pub id: EditId,
    /// Revision of the object that the edit was based on.
    pub base: u64,
    /// Who asked for it.
    pub author: CompactString,
    /// The change.
    pub change: ConfigChange,
}

/// Change of a shard's holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardClaim {
    /// Shard that changes hands.
    pub shard: ShardId,
    /// Generation that the writer saw.
    pub generation: u32,
    /// Holder that the writer saw.
    pub from: Option<IncarnationId>,
    /// New holder, `None` to set the shard free.
    pub to: Option<ShardHolder>,
    /// Number of the offer with which the earlier holder handed the shard over.
    pub offer: Option<OfferId>,
}

/// Part of a snapshot of the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPart {
    /// Offset of the first record that the snapshot does not contain.
    pub as_of: u64,
    /// Index of this part.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Hash of the whole snapshot.
    pub hash: u64,
    /// Encoded bytes of this part.
    pub bytes: Vec<u8>,
}

/// Record of the platform's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRecord {
    /// Edit of the configuration.
    Edit(EditRecord),
    /// Change of a shard's holder.
    Claim(ShardClaim),
    /// An operator vouches that an incarnation has ended.
    End {
        /// Incarnation that ended.
        incarnation: IncarnationId,
        /// Who vouches.
        author: CompactString,
        /// Why the operator is sure.
        reason: CompactString,
    },
    /// Part of a snapshot of the fold.
    Snapshot(SnapshotPart),
}
