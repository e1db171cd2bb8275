//! Entries of the instance list that can be decoded and still name no instance to use.

use yare::parameterized;

use crocushoist_policy::InstanceListing;
use crocushoist_policy::ListingFault;

fn entry() -> InstanceListing {
    InstanceListing {
        id: "i-7f3a91c2".into(),
        started_at_unix_ms: 1_700_000_000_000,
        seq: 4,
        service: "ledger".into(),
        address: "10.128.0.9:8080".parse().unwrap(),
        data_centre: "north".into(),
        slots: 3,
        leaving: false,
        warm_up_ms: 0,
    }
}

/// Guards against an entry that gets requests, or reaches other hosts, although no instance can
/// be meant by it.
#[parameterized(
    empty_id = { |entry| entry.id = "".into(), ListingFault::Id },
    long_id = { |entry| entry.id = "i".repeat(256).into(), ListingFault::Id },
    line_break = { |entry| entry.id = "i\r\n1".into(), ListingFault::Id },
    replaced_bytes = { |entry| entry.id = "i\u{fffd}1".into(), ListingFault::Id },
    empty_service = { |entry| entry.service = "".into(), ListingFault::Service },
    long_service = { |entry| entry.service = "s".repeat(129).into(), ListingFault::Service },
    empty_centre = { |entry| entry.data_centre = "".into(), ListingFault::DataCentre },
    long_centre = { |entry| entry.data_centre = "d".repeat(129).into(), ListingFault::DataCentre },
    no_port = { |entry| entry.address.set_port(0), ListingFault::Address },
    any_address = { |entry| entry.address = "0.0.0.0:80".parse().unwrap(), ListingFault::Address },
    group = { |entry| entry.address = "224.0.0.1:80".parse().unwrap(), ListingFault::Address },
    no_slots = { |entry| entry.slots = 0, ListingFault::Slots },
    all_slots = { |entry| entry.slots = u32::MAX, ListingFault::Slots },
)]
fn odd_entry_has_a_fault(change: fn(&mut InstanceListing), expected: ListingFault) {
    let mut entry = entry();
    change(&mut entry);
    assert_eq!(entry.fault(), Some(expected));
}

/// Guards against instances that are left out because their names or numbers are large.
#[test]
fn entries_at_the_limits_have_no_fault() {
    assert_eq!(entry().fault(), None);
    let largest = InstanceListing {
        id: "i".repeat(255).into(),
        service: "s".repeat(128).into(),
        data_centre: "d".repeat(128).into(),
        started_at_unix_ms: u64::MAX,
        seq: u64::MAX,
        warm_up_ms: u64::MAX,
        slots: 65_536,
        ..entry()
    };
    assert_eq!(largest.fault(), None);
}
