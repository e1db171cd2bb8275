//! Tests that a record is accepted only by a majority of the table before it, and table changes one
//! after the other.

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

/// Table in which shard N is held by the N-th of `incarnations`.
fn table_held_by(incarnations: &[u64]) -> ShardTable {
    let mut table = ShardTable::new(incarnations.len() as u32);
    for (shard, incarnation) in incarnations.iter().enumerate() {
        let shard = ShardId::from_u32(shard as u32);
        assert!(table.change_holder(shard, 0, None, Some(holder(*incarnation)), None, 0));
    }
    table
}

/// Records for each incarnation the offset up to which it has replayed the log.
fn record_replayed(tracker: &mut AcceptanceTracker, replayed: &[(u64, u64)]) {
    for (incarnation, next_offset) in replayed {
        tracker.record_replayed_offset(IncarnationId(*incarnation), *next_offset);
    }
}

#[test]
fn majority_is_counted_in_shards() {
    let table = table_held_by(&[1, 1, 1, 2, 3]);
    let mut tracker = AcceptanceTracker::default();
    record_replayed(&mut tracker, &[(2, 9), (3, 9)]);
    assert_eq!(tracker.update_accepted_offset(&table, 9), 0);
    record_replayed(&mut tracker, &[(1, 6)]);
    assert_eq!(tracker.update_accepted_offset(&table, 9), 6);
}

#[test]
fn table_change_needs_a_majority_of_the_table_before_it() {
    let before = table_held_by(&[1, 2, 3]);
    let after = table_held_by(&[4, 5, 3]);
    let mut tracker = AcceptanceTracker::default();
    tracker.record_table_change(7, before);
    record_replayed(&mut tracker, &[(3, 9), (4, 9), (5, 9)]);
    assert_eq!(
        tracker.update_accepted_offset(&after, 9),
        0,
        "the earlier holders have not replayed the change"
    );
    record_replayed(&mut tracker, &[(1, 7), (2, 7)]);
    assert_eq!(tracker.update_accepted_offset(&after, 9), 7);
    record_replayed(&mut tracker, &[(1, 8)]);
    assert_eq!(tracker.update_accepted_offset(&after, 9), 9);
}

#[test]
fn ended_incarnation_counts_as_having_replayed_everything() {
    let mut table = table_held_by(&[1, 2, 3]);
    let mut tracker = AcceptanceTracker::default();
    record_replayed(&mut tracker, &[(3, 9)]);
    assert_eq!(tracker.update_accepted_offset(&table, 9), 0);
    assert!(table.mark_ended(IncarnationId(1)));
    assert_eq!(tracker.update_accepted_offset(&table, 9), 9);
}

#[test]
fn replay_from_a_snapshot_waits_until_another_host_reports_its_start_as_accepted() {
    let table = table_held_by(&[1, 2, 3]);
    let mut tracker = AcceptanceTracker::starting_at(9);
    record_replayed(&mut tracker, &[(1, 12), (2, 12), (3, 12)]);
    assert_eq!(tracker.update_accepted_offset(&table, 12), 0);
    tracker.record_accepted_offset(8);
    assert_eq!(tracker.update_accepted_offset(&table, 12), 8);
    tracker.record_accepted_offset(9);
    assert_eq!(tracker.update_accepted_offset(&table, 12), 12);
}

#[test]
fn accepted_offset_never_decreases() {
    let table = table_held_by(&[1, 2, 3]);
    let mut tracker = AcceptanceTracker::default();
    record_replayed(&mut tracker, &[(1, 5), (2, 5)]);
    assert_eq!(tracker.update_accepted_offset(&table, 5), 5);
    record_replayed(&mut tracker, &[(1, 2)]);
    assert_eq!(
        tracker.update_accepted_offset(&table_held_by(&[7, 8, 9]), 5),
        5
    );
}

/// Holder `incarnation`, started at the address of `earlier` with the start offset `first_offset`.
fn restarted(incarnation: u64, earlier: u64, first_offset: u64) -> ShardHolder {
    ShardHolder {
        incarnation: IncarnationId(incarnation),
        start_offset: first_offset,
        ..holder(earlier)
    }
}

#[test]
fn restart_at_an_address_supersedes_the_earlier_holder_in_pending_tables() {
    let before = table_held_by(&[1, 2, 3]);
    let after = table_held_by(&[4, 4, 4]);
    let mut tracker = AcceptanceTracker::default();
    tracker.record_table_change(7, before);
    record_replayed(&mut tracker, &[(4, 9)]);
    assert_eq!(tracker.update_accepted_offset(&after, 9), 0);
    tracker.record_successor(&restarted(8, 1, 5));
    assert_eq!(tracker.update_accepted_offset(&after, 9), 0);
    tracker.record_successor(&restarted(9, 2, 5));
    assert_eq!(tracker.update_accepted_offset(&after, 9), 9);
}

#[test]
fn late_record_of_an_earlier_incarnation_supersedes_no_holder() {
    let current = restarted(8, 1, 5);
    let earlier = restarted(1, 1, 3);
    let unknown = restarted(7, 1, 0);
    assert!(earlier.is_superseded_by(&current));
    assert!(!current.is_superseded_by(&earlier));
    assert!(!current.is_superseded_by(&unknown));
    assert!(!current.is_superseded_by(&current));
    assert!(
        !current.is_superseded_by(&restarted(9, 1, 5)),
        "equal tails do not show which incarnation is later"
    );
}
