//! Encodes snapshots and cuts them into records.
//!
//! A snapshot is checked by the hash of its whole content. Writing one twice
//! is harmless: readers take the newest whole one.

use std::collections::BTreeMap;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crocushoist_coordination::FoldError;
use crocushoist_coordination::RecordFold;
use crocushoist_coordination::SnapshotPart;
use crocushoist_state::breach;
use crocushoist_state::breach::BreachKind;

use crate::ConfigReport;
use crate::ProtocolError;
use crate::WireChange;
use crate::wire_snapshot::WireSnapshot;
use crate::wire_snapshot::objects_of;

const PART_BYTES: usize = 192 * 1024;

/// Encodes the fold.
pub fn encode_snapshot(fold: &RecordFold) -> Vec<u8> {
    postcard::to_stdvec(&WireSnapshot::from(fold)).unwrap_or_default()
}

/// Decodes a fold.
pub fn decode_snapshot(bytes: &[u8]) -> Result<RecordFold, ProtocolError> {
    postcard::from_bytes::<WireSnapshot>(bytes)?.try_into()
}

/// Cuts an encoded snapshot of offset `as_of` into parts for the log.
pub fn split_snapshot(as_of: u64, bytes: &[u8]) -> Vec<SnapshotPart> {
    let hash = xxh3_64(bytes);
    let count = bytes.len().div_ceil(PART_BYTES).max(1) as u32;
    bytes
        .chunks(PART_BYTES)
        .enumerate()
        .map(|(index, chunk)| SnapshotPart {
            as_of,
            index: index as u32,
            count,
            hash,
            bytes: chunk.to_vec(),
        })
        .collect()
}

/// Joins the newest whole snapshot among `parts`, `None` if there is none.
pub fn join_snapshot(parts: &[SnapshotPart]) -> Option<Result<RecordFold, ProtocolError>> {
    let mut groups: BTreeMap<(u64, u64), BTreeMap<u32, &SnapshotPart>> = BTreeMap::new();
    for part in parts {
        let group = groups.entry((part.as_of, part.hash)).or_default();
        group.insert(part.index, part);
    }
    let whole = groups.into_iter().rev().find(|(_, group)| {
        group
            .values()
            .next()
            .is_some_and(|part| group.len() == part.count as usize)
    });
    let ((as_of, hash), group) = whole?;
    let bytes: Vec<u8> = group
        .values()
        .flat_map(|part| part.bytes.iter().copied())
        .collect();
    if !breach::require(xxh3_64(&bytes) == hash, BreachKind::SnapshotCorrupt) {
        let cause = CompactString::from("its content was changed");
        return Some(Err(FoldError::CorruptSnapshot { as_of, cause }.into()));
    }
    Some(decode_snapshot(&bytes))
}

impl From<&RecordFold> for ConfigReport {
    fn from(fold: &RecordFold) -> Self {
        let mut objects: Vec<(u64, WireChange)> = objects_of(fold.config())
            .into_iter()
            .map(|(revision, _, change)| (revision, change))
            .collect();
        let config = fold.config();
        let keys = config.keys().map(|(digest, workspace, revision)| {
            let change = WireChange::GrantKey {
                digest: CompactString::from(digest.to_string()),
                workspace: config.workspace(workspace).name.clone(),
            };
            (revision, change)
        });
        objects.extend(keys);
        ConfigReport {
            next_offset: fold.next_offset(),
            objects,
        }
    }
}
