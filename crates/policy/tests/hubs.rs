//! Hosts that differ about their hub, and hubs that do not hear all hosts.

use std::net::SocketAddr;

use crocushoist_policy::HostCard;
use crocushoist_policy::HostRoster;
use crocushoist_policy::HubLedger;
use crocushoist_policy::PaceLimit;
use crocushoist_policy::TellerId;
use crocushoist_policy::WorkspaceUse;
use crocushoist_state::ClockTime;

const WORKSPACE: u32 = 7;
const LIMIT: PaceLimit = PaceLimit {
    rate: 10.0,
    burst: 10.0,
    slack: 20.0,
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

fn teller(number: u8) -> TellerId {
    TellerId {
        peers: SocketAddr::from(([10, 0, 0, number], 7000)),
        incarnation: 1,
        is_counted: true,
    }
}

fn used(admitted: u32) -> [WorkspaceUse; 1] {
    [WorkspaceUse {
        workspace: WORKSPACE,
        admitted,
        refused: 0,
        in_window: None,
    }]
}

fn card(number: u8, data_centre: &str) -> HostCard {
    HostCard {
        callers: SocketAddr::from(([10, 0, 0, number], 8000)),
        peers: SocketAddr::from(([10, 0, 0, number], 7000)),
        data_centre: data_centre.into(),
        incarnation: 1,
    }
}

#[test]
fn what_reporters_of_a_second_hub_did_is_counted_once() {
    let mut first = HubLedger::default();
    let mut second = HubLedger::default();
    first.take_report(teller(1), None, &used(0), at(0));
    second.take_report(teller(2), None, &used(0), at(0));
    first.take_summary(teller(9), "north", None, &second.own_totals(), at(10));
    second.take_report(teller(2), None, &used(5), at(100));
    first.take_summary(teller(9), "north", None, &second.own_totals(), at(110));
    first.take_summary(teller(9), "north", None, &second.own_totals(), at(120));
    first.take_report(teller(1), None, &used(3), at(130));
    first.advance(|_| Some(LIMIT), at(500));
    let assumed = first.pace(WORKSPACE).unwrap().in_window();
    first.take_report(teller(1), None, &used(4), at(600));
    first.advance(|_| Some(LIMIT), at(600));
    let counted = first.pace(WORKSPACE).unwrap().in_window();
    // One more request, less what left the assumed window meanwhile.
    assert!(counted <= assumed + 1, "{counted} after {assumed}");
    assert_eq!(first.own_totals()[0].admitted, 4);
}

#[test]
fn hubs_of_one_data_centre_learn_of_each_other() {
    // Hosts that read the registrations at different times may follow two hubs.
    let mut hub = HubLedger::default();
    let other = teller(3).peers;
    hub.take_summary(teller(2), "south", None, &used(0), at(0));
    hub.take_named_hubs(&[other], at(0));
    let mut told = hub.hubs_to_tell(at(100));
    told.sort_unstable();
    assert_eq!(told, [teller(2).peers, other]);
    assert!(hub.hubs_to_tell(at(2_100)).is_empty());
}

#[test]
fn what_a_host_did_before_its_first_report_is_counted() {
    let mut hub = HubLedger::default();
    let fresh = TellerId {
        is_counted: false,
        ..teller(1)
    };
    hub.take_report(fresh, None, &used(4), at(0));
    hub.take_report(teller(1), None, &used(5), at(60));
    assert_eq!(hub.own_totals()[0].admitted, 5);
}

#[test]
fn counter_of_a_host_that_restarted_starts_anew() {
    let mut hub = HubLedger::default();
    hub.take_report(teller(1), None, &used(100), at(0));
    let restarted = TellerId {
        incarnation: 2,
        ..teller(1)
    };
    hub.take_report(restarted, None, &used(3), at(100));
    assert_eq!(hub.own_totals()[0].admitted, 3);
}

#[test]
fn silent_host_is_not_named_to_callers() {
    let mut hub = HubLedger::default();
    let callers = SocketAddr::from(([10, 0, 0, 1], 8000));
    hub.take_report(teller(1), Some(callers), &[], at(0));
    assert_eq!(hub.own_hosts(at(1_000)), [callers]);
    assert!(hub.own_hosts(at(1_200)).is_empty());
    assert!(hub.hears_host(teller(1).peers, at(1_000)));
    assert!(!hub.hears_host(teller(1).peers, at(1_200)));
}

#[test]
fn hosts_that_know_the_same_hosts_name_the_same_hub() {
    let mut early = HostRoster::default();
    let mut late = HostRoster::default();
    for number in 1..5 {
        early.note(u64::from(number), card(number, "north"));
        late.note(u64::from(number) + 50, card(5 - number, "north"));
    }
    assert_eq!(early.hub_of("north", at(0)), late.hub_of("north", at(0)));
}

#[test]
fn silent_hub_is_passed_over_for_a_while() {
    let mut roster = HostRoster::default();
    for number in 1..4 {
        roster.note(u64::from(number), card(number, "north"));
    }
    roster.suspect(card(1, "north").peers, at(0));
    assert_eq!(roster.hub_of("north", at(100)), Some(&card(2, "north")));
    assert_eq!(roster.hub_of("north", at(6_100)), Some(&card(1, "north")));
}

#[test]
fn silent_hub_is_chosen_again_once_it_is_heard() {
    let mut roster = HostRoster::default();
    for number in 1..4 {
        roster.note(u64::from(number), card(number, "north"));
    }
    roster.suspect(card(1, "north").peers, at(0));
    roster.clear_suspicion(card(1, "north").peers);
    assert_eq!(roster.hub_of("north", at(100)), Some(&card(1, "north")));
}

#[test]
fn hub_that_is_behind_stays_passed_over_though_it_is_heard() {
    let mut roster = HostRoster::default();
    for number in 1..4 {
        roster.note(u64::from(number), card(number, "north"));
    }
    roster.note_unfit(card(1, "north").peers, at(0));
    roster.clear_suspicion(card(1, "north").peers);
    assert_eq!(roster.hub_of("north", at(100)), Some(&card(2, "north")));
    assert_eq!(roster.hub_of("north", at(6_100)), Some(&card(1, "north")));
}

#[test]
fn hub_that_starts_again_is_fit_again() {
    let mut roster = HostRoster::default();
    for number in 1..4 {
        roster.note(u64::from(number), card(number, "north"));
    }
    roster.note_unfit(card(1, "north").peers, at(0));
    roster.note(9, card(1, "north"));
    assert_eq!(roster.hub_of("north", at(100)), Some(&card(1, "north")));
}

#[test]
fn registration_that_is_out_of_date_is_passed_over() {
    let mut roster = HostRoster::default();
    roster.note(5, card(1, "north"));
    roster.note(3, card(1, "south"));
    assert!(roster.hub_of("south", at(0)).is_none());
    roster.remove(4, card(1, "north").callers);
    assert_eq!(roster.len(), 1);
    roster.remove(6, card(1, "north").callers);
    assert!(roster.is_empty());
}

#[test]
fn workspace_that_was_silent_for_a_window_has_all_of_it() {
    let mut hub = HubLedger::default();
    for millis in (0..5_500).step_by(100) {
        hub.take_report(teller(1), None, &[], at(millis));
    }
    hub.advance(|_| Some(LIMIT), at(5_500));
    hub.take_report(teller(1), None, &used(2), at(5_600));
    hub.advance(|_| Some(LIMIT), at(5_600));
    assert_eq!(hub.pace(WORKSPACE).unwrap().in_window(), 2);
}

#[test]
fn host_that_comes_back_from_another_hub_is_not_counted_twice() {
    let mut hub = HubLedger::default();
    hub.take_report(teller(1), None, &used(10), at(0));
    hub.take_report(teller(1), None, &used(12), at(60));
    hub.take_report(teller(1), None, &used(90), at(6_000));
    hub.take_report(teller(1), None, &used(91), at(6_060));
    assert_eq!(hub.own_totals()[0].admitted, 3);
}

#[test]
fn new_hub_marks_no_window_that_it_only_assumes() {
    let mut hub = HubLedger::default();
    // The marks were read at the start, longer ago than a window.
    hub.marks.note_read(ClockTime::from_millis(90_000));
    hub.take_report(teller(1), None, &used(0), at(0));
    hub.take_report(teller(1), None, &used(1), at(600));
    for millis in (600..2_000).step_by(100) {
        hub.advance(|_| Some(LIMIT), at(millis));
    }
    assert!(hub.pace(WORKSPACE).is_some());
    assert_eq!(hub.marks.due("north", true, at(2_000)), None);
}
