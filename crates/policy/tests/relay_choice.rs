//! Which host carries the requests of one that has no path to their service.

use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_policy::RelayChoice;
use crocushoist_state::ClockTime;

const SERVICE: &str = "ledger";
const START: ClockTime = ClockTime::from_millis(100_000);

fn host(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn hosts() -> Vec<(CompactString, SocketAddr)> {
    let centres = ["north", "north", "south"];
    let numbered = centres.iter().zip(1..);
    numbered
        .map(|(centre, number)| (CompactString::from(*centre), host(number)))
        .collect()
}

fn choose(
    choice: &RelayChoice,
    service: &str,
    excluded: &[u8],
    now: ClockTime,
) -> Option<SocketAddr> {
    let is_excluded = |address| excluded.iter().any(|number| host(*number) == address);
    choice.choose(service, &hosts(), "north", is_excluded, 0.9, now)
}

#[test]
fn hosts_of_the_own_data_centre_come_first() {
    let choice = RelayChoice::default();
    assert_eq!(choose(&choice, SERVICE, &[], START), Some(host(2)));
    assert_eq!(choose(&choice, SERVICE, &[2], START), Some(host(1)));
    assert_eq!(choose(&choice, SERVICE, &[1, 2], START), Some(host(3)));
    assert_eq!(choose(&choice, SERVICE, &[1, 2, 3], START), None);
}

// Guards against a host asking others in vain that have lost their path to the service too.
#[test]
fn host_that_refused_is_not_asked_again_for_this_service_for_a_while() {
    let mut choice = RelayChoice::default();
    choice.record_rejection(SERVICE, host(1), START);
    choice.record_rejection(SERVICE, host(2), START);
    assert_eq!(
        choose(&choice, SERVICE, &[], START.plus(999)),
        Some(host(3))
    );
    assert_eq!(
        choose(&choice, "archive", &[], START.plus(999)),
        Some(host(2))
    );
    assert_eq!(
        choose(&choice, SERVICE, &[], START.plus(1_000)),
        Some(host(2))
    );
}
