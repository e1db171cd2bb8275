//! Encodes snapshots of the replayed state and splits them into log records.
//!
//! Each part carries the hash of the complete snapshot, which readers verify.
//! Writing a snapshot twice is harmless, because readers use the newest
//! complete one.

use std::collections::BTreeMap;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crocushoist_coordination::ReplayError;
use crocushoist_coordination::ReplayedState;
use crocushoist_coordination::SnapshotPart;
use crocushoist_state::breach;
use crocushoist_state::breach::BreachKind;

use crate::ConfigReport;
use crate::ProtocolError;
use crate::WireChange;
use crate::wire_snapshot::WireSnapshot;
use crate::wire_snapshot::config_objects;

/// Maximum number of bytes in one part.
const MAX_PART_BYTES: usize = 192 * 1024;

/// Encodes a snapshot of the replayed state.
pub fn encode_snapshot(state: &ReplayedState) -> Vec<u8> {
    postcard::to_stdvec(&WireSnapshot::from(state)).unwrap_or_default()
}

/// Decodes a snapshot into the replayed state.
///
/// # Errors
///
/// [`ProtocolError`] if `bytes` is not a valid snapshot.
pub fn decode_snapshot(bytes: &[u8]) -> Result<ReplayedState, ProtocolError> {
    postcard::from_bytes::<WireSnapshot>(bytes)?.try_into()
}

/// Splits an encoded snapshot taken at offset `as_of` into parts for the log.
pub fn split_snapshot(as_of: u64, bytes: &[u8]) -> Vec<SnapshotPart> {
    let hash = xxh3_64(bytes);
    let count = bytes.len().div_ceil(MAX_PART_BYTES).max(1) as u32;
    bytes
        .chunks(MAX_PART_BYTES)
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

/// Joins and decodes the newest complete snapshot among `parts`, `None` if there is none.
///
/// # Errors
///
/// [`ProtocolError`] if that snapshot does not match its hash or cannot be decoded.
pub fn join_snapshot(parts: &[SnapshotPart]) -> Option<Result<ReplayedState, ProtocolError>> {
    let mut groups: BTreeMap<(u64, u64), BTreeMap<u32, &SnapshotPart>> = BTreeMap::new();
    for part in parts {
        let group = groups.entry((part.as_of, part.hash)).or_default();
        group.insert(part.index, part);
    }
    let newest_complete = groups.into_iter().rev().find(|(_, group)| {
        group
            .values()
            .next()
            .is_some_and(|part| group.len() == part.count as usize)
    });
    let ((as_of, hash), group) = newest_complete?;
    let bytes: Vec<u8> = group
        .values()
        .flat_map(|part| part.bytes.iter().copied())
        .collect();
    if !breach::require(xxh3_64(&bytes) == hash, BreachKind::SnapshotCorrupt) {
        let cause = CompactString::from("its content was changed");
        return Some(Err(ReplayError::CorruptSnapshot { as_of, cause }.into()));
    }
    Some(decode_snapshot(&bytes))
}

impl From<&ReplayedState> for ConfigReport {
    fn from(state: &ReplayedState) -> Self {
        let mut objects: Vec<(u64, WireChange)> = config_objects(state.config())
            .into_iter()
            .map(|(revision, _, change)| (revision, change))
            .collect();
        let config = state.config();
        let keys = config.keys().map(|(digest, workspace, revision)| {
            let change = WireChange::GrantKey {
                digest: CompactString::from(digest.to_string()),
                workspace: config.workspace(workspace).name.clone(),
            };
            (revision, change)
        });
        objects.extend(keys);
        ConfigReport {
            next_offset: state.next_offset(),
            objects,
        }
    }
}
