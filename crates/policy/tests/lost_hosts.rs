//! Load pattern: the first hosts of a data centre are lost for good, and the others look for a hub.

use std::net::SocketAddr;

use yare::parameterized;

use crocushoist_policy::HostRegistration;
use crocushoist_policy::HostRoster;
use crocushoist_policy::HubSearch;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

/// Milliseconds from one round of a search to the next, and from the last answer of a hub to the
/// first round.
const ROUND_MS: u64 = 60;
const SEARCH_DELAY_MS: u64 = 250;

/// Milliseconds after which a host must have found a hub; an instance may be sent requests for two
/// seconds after it left.
const MAX_SEARCH_MS: u64 = 2_000;

fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

/// Roster of `count` hosts of one data centre, numbered in their order as hubs.
fn roster(count: u16) -> HostRoster {
    let mut roster = HostRoster::default();
    for number in 1..=count {
        let registration = HostRegistration {
            caller_address: address(number),
            peer_address: address(number),
            data_centre: "north".into(),
            capacity: 1,
            incarnation: 1,
            era: StoreEra::default(),
        };
        let offset = StoreOffset::new(StoreEra::default(), u64::from(number));
        roster.apply_registration(offset, registration);
    }
    roster
}

/// Searches among `candidates`, of which those with `is_alive` answer before the next round, until
/// the search is settled; returns its milliseconds and the number of probes.
fn search(
    search: &mut HubSearch,
    candidates: &[SocketAddr],
    is_alive: impl Fn(SocketAddr) -> bool,
) -> (u64, usize) {
    let (mut millis, mut probes) = (SEARCH_DELAY_MS, 0);
    while !search.is_settled(candidates) {
        for host in search.next_batch(candidates) {
            probes += 1;
            if is_alive(host) {
                search.record_answer(host);
            }
        }
        millis += ROUND_MS;
    }
    (millis, probes)
}

/// Guards against a time without a hub that grows with the number of lost hosts.
#[parameterized(
    none = { 0 },
    one = { 1 },
    nine = { 9 },
    data_centre = { 78 },
    replaced_for_days = { 1_000 },
)]
fn live_host_is_found_in_time_behind_lost_ones(lost: u16) {
    let mut roster = roster(lost + 3);
    let candidates = roster.candidates("north", address(lost + 3), at(0));
    let mut hub_search = HubSearch::default();
    let is_alive = |host| host > address(lost);
    let (millis, probes) = search(&mut hub_search, &candidates, is_alive);
    assert!(millis <= MAX_SEARCH_MS, "{millis} ms");
    assert!(probes <= 2 * usize::from(lost) + 2, "{probes} probes");
    for silent in hub_search.silent_candidates(&candidates) {
        roster.suspect(silent);
    }
    let hub = roster.hub_of("north", at(0)).unwrap();
    assert_eq!(hub.peer_address, address(lost + 1));
}

/// Guards against a last host that waits for each lost one before it is the hub itself.
#[parameterized(few = { 2 }, nine = { 9 }, data_centre = { 78 })]
fn last_host_is_hub_itself_in_time(lost: u16) {
    let mut roster = roster(lost + 1);
    let own_address = address(lost + 1);
    let candidates = roster.candidates("north", own_address, at(0));
    let mut hub_search = HubSearch::default();
    let (millis, probes) = search(&mut hub_search, &candidates, |_| false);
    assert!(millis <= MAX_SEARCH_MS, "{millis} ms");
    assert_eq!(probes, usize::from(lost));
    for silent in hub_search.silent_candidates(&candidates) {
        roster.suspect(silent);
    }
    let hub = roster.hub_of("north", at(0)).unwrap();
    assert_eq!(hub.peer_address, own_address);
}

/// Guards against a search that asks the whole data centre although the next host is alive.
#[test]
fn search_ends_with_the_first_answer() {
    let roster = roster(78);
    let candidates = roster.candidates("north", address(78), at(0));
    let mut hub_search = HubSearch::default();
    let (_, probes) = search(&mut hub_search, &candidates, |host| host != address(1));
    assert!(probes <= 3, "{probes} probes");
    assert!(hub_search.next_batch(&candidates).is_empty());
}

/// Guards against live hosts that are suspected because they were not asked or answered late.
#[test]
fn only_hosts_that_were_asked_and_are_silent_are_suspected() {
    let candidates: Vec<SocketAddr> = (1..=20).map(address).collect();
    let mut hub_search = HubSearch::default();
    hub_search.next_batch(&candidates);
    hub_search.next_batch(&candidates);
    hub_search.record_answer(address(3));
    let silent = hub_search.silent_candidates(&candidates);
    assert_eq!(silent, [address(1), address(2)]);
    hub_search.record_answer(address(1));
    assert!(hub_search.silent_candidates(&candidates).is_empty());
    // A message that no probe asked for says nothing of the others.
    let mut other_search = HubSearch::default();
    other_search.record_answer(address(9));
    assert!(!other_search.is_settled(&candidates));
}

/// Guards against a host that never probes those that it suspects again.
#[test]
fn suspects_before_the_hub_stay_known() {
    let mut roster = roster(5);
    for number in [1, 2, 4] {
        roster.suspect(address(number));
    }
    let suspects = roster.suspects_before("north", address(3), at(0));
    assert_eq!(suspects, [address(1), address(2)]);
    roster.clear_suspicion(address(2), at(0));
    let hub = roster.hub_of("north", at(0)).unwrap();
    assert_eq!(hub.peer_address, address(2));
}
