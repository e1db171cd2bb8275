//! Lists and answers of hosts that know different parts of the store's history.

use std::net::SocketAddr;

use crocushoist_policy::InstanceListing;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::Presence;
use crocushoist_policy::PresenceEvidence;
use crocushoist_policy::RelayedListing;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

const SERVICE: &str = "ledger";
const RELISTING_MS: u64 = 1_800;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

fn offset(era: u64, number: u64) -> StoreOffset {
    StoreOffset::new(StoreEra(era), number)
}

fn entry(started_at_unix_ms: u64, seq: u64) -> InstanceListing {
    InstanceListing {
        id: "i-1".into(),
        started_at_unix_ms,
        seq,
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: "north".into(),
        slots: 3,
        leaving: false,
        warm_up_ms: 0,
    }
}

/// Entry of a host that read it, or the removal of the instance, at `offset`.
fn relayed(offset: StoreOffset, listing: InstanceListing, presence: Presence) -> RelayedListing {
    let evidence = if presence == Presence::Listed {
        PresenceEvidence::read(offset, true)
    } else {
        PresenceEvidence::absent(offset.next())
    };
    RelayedListing {
        changed_offset: offset,
        listing,
        presence,
        evidence,
    }
}

/// Table that read the whole list up to `end`, with `listing` at `read_at`.
fn table_with(read_at: StoreOffset, listing: InstanceListing, end: StoreOffset) -> InstanceTable {
    let mut table = InstanceTable::default();
    table.apply_listing(read_at, listing, at(0));
    table.finish_full_list(end, |_| true, None, at(0));
    table
}

// Guards against a host that goes on using an instance because the list still names an earlier
// start of it as gone.
#[test]
fn earlier_start_that_is_gone_does_not_count_as_listed() {
    let mut host = table_with(offset(2, 4), entry(2, 1), offset(2, 6));
    let gone = relayed(offset(2, 1), entry(1, 9), Presence::Gone);
    let (is_whole, _) = host.apply_full_list(offset(2, 9), vec![gone], RELISTING_MS, at(100));
    assert!(is_whole);
    assert_eq!(host.usable_count(SERVICE, at(100)), 0);
}

// Guards against a hub that is behind and makes a host list an instance that left before the host
// started.
#[test]
fn answer_of_a_hub_that_is_behind_adds_no_instance() {
    let mut host = InstanceTable::default();
    host.finish_full_list(offset(2, 9), |_| true, None, at(0));
    host.apply_relayed(
        relayed(offset(2, 4), entry(1, 3), Presence::Listed),
        at(100),
    );
    assert_eq!(host.usable_count(SERVICE, at(100)), 0);
    host.apply_relayed(
        relayed(offset(2, 9), entry(1, 4), Presence::Listed),
        at(200),
    );
    assert_eq!(host.usable_count(SERVICE, at(200)), 1, "it is newer");
}

/// Entry that a host keeps from `kept_at` and has seen in the store's copy at `copied_at`.
fn kept(kept_at: StoreOffset, copied_at: StoreOffset, seq: u64) -> RelayedListing {
    RelayedListing {
        changed_offset: kept_at,
        listing: entry(1, seq),
        presence: Presence::Listed,
        evidence: PresenceEvidence {
            read_at: copied_at,
            written_at: kept_at,
            absent_before: None,
        },
    }
}

// Guards against a hub that missed a removal and, in the next era, makes a host use the instance
// again that it knew to be gone.
#[test]
fn instance_that_a_copy_still_lists_returns_only_when_it_writes_again() {
    let mut host = table_with(offset(2, 4), entry(1, 1), offset(2, 6));
    host.apply_removal(offset(2, 9), "i-1", None, at(100));
    host.advance(offset(2, 10));
    let from_copy = kept(offset(2, 5), offset(3, 5), 3);
    host.apply_full_list(offset(3, 7), vec![from_copy], RELISTING_MS, at(200));
    assert_eq!(host.usable_count(SERVICE, at(200)), 0);
    host.apply_listing(offset(3, 6), entry(1, 3), at(300));
    assert_eq!(host.usable_count(SERVICE, at(300)), 0, "a late read");
    host.apply_listing(offset(3, 7), entry(1, 4), at(400));
    assert_eq!(host.usable_count(SERVICE, at(400)), 1, "it wrote");
}

