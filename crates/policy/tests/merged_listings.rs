//! Lists and answers of hosts that know different parts of the store's history.

use std::net::SocketAddr;

use crocushoist_policy::InstanceListing;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::Presence;
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
    let gone = (offset(2, 1), entry(1, 9), Presence::Gone);
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
    host.apply_relayed(offset(2, 4), entry(1, 3), Presence::Listed, at(100));
    assert_eq!(host.usable_count(SERVICE, at(100)), 0);
    host.apply_relayed(offset(2, 9), entry(1, 4), Presence::Listed, at(200));
    assert_eq!(host.usable_count(SERVICE, at(200)), 1, "it is newer");
}
