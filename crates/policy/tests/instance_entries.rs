//! Entries of the instance list that arrive late or repeatedly, expire or are
//! outdated.

use std::net::SocketAddr;

use crocushoist_policy::InstanceListing;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::ListingChange;
use crocushoist_policy::Presence;
use crocushoist_policy::PresenceEvidence;
use crocushoist_policy::RelayedListing;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

const SERVICE: &str = "ledger";

fn entry(started_at_unix_ms: u64, seq: u64, leaving: bool) -> InstanceListing {
    InstanceListing {
        id: "i-1".into(),
        started_at_unix_ms,
        seq,
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: "north".into(),
        slots: 3,
        leaving,
        warm_up_ms: 0,
    }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

/// Position in the topic of a store that does not tell its era.
fn offset(number: u64) -> StoreOffset {
    StoreOffset::new(StoreEra::default(), number)
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

#[test]
fn heartbeat_that_changes_only_its_sequence_number_is_not_relayed() {
    let mut table = InstanceTable::default();
    assert_eq!(
        table.apply_listing(offset(0), entry(1, 1, false), at(0)),
        ListingChange::Joined
    );
    assert_eq!(
        table.apply_listing(offset(7), entry(1, 2, false), at(10)),
        ListingChange::Unchanged
    );
    assert!(table.changed_since(offset(1)).is_empty());
}

#[test]
fn restarted_hub_knows_no_removal_from_before_its_full_list() {
    let mut host = InstanceTable::default();
    host.apply_listing(offset(0), entry(1, 1, false), at(0));
    host.advance(offset(1));
    // The removal has offset 1. A hub that restarts after it reads a full list without the entry.
    let mut hub = InstanceTable::default();
    hub.finish_full_list(offset(2), |_| false, None, at(1_000));
    assert!(hub.changed_since(host.next_offset()).is_empty());
    assert!(!hub.knows_changes_since(host.next_offset()));
    let absent = host.finish_full_list(offset(2), |_| false, None, at(1_100));
    assert_eq!(absent, ["i-1"]);
    assert_eq!(host.usable_count(SERVICE, at(1_100)), 0);
    assert!(hub.knows_changes_since(host.next_offset()));
}

#[test]
fn hub_that_read_every_entry_knows_all_removals() {
    let mut hub = InstanceTable::default();
    hub.apply_listing(offset(0), entry(1, 1, false), at(0));
    hub.advance(offset(1));
    hub.apply_removal(offset(1), "i-1", None, at(10));
    hub.advance(offset(2));
    assert!(hub.knows_changes_since(offset(1)));
    assert_eq!(hub.changed_since(offset(1)).len(), 1);
}

#[test]
fn older_entry_does_not_undo_leaving() {
    let mut table = InstanceTable::default();
    table.apply_listing(offset(0), entry(1, 1, false), at(0));
    assert_eq!(
        table.apply_listing(offset(1), entry(1, 5, true), at(10)),
        ListingChange::Leaving
    );
    assert_eq!(
        table.apply_listing(offset(2), entry(1, 4, false), at(20)),
        ListingChange::Unchanged
    );
    assert_eq!(table.usable_count(SERVICE, at(30)), 0);
}

#[test]
fn earlier_start_does_not_replace_a_later_one() {
    let mut table = InstanceTable::default();
    table.apply_listing(offset(0), entry(20, 1, false), at(0));
    assert_eq!(
        table.apply_listing(offset(1), entry(10, 99, true), at(10)),
        ListingChange::Unchanged
    );
    assert_eq!(
        table.apply_listing(offset(2), entry(30, 1, false), at(20)),
        ListingChange::Joined
    );
    assert_eq!(table.usable_count(SERVICE, at(30)), 1);
}

#[test]
fn entry_that_expired_in_an_outage_stays_usable_until_the_lapse_time() {
    let mut table = InstanceTable::default();
    table.apply_listing(offset(0), entry(1, 1, false), at(0));
    assert_eq!(
        table.apply_removal(offset(1), "i-1", Some(at(2_100)), at(100)),
        ListingChange::Lapsed
    );
    assert_eq!(table.usable_count(SERVICE, at(2_000)), 1);
    assert_eq!(table.usable_count(SERVICE, at(2_200)), 0);
    table.apply_listing(offset(2), entry(1, 2, false), at(2_300));
    assert_eq!(table.usable_count(SERVICE, at(2_400)), 1);
}

#[test]
fn removal_without_an_outage_takes_effect_immediately() {
    let mut table = InstanceTable::default();
    table.apply_listing(offset(0), entry(1, 1, false), at(0));
    assert_eq!(
        table.apply_removal(offset(1), "i-1", None, at(100)),
        ListingChange::Gone
    );
    assert_eq!(table.usable_count(SERVICE, at(100)), 0);
}

#[test]
fn full_list_removes_unlisted_instances() {
    let mut table = InstanceTable::default();
    table.apply_listing(offset(0), entry(1, 1, false), at(0));
    let absent = table.finish_full_list(offset(9), |_| false, None, at(10));
    assert_eq!(absent, ["i-1"]);
    assert_eq!(table.next_offset(), offset(9));
    assert_eq!(table.usable_count(SERVICE, at(10)), 0);
}

#[test]
fn relayed_removal_applies_on_a_host_that_never_read_the_list() {
    let mut table = InstanceTable::default();
    table.apply_relayed(
        relayed(offset(4), entry(1, 1, false), Presence::Listed),
        at(0),
    );
    assert_eq!(table.usable_count(SERVICE, at(10)), 1);
    let change = table.apply_relayed(
        relayed(offset(6), entry(1, 1, false), Presence::Gone),
        at(20),
    );
    assert_eq!(change, ListingChange::Gone);
    assert_eq!(table.usable_count(SERVICE, at(20)), 0);
}

#[test]
fn removal_after_the_lapse_time_takes_effect_immediately() {
    let mut table = InstanceTable::default();
    table.apply_listing(offset(0), entry(1, 1, false), at(0));
    let change = table.apply_removal(offset(1), "i-1", Some(at(1_800)), at(1_900));
    assert_eq!(change, ListingChange::Gone);
}

#[test]
fn hub_that_missed_a_removal_does_not_bring_the_instance_back() {
    let mut table = InstanceTable::default();
    table.apply_relayed(
        relayed(offset(4), entry(1, 1, false), Presence::Listed),
        at(0),
    );
    table.apply_relayed(
        relayed(offset(6), entry(1, 1, false), Presence::Gone),
        at(20),
    );
    let lapsing = Presence::Lapsing(at(2_000));
    let change = table.apply_relayed(relayed(offset(9), entry(1, 1, false), lapsing), at(40));
    assert_eq!(change, ListingChange::Unchanged);
    assert_eq!(table.usable_count(SERVICE, at(50)), 0);
    table.apply_relayed(
        relayed(offset(10), entry(1, 2, false), Presence::Listed),
        at(60),
    );
    assert_eq!(table.usable_count(SERVICE, at(70)), 1);
}