// Guards against a read that was under way and lists an instance again whose removal is known.
#[test]
fn late_read_does_not_end_a_lapse() {
    let mut host = table_with(offset(2, 4), entry(1, 1), offset(2, 6));
    host.apply_removal(offset(2, 9), "i-1", Some(at(1_000)), at(100));
    host.advance(offset(2, 10));
    host.apply_listing(offset(2, 7), entry(1, 5), at(200));
    assert_eq!(host.usable_count(SERVICE, at(1_100)), 0);
}

// Guards against a live instance that counts as gone for good because a host that is behind took
// it for gone, or because it wrote the first entry after a list that lacked it.
#[test]
fn instance_that_wrote_after_a_list_lacked_it_is_used() {
    let mut host = table_with(offset(2, 4), entry(1, 1), offset(2, 6));
    host.finish_full_list(offset(3, 0), |_| false, Some(at(500)), at(100));
    host.apply_listing(offset(3, 0), entry(1, 2), at(600));
    assert_eq!(host.usable_count(SERVICE, at(600)), 1);
    let gone = relayed(offset(2, 8), entry(1, 2), Presence::Gone);
    host.apply_full_list(offset(2, 9), vec![gone], RELISTING_MS, at(700));
    assert_eq!(host.usable_count(SERVICE, at(700)), 1);
}

// Guards against a hub that keeps a later removal to itself because the instance is gone for it
// already.
#[test]
fn removal_of_an_instance_that_counts_as_gone_is_relayed() {
    let mut hub = table_with(offset(2, 4), entry(1, 1), offset(2, 6));
    hub.apply_removal(offset(2, 6), "i-1", None, at(100));
    hub.advance(offset(2, 7));
    hub.apply_removal(offset(2, 9), "i-1", None, at(200));
    hub.advance(offset(2, 10));
    assert_eq!(hub.changes_for(offset(2, 8), 10, 10).entries.len(), 1);
}

// Guards against a host that gets the same part of many changes at one offset again and again.
#[test]
fn more_changes_at_one_offset_than_a_message_takes_need_the_whole_list() {
    let mut hub = InstanceTable::default();
    for index in 0..5 {
        let listing = InstanceListing {
            id: format!("i-{index}").into(),
            ..entry(1, 1)
        };
        hub.apply_relayed(relayed(offset(2, 4), listing, Presence::Listed), at(0));
    }
    hub.finish_full_list(offset(2, 4), |_| true, None, at(0));
    let first = hub.changes_for(offset(2, 4), 10, 5);
    assert!(first.is_complete);
    let parted = hub.changes_for(offset(2, 4), 10, 2);
    assert!(parted.needs_full_list);
}

// Guards against a live instance that a host never uses because the store's copy lists an earlier
// start of it, which the host knows to be gone.
#[test]
fn later_start_is_used_while_the_copy_lists_an_earlier_one() {
    let mut host = table_with(offset(2, 4), entry(1, 1), offset(2, 6));
    host.apply_removal(offset(2, 9), "i-1", None, at(100));
    host.advance(offset(2, 10));
    host.apply_listing(offset(3, 4), entry(1, 1), at(200));
    host.finish_full_list(offset(3, 7), |_| true, None, at(200));
    let mut later = kept(offset(2, 12), offset(2, 12), 2);
    later.listing.started_at_unix_ms = 2;
    host.apply_full_list(offset(3, 7), vec![later], RELISTING_MS, at(300));
    assert_eq!(host.usable_count(SERVICE, at(300)), 1);
}
