//! Hosts that may count as lost for good, and registrations that are removed.

use std::net::SocketAddr;

use crocushoist_policy::HostRegistration;
use crocushoist_policy::HostRoster;
use crocushoist_policy::SilenceLedger;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

const FORGET_MS: u64 = 600_000;

/// Milliseconds from one check to the next.
const CHECK_INTERVAL_MS: u64 = 250;

const ERA: StoreEra = StoreEra(3);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(1_000_000 + millis)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn registration(number: u8) -> HostRegistration {
    HostRegistration {
        caller_address: SocketAddr::from(([10, 0, 0, number], 8000)),
        peer_address: address(number),
        data_centre: "north".into(),
        capacity: 1,
        incarnation: 1,
        era: ERA,
    }
}

fn offset(number: u64) -> StoreOffset {
    StoreOffset::new(ERA, number)
}

/// Roster after a read of the registrations of the first `count` hosts.
fn roster(count: u8) -> HostRoster {
    let mut roster = HostRoster::default();
    roster.begin_full_read(ERA);
    for number in 1..=count {
        roster.apply_stored(offset(u64::from(number)), registration(number));
    }
    roster
}

/// Guards against a host that is forgotten although it sends messages now and then.
#[test]
fn only_a_host_that_is_silent_all_the_time_is_silent() {
    let mut ledger = SilenceLedger::default();
    let mut heard_at = None;
    for millis in (0..=FORGET_MS).step_by(CHECK_INTERVAL_MS as usize) {
        if millis % (FORGET_MS / 2) == CHECK_INTERVAL_MS {
            heard_at = Some(at(millis));
        }
        let hosts = [(address(1), None), (address(2), heard_at)];
        ledger.check(hosts.into_iter(), at(millis));
    }
    assert_eq!(ledger.silent_for(FORGET_MS), [address(1)]);
}

/// Guards against a hub that was suspended for long and takes all others for lost.
#[test]
fn time_in_which_the_hub_did_not_run_is_no_silence() {
    let mut ledger = SilenceLedger::default();
    for hours in 0..24 {
        let hosts = [(address(1), None)];
        ledger.check(hosts.into_iter(), at(hours * 3_600_000));
    }
    assert!(ledger.silent_for(FORGET_MS).is_empty());
}

/// Guards against a removal that takes out a host which others hear, as a hub that still acts.
#[test]
fn removed_host_that_was_heard_stays_in_the_order_and_registers_again() {
    let mut roster = roster(3);
    roster.record_message(address(1), at(0));
    roster.remove(offset(10), registration(1).caller_address, at(5_000));
    let hub = roster.hub_of("north", at(5_000)).unwrap();
    assert_eq!(hub.peer_address, address(1));
    assert!(roster.must_register(address(1), ERA));
    assert!(!roster.must_register(address(2), ERA));
    roster.apply_stored(offset(11), registration(1));
    assert!(!roster.must_register(address(1), ERA));
}

/// Guards against a removed host that stays out when it is alive after all.
#[test]
fn removed_host_is_back_with_its_next_registration() {
    let mut roster = roster(3);
    roster.remove(offset(10), registration(1).caller_address, at(0));
    let hub = roster.hub_of("north", at(0)).unwrap();
    assert_eq!(hub.peer_address, address(2));
    assert!(roster.must_register(address(1), ERA));
    roster.apply_stored(offset(11), registration(1));
    let hub = roster.hub_of("north", at(0)).unwrap();
    assert_eq!(hub.peer_address, address(1));
}

/// Guards against a late removal that takes out a host which registered after it.
#[test]
fn removal_before_the_registration_changes_nothing() {
    let mut roster = roster(3);
    roster.apply_stored(offset(12), registration(1));
    roster.remove(offset(10), registration(1).caller_address, at(0));
    assert_eq!(roster.len(), 3);
    assert!(!roster.must_register(address(1), ERA));
}

/// Guards against lost hosts that a host never drops because it missed their removal, and against
/// hosts that it drops because the store came back from a copy without them.
#[test]
fn whole_read_drops_absent_hosts_of_the_same_era_only() {
    let mut roster = roster(3);
    roster.record_message(address(3), at(0));
    let era_before = roster.begin_full_read(ERA);
    roster.apply_stored(offset(1), registration(1));
    roster.end_full_read(era_before, at(1_000));
    assert!(roster.find(address(2)).is_none(), "absent and silent");
    assert!(roster.find(address(3)).is_some(), "absent and heard");
    assert!(roster.must_register(address(3), ERA));
    let later_era = StoreEra(4);
    let era_before = roster.begin_full_read(later_era);
    roster.end_full_read(era_before, at(100_000));
    assert_eq!(roster.len(), 2, "lost by the copy");
    assert!(roster.must_register(address(1), later_era));
}
