//! Hosts that disagree about their hub, and hubs that some hosts cannot reach.

use std::net::SocketAddr;

use crocushoist_policy::CounterSelection;
use crocushoist_policy::HostRegistration;
use crocushoist_policy::HostRoster;
use crocushoist_policy::HubAggregator;
use crocushoist_policy::ReporterId;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_policy::WindowLimit;
use crocushoist_policy::WorkspaceCounts;
use crocushoist_state::ClockTime;

const WORKSPACE: u32 = 7;
const LIMIT: WindowLimit = WindowLimit {
    rate: 10.0,
    burst: 10.0,
    slack: 20.0,
    is_recorded: true,
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

fn reporter(number: u8) -> ReporterId {
    ReporterId {
        peer_address: SocketAddr::from(([10, 0, 0, number], 7000)),
        incarnation: 1,
        is_counted: true,
        has_all_counts: true,
    }
}

fn counts(admitted: u32) -> [WorkspaceCounts; 1] {
    [WorkspaceCounts {
        workspace: WORKSPACE,
        admitted,
        refused: 0,
        in_window: None,
    }]
}

fn registration(number: u8, data_centre: &str) -> HostRegistration {
    HostRegistration {
        caller_address: SocketAddr::from(([10, 0, 0, number], 8000)),
        peer_address: SocketAddr::from(([10, 0, 0, number], 7000)),
        data_centre: data_centre.into(),
        capacity: 1,
        incarnation: 1,
        era: StoreEra::default(),
    }
}

/// Position in the topic of a store that does not tell its era.
fn offset(number: u64) -> StoreOffset {
    StoreOffset::new(StoreEra::default(), number)
}

#[test]
fn requests_reported_to_a_second_hub_are_counted_once() {
    let mut first = HubAggregator::default();
    let mut second = HubAggregator::default();
    first.apply_report(reporter(1), None, &counts(0), at(0));
    second.apply_report(reporter(2), None, &counts(0), at(0));
    first.apply_summary(reporter(9), "north", None, &second.local_totals(), at(10));
    second.apply_report(reporter(2), None, &counts(5), at(100));
    first.apply_summary(reporter(9), "north", None, &second.local_totals(), at(110));
    first.apply_summary(reporter(9), "north", None, &second.local_totals(), at(120));
    first.apply_report(reporter(1), None, &counts(3), at(130));
    first.update_limiters(|_| Some(LIMIT), at(500));
    let assumed = first.limiter(WORKSPACE).unwrap().in_window();
    first.apply_report(reporter(1), None, &counts(4), at(600));
    first.update_limiters(|_| Some(LIMIT), at(600));
    let counted = first.limiter(WORKSPACE).unwrap().in_window();
    // One more request, minus assumed admissions that left the window in the meantime.
    assert!(
        counted <= assumed + 1,
        "{counted} requests in the window after {assumed}"
    );
    assert_eq!(first.local_totals()[0].admitted, 4);
}

#[test]
fn hub_sends_summaries_to_hubs_that_others_named() {
    // Hosts that read the registrations at different times may use two hubs. These may not know
    // each other until a hub that both can reach names them.
    let mut hub = HubAggregator::default();
    let other = reporter(3).peer_address;
    hub.apply_summary(reporter(2), "south", None, &counts(0), at(0));
    hub.add_named_hubs(&[other], at(0));
    let mut recipients = hub.summary_recipients(at(100));
    recipients.sort_unstable();
    assert_eq!(recipients, [reporter(2).peer_address, other]);
    assert!(hub.summary_recipients(at(2_100)).is_empty());
}

#[test]
fn requests_before_the_first_report_of_a_new_host_are_counted() {
    let mut hub = HubAggregator::default();
    let uncounted = ReporterId {
        is_counted: false,
        ..reporter(1)
    };
    hub.apply_report(uncounted, None, &counts(4), at(0));
    hub.apply_report(reporter(1), None, &counts(5), at(60));
    assert_eq!(hub.local_totals()[0].admitted, 5);
}

#[test]
fn counters_of_a_restarted_host_begin_at_zero() {
    let mut hub = HubAggregator::default();
    hub.apply_report(reporter(1), None, &counts(100), at(0));
    let restarted = ReporterId {
        incarnation: 2,
        ..reporter(1)
    };
    hub.apply_report(restarted, None, &counts(3), at(100));
    assert_eq!(hub.local_totals()[0].admitted, 3);
}

#[test]
fn silent_host_is_not_returned_to_callers() {
    let mut hub = HubAggregator::default();
    let caller_address = SocketAddr::from(([10, 0, 0, 1], 8000));
    hub.apply_report(reporter(1), Some(caller_address), &[], at(0));
    assert_eq!(hub.local_hosts(at(1_000)), [caller_address]);
    assert!(hub.local_hosts(at(1_200)).is_empty());
    assert!(hub.is_host_reporting(reporter(1).peer_address, at(1_000)));
    assert!(!hub.is_host_reporting(reporter(1).peer_address, at(1_200)));
}

#[test]
fn hosts_with_the_same_registrations_choose_the_same_hub() {
    let mut first = HostRoster::default();
    let mut second = HostRoster::default();
    for number in 1..5 {
        first.apply_registration(offset(u64::from(number)), registration(number, "north"));
        second.apply_registration(
            offset(u64::from(number) + 50),
            registration(5 - number, "north"),
        );
    }
    assert_eq!(first.hub_of("north", at(0)), second.hub_of("north", at(0)));
}

/// Guards against a data centre that tries its lost hosts again and again and has no hub meanwhile.
#[test]
fn silent_hub_is_skipped_until_a_message_from_it_arrives() {
    const DAY_MS: u64 = 24 * 3_600 * 1_000;
    let mut roster = HostRoster::default();
    for number in 1..4 {
        roster.apply_registration(offset(u64::from(number)), registration(number, "north"));
    }
    let first = registration(1, "north").peer_address;
    roster.suspect(first);
    for millis in [100, 5_900, 6_100, DAY_MS] {
        assert_eq!(
            roster.hub_of("north", at(millis)),
            Some(&registration(2, "north"))
        );
    }
    roster.clear_suspicion(first, at(DAY_MS));
    assert_eq!(
        roster.hub_of("north", at(DAY_MS)),
        Some(&registration(1, "north"))
    );
}

/// Guards against a stopped hub that is tried again once its stop is some seconds ago.
#[test]
fn stopping_hub_is_skipped_until_it_sends_messages_after_its_stop() {
    let mut roster = HostRoster::default();
    for number in 1..4 {
        roster.apply_registration(offset(u64::from(number)), registration(number, "north"));
    }
    let first = registration(1, "north").peer_address;
    roster.mark_stopping(first, at(0));
    roster.clear_suspicion(first, at(5_900));
    assert_eq!(
        roster.hub_of("north", at(60_000)),
        Some(&registration(2, "north"))
    );
    roster.clear_suspicion(first, at(60_000));
    assert_eq!(
        roster.hub_of("north", at(60_000)),
        Some(&registration(1, "north"))
    );
}

#[test]
fn suspected_hub_is_chosen_again_after_a_message() {
    let mut roster = HostRoster::default();
    for number in 1..4 {
        roster.apply_registration(offset(u64::from(number)), registration(number, "north"));
    }
    roster.suspect(registration(1, "north").peer_address);
    roster.clear_suspicion(registration(1, "north").peer_address, at(50));
    assert_eq!(
        roster.hub_of("north", at(100)),
        Some(&registration(1, "north"))
    );
}

#[test]
fn unfit_hub_stays_skipped_though_it_is_reachable() {
    let mut roster = HostRoster::default();
    for number in 1..4 {
        roster.apply_registration(offset(u64::from(number)), registration(number, "north"));
    }
    roster.mark_unfit(registration(1, "north").peer_address, at(0));
    roster.clear_suspicion(registration(1, "north").peer_address, at(50));
    assert_eq!(
        roster.hub_of("north", at(100)),
        Some(&registration(2, "north"))
    );
    assert_eq!(
        roster.hub_of("north", at(6_100)),
        Some(&registration(1, "north"))
    );
}

#[test]
fn restarted_hub_is_no_longer_unfit() {
    let mut roster = HostRoster::default();
    for number in 1..4 {
        roster.apply_registration(offset(u64::from(number)), registration(number, "north"));
    }
    roster.mark_unfit(registration(1, "north").peer_address, at(0));
    roster.apply_registration(offset(9), registration(1, "north"));
    assert_eq!(
        roster.hub_of("north", at(100)),
        Some(&registration(1, "north"))
    );
}

#[test]
fn outdated_registration_is_ignored() {
    let mut roster = HostRoster::default();
    roster.apply_registration(offset(5), registration(1, "north"));
    roster.apply_registration(offset(3), registration(1, "south"));
    assert!(roster.hub_of("south", at(0)).is_none());
    roster.remove(offset(4), registration(1, "north").caller_address, at(0));
    assert_eq!(roster.len(), 1);
    roster.remove(offset(6), registration(1, "north").caller_address, at(0));
    assert!(roster.is_empty());
}

#[test]
fn workspace_without_requests_for_a_window_has_an_empty_window() {
    let mut hub = HubAggregator::default();
    for millis in (0..5_500).step_by(100) {
        hub.apply_report(reporter(1), None, &[], at(millis));
    }
    hub.update_limiters(|_| Some(LIMIT), at(5_500));
    hub.apply_report(reporter(1), None, &counts(2), at(5_600));
    hub.update_limiters(|_| Some(LIMIT), at(5_600));
    assert_eq!(hub.limiter(WORKSPACE).unwrap().in_window(), 2);
}

#[test]
fn host_that_returns_from_another_hub_is_not_counted_twice() {
    let mut hub = HubAggregator::default();
    hub.apply_report(reporter(1), None, &counts(10), at(0));
    hub.apply_report(reporter(1), None, &counts(12), at(60));
    hub.apply_report(reporter(1), None, &counts(90), at(6_000));
    hub.apply_report(reporter(1), None, &counts(91), at(6_060));
    assert_eq!(hub.local_totals()[0].admitted, 3);
}

#[test]
fn new_hub_does_not_record_a_window_with_assumed_use() {
    let mut hub = HubAggregator::default();
    // The records were read at the start, more than a window ago.
    hub.near_full_records
        .set_read_at(ClockTime::from_millis(90_000));
    hub.apply_report(reporter(1), None, &counts(0), at(0));
    hub.apply_report(reporter(1), None, &counts(1), at(600));
    for millis in (600..2_000).step_by(100) {
        hub.update_limiters(|_| Some(LIMIT), at(millis));
    }
    assert!(hub.limiter(WORKSPACE).is_some());
    assert_eq!(
        hub.near_full_records
            .record_to_write("north", true, at(2_000)),
        None
    );
}

#[test]
fn hosts_with_the_most_capacity_are_hubs_first() {
    let mut roster = HostRoster::default();
    for (number, capacity) in [(1, 2), (2, 100), (3, 100), (4, 2)] {
        let host = HostRegistration {
            capacity,
            ..registration(number, "north")
        };
        roster.apply_registration(offset(u64::from(number)), host);
    }
    let hub = |roster: &HostRoster, now| roster.hub_of("north", now).map(|host| host.peer_address);
    assert_eq!(hub(&roster, at(0)), Some(reporter(2).peer_address));
    roster.suspect(reporter(2).peer_address);
    assert_eq!(hub(&roster, at(0)), Some(reporter(3).peer_address));
    roster.suspect(reporter(3).peer_address);
    assert_eq!(hub(&roster, at(0)), Some(reporter(1).peer_address));
}

#[test]
fn restart_of_a_registered_host_is_the_same_host() {
    let before = registration(1, "north");
    let restarted = HostRegistration {
        incarnation: 2,
        ..before.clone()
    };
    assert!(restarted.is_same_host(&before));
    let resized = HostRegistration {
        capacity: 7,
        ..restarted.clone()
    };
    assert!(!resized.is_same_host(&before));
}

#[test]
fn messages_have_the_changed_counters_and_at_times_all() {
    let counts = |admitted: [u32; 2]| -> Vec<WorkspaceCounts> {
        let numbered = admitted.into_iter().enumerate();
        numbered
            .map(|(workspace, admitted)| WorkspaceCounts {
                workspace: workspace as u32,
                admitted,
                refused: 0,
                in_window: None,
            })
            .collect()
    };
    let mut selection = CounterSelection::default();
    assert_eq!(
        selection.select(counts([1, 1]), at(0)),
        (counts([1, 1]), true)
    );
    assert_eq!(
        selection.select(counts([1, 1]), at(60)),
        (Vec::new(), false)
    );
    let (changed, is_complete) = selection.select(counts([1, 4]), at(120));
    assert_eq!((changed.len(), is_complete), (1, false));
    assert_eq!(changed[0].workspace, 1);
    // The message before may be lost; all counters follow.
    assert_eq!(
        selection.select(counts([1, 4]), at(700)),
        (counts([1, 4]), true)
    );
}

#[test]
fn counters_of_a_new_reporter_count_from_its_first_complete_message() {
    let partial = |number| ReporterId {
        has_all_counts: false,
        ..reporter(number)
    };
    let mut hub = HubAggregator::default();
    hub.apply_report(partial(1), None, &counts(500), at(0));
    hub.apply_report(partial(1), None, &counts(501), at(60));
    hub.apply_report(reporter(1), None, &counts(502), at(120));
    hub.apply_report(partial(1), None, &counts(505), at(180));
    assert_eq!(hub.local_totals()[0].admitted, 3);
}

// Guards against the last hosts of a data centre that reach instances taking all its callers.
#[test]
fn data_centre_is_short_of_hosts_while_most_of_them_accept_no_callers() {
    let mut hub = HubAggregator::default();
    let caller_address = |number: u8| SocketAddr::from(([10, 0, 0, number], 8_000));
    let centres = |hub: &HubAggregator, millis| hub.short_data_centres("north", at(millis));
    for number in 1..=3 {
        hub.apply_report(reporter(number), Some(caller_address(number)), &[], at(0));
    }
    let remote_hosts = vec![caller_address(11), caller_address(12)];
    hub.apply_summary(reporter(11), "south", Some(remote_hosts), &[], at(0));
    hub.set_hub_load(reporter(11).peer_address, 4, Vec::new());
    assert!(centres(&hub, 100).is_empty());
    hub.apply_report(reporter(2), None, &[], at(200));
    assert!(centres(&hub, 300).is_empty(), "two of three accept callers");
    hub.apply_report(reporter(3), None, &[], at(400));
    assert_eq!(centres(&hub, 500), ["north"]);
    hub.apply_summary(
        reporter(11),
        "south",
        Some(vec![caller_address(11)]),
        &[],
        at(600),
    );
    assert_eq!(centres(&hub, 700), ["north", "south"]);
    hub.apply_report(reporter(3), Some(caller_address(3)), &[], at(800));
    assert_eq!(centres(&hub, 900), ["south"]);
}
