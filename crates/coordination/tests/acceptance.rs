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
        start_offset: 0,
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
    assert!(table.mark_ended(IncarnationId(1)));
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

/// The holder with `incarnation`, restarted at the address of `earlier` after it read `born`.
fn restarted(incarnation: u64, earlier: u64, born: u64) -> ShardHolder {
    ShardHolder {
        incarnation: IncarnationId(incarnation),
        start_offset: born,
        ..holder(earlier)
    }
}

#[test]
fn restart_at_an_address_ends_the_earlier_holder_in_waiting_tables() {
    let before = table_of(&[1, 2, 3]);
    let after = table_of(&[4, 4, 4]);
    let mut tracker = AcceptanceTracker::default();
    tracker.note_change(7, before);
    note(&mut tracker, &[(4, 9)]);
    assert_eq!(tracker.advance(&after, 9), 0);
    tracker.note_bound(&restarted(8, 1, 5));
    assert_eq!(tracker.advance(&after, 9), 0);
    tracker.note_bound(&restarted(9, 2, 5));
    assert_eq!(tracker.advance(&after, 9), 9);
}

#[test]
fn late_record_of_an_earlier_incarnation_ends_nobody() {
    let current = restarted(8, 1, 5);
    let earlier = restarted(1, 1, 3);
    let unknown = restarted(7, 1, 0);
    assert!(earlier.is_superseded_by(&current));
    assert!(!current.is_superseded_by(&earlier));
    assert!(!current.is_superseded_by(&unknown));
    assert!(!current.is_superseded_by(&current));
    assert!(
        !current.is_superseded_by(&restarted(9, 1, 5)),
        "equal tails tell nothing"
    );
}
