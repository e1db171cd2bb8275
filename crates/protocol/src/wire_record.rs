//! Binary encoding of log records.
//!
//! An encoded record is one version byte followed by the postcard encoding of
//! [`WireRecord`].

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_coordination::EditId;
use crocushoist_coordination::EditRecord;
use crocushoist_coordination::LogRecord;
use crocushoist_coordination::ShardClaim;
use crocushoist_coordination::SnapshotPart;
use crocushoist_state::IncarnationId;
use crocushoist_state::OfferId;
use crocushoist_state::ShardId;

use crate::ProtocolError;
use crate::WireChange;
use crate::WireHolder;

/// Format version that this program writes and reads.
const RECORD_VERSION: u8 = 1;

#[derive(Clone, Debug, Serialize, Deserialize)]
enum WireRecord {
    Edit {
        id: u128,
        base: u64,
        author: CompactString,
        change: WireChange,
    },
    Claim {
        shard: u32,
        generation: u32,
        from: Option<u64>,
        to: Option<WireHolder>,
        offer: Option<u64>,
    },
    End {
        incarnation: u64,
        author: CompactString,
        reason: CompactString,
    },
    Snapshot {
        as_of: u64,
        index: u32,
        count: u32,
        hash: u64,
        bytes: Vec<u8>,
    },
}

/// Encodes a record for the log.
pub fn encode_record(record: &LogRecord) -> Vec<u8> {
    let mut bytes = vec![RECORD_VERSION];
    let body = postcard::to_stdvec(&WireRecord::from(record)).unwrap_or_default();
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes a record of the log.
///
/// # Errors
///
/// [`ProtocolError`] if `bytes` is empty, of another format version, or not a valid record.
pub fn decode_record(bytes: &[u8]) -> Result<LogRecord, ProtocolError> {
    let (version, body) = bytes
        .split_first()
        .ok_or_else(|| ProtocolError::Decode("the record is empty".into()))?;
    if *version != RECORD_VERSION {
        return Err(ProtocolError::Version {
            found: *version,
            known: RECORD_VERSION,
        });
    }
    postcard::from_bytes::<WireRecord>(body)?.try_into()
}

impl From<&LogRecord> for WireRecord {
    fn from(record: &LogRecord) -> Self {
        match record {
            LogRecord::Edit(edit) => WireRecord::Edit {
                id: edit.id.0,
                base: edit.base_revision,
                author: edit.author.clone(),
                change: (&edit.change).into(),
            },
            LogRecord::Claim(claim) => WireRecord::Claim {
                shard: claim.shard.as_u32(),
                generation: claim.generation,
                from: claim.from.map(|incarnation| incarnation.0),
                to: claim.to.as_ref().map(WireHolder::from),
                offer: claim.offer.map(|offer| offer.0),
            },
            LogRecord::DeclareEnded {
                incarnation,
                author,
                reason,
            } => WireRecord::End {
                incarnation: incarnation.0,
                author: author.clone(),
                reason: reason.clone(),
            },
            LogRecord::Snapshot(part) => WireRecord::Snapshot {
                as_of: part.as_of,
                index: part.index,
                count: part.count,
                hash: part.hash,
                bytes: part.bytes.clone(),
            },
        }
    }
}

impl TryFrom<WireRecord> for LogRecord {
    type Error = ProtocolError;

    fn try_from(record: WireRecord) -> Result<Self, ProtocolError> {
        let record = match record {
            WireRecord::Edit {
                id,
                base,
                author,
                change,
            } => LogRecord::Edit(EditRecord {
                id: EditId(id),
                base_revision: base,
                author,
                change: change.try_into()?,
            }),
            WireRecord::Claim {
                shard,
                generation,
                from,
                to,
                offer,
            } => LogRecord::Claim(ShardClaim {
                shard: ShardId::from_u32(shard),
                generation,
                from: from.map(IncarnationId),
                to: to.map(Into::into),
                offer: offer.map(OfferId),
            }),
            WireRecord::End {
                incarnation,
                author,
                reason,
            } => LogRecord::DeclareEnded {
                incarnation: IncarnationId(incarnation),
                author,
                reason,
            },
            WireRecord::Snapshot {
                as_of,
                index,
                count,
                hash,
                bytes,
            } => LogRecord::Snapshot(SnapshotPart {
                as_of,
                index,
                count,
                hash,
                bytes,
            }),
        };
        Ok(record)
    }
}
