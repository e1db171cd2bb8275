//! A record is accepted only by a majority of the table before it, one change after the other.

use std::net::SocketAddr;

use crocushoist_coordination::AcceptanceTracker;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;
use crocushoist_state::ShardTable;

fn holder(incarnation: u64) -> ShardHolder {
    let address = SocketAddr::from(([127, 0, 0, incarnation as u8], 7_001));
    ShardHolder {
        incarnation: IncarnationId(incarnation),
        address: HostAddress {
            callers: address,
            peers: address,
            data_centre: "dc1".into(),
        },
        ended: false,
    }
}

/// Table whose shard N is held by the N-th incarnation.
fn table_of(incarnations: &[u64]) -> ShardTable {
    let mut table = ShardTable::new(incarnations.len() as u32);
    for (shard, incarnation) in incarnations.iter().enumerate() {
        let shard = ShardId::from_u32(shard as u32);
        assert!(table.change_holder(shard, 0, None, Some(holder(*incarnation)), None, 0));
    }
    table
}

fn note(tracker: &mut AcceptanceTracker, folded: &[(u64, u64)]) {
    for (incarnation, next_offset) in folded {
        tracker.note_folded(IncarnationId(*incarnation), *next_offset);
    }
}

#[test]
fn majority_counts_by_shard() {
    let table = table_of(&[1, 1, 1, 2, 3]);
    let mut tracker = AcceptanceTracker::default();
    note(&mut tracker, &[(2, 9), (3, 9)]);
    assert_eq!(tracker.advance(&table, 9), 0);
    note(&mut tracker, &[(1, 6)]);
    assert_eq!(tracker.advance(&table, 9), 6);
}

#[test]
fn change_counts_by_the_table_before_it() {
    let before = table_of(&[1, 2, 3]);
    let after = table_of(&[4, 5, 3]);
    let mut tracker = AcceptanceTracker::default();
    tracker.note_change(7, before);
    note(&mut tracker, &[(3, 9), (4, 9), (5, 9)]);
    assert_eq!(
        tracker.advance(&after, 9),
        0,
        "the earlier holders have not folded the change"
    );
    note(&mut tracker, &[(1, 7), (2, 7)]);
    assert_eq!(tracker.advance(&after, 9), 7);
    note(&mut tracker, &[(1, 8)]);
    assert_eq!(tracker.advance(&after, 9), 9);
}

#[test]
fn ended_incarnation_counts_as_having_folded() {
    let mut table = table_of(&[1, 2, 3]);
    let mut tracker = AcceptanceTracker::default();
    note(&mut tracker, &[(3, 9)]);
    assert_eq!(tracker.advance(&table, 9), 0);
    assert!(table.end(IncarnationId(1)));
    assert_eq!(tracker.advance(&table, 9), 9);
}

#[test]
fn fold_from_a_snapshot_waits_for_a_voucher() {
    let table = table_of(&[1, 2, 3]);
    let mut tracker = AcceptanceTracker::starting_at(9);
    note(&mut tracker, &[(1, 12), (2, 12), (3, 12)]);
    assert_eq!(tracker.advance(&table, 12), 0);
    tracker.note_accepted(8);
    assert_eq!(tracker.advance(&table, 12), 8);
    tracker.note_accepted(9);
    assert_eq!(tracker.advance(&table, 12), 12);
}

#[test]
fn accepted_offset_never_goes_back() {
    let table = table_of(&[1, 2, 3]);
    let mut tracker = AcceptanceTracker::default();
    note(&mut tracker, &[(1, 5), (2, 5)]);
    assert_eq!(tracker.advance(&table, 5), 5);
    note(&mut tracker, &[(1, 2)]);
    assert_eq!(tracker.advance(&table_of(&[7, 8, 9]), 5), 5);
}
