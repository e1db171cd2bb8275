//! Checks of hand-written histories with instances that leave or want no requests and with
//! versions of the configuration, and of the plans of the drill mode.

use std::ops::Range;

use yare::parameterized;

use crocushoist_platform_standin::ArrivalResult;
use crocushoist_soak::ArrivalRecord;
use crocushoist_soak::BrokenPromise;
use crocushoist_soak::CallHistory;
use crocushoist_soak::CallOutcome;
use crocushoist_soak::CallRecord;
use crocushoist_soak::ExecutionRecord;
use crocushoist_soak::FaultKind;
use crocushoist_soak::HoldRecord;
use crocushoist_soak::HostOutage;
use crocushoist_soak::PlannedFault;
use crocushoist_soak::SoakPlan;
use crocushoist_soak::SoakSize;
use crocushoist_soak::check_promises;

const SIZE: SoakSize = SoakSize {
    hosts: 6,
    instances: 24,
    callers: 72,
};

/// End of a report on an instance that started once.
const NO_START: &str = "it had not started anew";

/// Call of host 0 that was served, sent and answered within `span_ms`.
fn new_call(attempt_id: &str, span_ms: Range<u64>) -> CallRecord {
    CallRecord {
        attempt_id: attempt_id.into(),
        is_at_most_once: false,
        workspace: "depot",
        host: 0,
        is_kept: true,
        sent_ms: span_ms.start,
        last_byte_ms: span_ms.start,
        ended_ms: span_ms.end,
        deadline_ms: 1_500,
        outcome: CallOutcome::Responded {
            status: 200,
            is_intact: true,
        },
        is_from_host: false,
        leaving_instance: None,
    }
}

fn new_arrival(attempt_id: &str, host: usize, instance: usize, arrived_ms: u64) -> ArrivalRecord {
    ArrivalRecord {
        attempt_id: attempt_id.into(),
        host,
        instance,
        span_ms: arrived_ms..arrived_ms + 20,
        result: ArrivalResult::Responded,
    }
}

fn new_outage(host: usize, span_ms: Range<u64>, is_planned: bool) -> HostOutage {
    HostOutage {
        host,
        span_ms,
        is_planned,
    }
}

/// History of a run that recovered.
fn new_history() -> CallHistory {
    let mut history = CallHistory {
        recovery_from_ms: 50_000,
        ..CallHistory::default()
    };
    history.calls.push(new_call("last", 50_100..50_150));
    history
}

/// History in which host 0 passes on at 1,050 ms that instance 3 leaves, and instance
/// `instance` gets a request from host `host` that a caller sent at `sent_ms`.
fn departure_history(host: usize, instance: usize, sent_ms: u64) -> CallHistory {
    let mut history = new_history();
    history.calls.push(CallRecord {
        leaving_instance: Some(3),
        ..new_call("told", 1_000..1_050)
    });
    history.arrivals.push(new_arrival("told", 0, 3, 1_010));
    history.calls.push(CallRecord {
        host,
        ..new_call("later", sent_ms..sent_ms + 50)
    });
    let arrival = new_arrival("later", host, instance, sent_ms + 10);
    history.arrivals.push(arrival);
    history
}

#[parameterized(
    sent_within_the_bound = { 0, 3, 3_050, false },
    sent_after_the_bound = { 0, 3, 3_051, true },
    by_a_host_that_was_not_told = { 1, 3, 9_000, false },
    to_another_instance = { 0, 2, 9_000, false },
)]
fn request_to_leaving_instance(host: usize, instance: usize, sent_ms: u64, is_reported: bool) {
    let history = departure_history(host, instance, sent_ms);
    let since_ms = sent_ms - 1_050;
    let broken =
        BrokenPromise::SentToLeaving("later".into(), host, instance, since_ms, NO_START.into());
    let expected = is_reported.then_some(broken);
    assert_eq!(check_promises(&history), Vec::from_iter(expected));
}

#[parameterized(
    kill_since_then = { 0, 2_000..2_500, false, false },
    kill_before = { 0, 500..1_049, false, true },
    kill_of_another_host = { 1, 2_000..2_500, false, true },
    kill_after_the_request = { 0, 6_020..6_500, false, true },
    stop_that_ended = { 0, 500..4_000, true, false },
    stop_that_had_not_ended = { 0, 2_000..6_500, true, true },
)]
fn request_to_leaving_instance_is_excused_by_restart_since_then(
    host: usize,
    span_ms: Range<u64>,
    is_planned: bool,
    is_reported: bool,
) {
    let mut history = departure_history(0, 3, 6_000);
    history
        .outages
        .push(new_outage(host, span_ms.clone(), is_planned));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

#[parameterized(
    before_the_statement = { 3, 1_000, true },
    after_it = { 3, 3_000, false },
    after_the_request = { 3, 6_020, true },
    of_another_instance = { 2, 3_000, true },
)]
fn request_to_leaving_instance_is_excused_by_its_next_start(
    instance: usize,
    started_ms: u64,
    is_reported: bool,
) {
    let mut history = departure_history(0, 3, 6_000);
    history.instance_starts.push((instance, started_ms));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

/// Guards against an excuse that one restart gives for all that the host was told later.
#[test]
fn statement_after_a_restart_binds_again() {
    let mut history = departure_history(0, 3, 6_000);
    history.outages.push(new_outage(0, 1_500..2_000, false));
    assert_eq!(check_promises(&history), []);
    history.calls.push(CallRecord {
        leaving_instance: Some(3),
        ..new_call("again", 2_200..2_250)
    });
    history.arrivals.push(new_arrival("again", 0, 3, 2_210));
    let expected = BrokenPromise::SentToLeaving("later".into(), 0, 3, 3_750, NO_START.into());
    assert_eq!(check_promises(&history), [expected]);
}

/// Only the first request of a host to an instance is reported.
#[test]
fn requests_to_leaving_instance_are_reported_once() {
    let mut history = departure_history(0, 3, 6_000);
    history.calls.push(new_call("earlier", 5_000..5_050));
    history.arrivals.push(new_arrival("earlier", 0, 3, 5_010));
    let expected = BrokenPromise::SentToLeaving("earlier".into(), 0, 3, 3_950, NO_START.into());
    assert_eq!(check_promises(&history), [expected]);
}

/// History in which instance 3 tells host 0 at 1,000 ms that it wants nothing for 2 s, and gets
/// requests from host `host` at `arrived_ms`.
fn hold_history(host: usize, arrived_ms: &[u64]) -> CallHistory {
    let mut history = new_history();
    history.holds.push(HoldRecord {
        host: 0,
        instance: 3,
        span_ms: 1_000..3_000,
    });
    for arrived_ms in arrived_ms {
        let arrival = new_arrival(&format!("a-{arrived_ms}"), host, 3, *arrived_ms);
        history.arrivals.push(arrival);
    }
    history
}

#[parameterized(
    three = { 0, &[1_500, 2_000, 2_999], true },
    two = { 0, &[1_500, 2_999], false },
    crossing_the_response = { 0, &[1_001, 1_200, 1_400, 1_499, 1_600], false },
    after_the_time = { 0, &[1_500, 1_600, 3_000, 3_001], false },
    from_a_host_that_was_not_told = { 1, &[1_500, 1_600, 1_700, 1_800], false },
)]
fn requests_to_instance_that_wants_none(host: usize, arrived_ms: &[u64], is_reported: bool) {
    let history = hold_history(host, arrived_ms);
    let broken = check_promises(&history);
    let is_expected = |promise: &BrokenPromise| {
        matches!(promise, BrokenPromise::SentToHolding(0, 3, 3, 1_000, _))
    };
    assert!(broken.iter().all(is_expected), "{broken:?}");
    assert_eq!(broken.len(), usize::from(is_reported));
}

/// Only the first case of a host and an instance is reported.
#[test]
fn requests_to_instance_that_wants_none_are_reported_once() {
    let mut history = hold_history(0, &[1_600, 1_700, 1_800]);
    history.holds.push(HoldRecord {
        host: 0,
        instance: 3,
        span_ms: 900..2_900,
    });
    let trace = format!("until 2900 ms, the first at 1600 ms, {NO_START}");
    let expected = BrokenPromise::SentToHolding(0, 3, 3, 900, trace);
    assert_eq!(check_promises(&history), [expected]);
}

#[parameterized(
    kill_since_then = { 0, 1_100..1_400, false, false },
    kill_before = { 0, 500..999, false, true },
    kill_after_the_requests = { 0, 1_900..2_000, false, true },
    kill_of_another_host = { 1, 1_100..1_400, false, true },
    stop_that_ended = { 0, 500..1_400, true, false },
    stop_that_had_not_ended = { 0, 1_100..2_000, true, true },
)]
fn requests_to_instance_that_wants_none_are_excused_by_restart_since_then(
    host: usize,
    span_ms: Range<u64>,
    is_planned: bool,
    is_reported: bool,
) {
    let mut history = hold_history(0, &[1_600, 1_700, 1_800]);
    history.outages.push(new_outage(host, span_ms, is_planned));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

#[parameterized(
    since_then = { 3, 1_000..1_300, false },
    before = { 3, 500..999, true },
    of_another_instance = { 2, 1_000..1_300, true },
)]
fn requests_to_instance_that_wants_none_are_excused_by_cut_since_then(
    instance: usize,
    span_ms: Range<u64>,
    is_reported: bool,
) {
    let mut history = hold_history(0, &[1_600, 1_700, 1_800]);
    history.instance_silences.push((instance, span_ms));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

#[parameterized(
    before_the_requests = { 1_550, false },
    after_them = { 1_801, true },
)]
fn next_start_of_instance_ends_the_time_without_requests(started_ms: u64, is_reported: bool) {
    let mut history = hold_history(0, &[1_600, 1_700, 1_800]);
    history.instance_starts.push((3, started_ms));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

/// History in which an instance sees version 9 from host 0 at 1,010 ms, and version 6 from host
/// `host` in a request sent at `sent_ms`.
fn version_history(host: usize, sent_ms: u64) -> CallHistory {
    let mut history = new_history();
    for (attempt_id, host, sent_ms, version) in
        [("newer", 0, 1_000, 9), ("older", host, sent_ms, 6)]
    {
        history.calls.push(CallRecord {
            workspace: "version",
            host,
            ..new_call(attempt_id, sent_ms..sent_ms + 50)
        });
        history.executions.push(ExecutionRecord {
            attempt_id: attempt_id.into(),
            workspace: format!("version-{version}"),
            received_key: false,
            started_ms: sent_ms + 10,
        });
    }
    history
}

#[parameterized(
    within_the_slack = { 0, 1_260, false },
    after_it = { 0, 1_261, true },
    by_another_host = { 1, 5_000, false },
)]
fn older_version_after_a_newer_one(host: usize, sent_ms: u64, is_reported: bool) {
    let history = version_history(host, sent_ms);
    let broken = BrokenPromise::VersionWentBack("older".into(), host, 6, 9);
    let expected = is_reported.then_some(broken);
    assert_eq!(check_promises(&history), Vec::from_iter(expected));
}

#[parameterized(
    of_the_host = { 0, 2_000, false },
    of_another_host = { 1, 2_000, true },
    before = { 0, 1_009, true },
    after = { 0, 5_011, true },
)]
fn older_version_is_excused_by_restart_only(host: usize, started_ms: u64, is_reported: bool) {
    let mut history = version_history(0, 5_000);
    history.host_starts.push((host, started_ms));
    // A pause does not end the process.
    history.outages.push(new_outage(0, 1_500..3_000, false));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

#[test]
fn key_that_belongs_to_no_version_is_reported() {
    let mut history = version_history(0, 1_100);
    history.executions[1].workspace = "depot".into();
    let expected = BrokenPromise::WrongWorkspaceOrKeyLeak("older".into());
    assert_eq!(check_promises(&history), [expected]);
}

#[parameterized(
    as_many_as_allowed = { 5, 401, "depot", true, false },
    more = { 6, 401, "depot", true, true },
    not_found = { 6, 404, "depot", true, true },
    over_a_limit = { 6, 429, "depot", true, false },
    with_the_revoked_key = { 6, 401, "installer", true, false },
    by_an_instance = { 6, 404, "depot", false, false },
)]
fn denied_calls(
    count: usize,
    status: u16,
    workspace: &'static str,
    is_from_host: bool,
    is_reported: bool,
) {
    let mut history = new_history();
    history.revoked_key = Some(("installer", 1_000));
    for number in 0..count {
        history.calls.push(CallRecord {
            workspace,
            is_from_host,
            outcome: CallOutcome::Responded {
                status,
                is_intact: true,
            },
            ..new_call(&format!("a-{number}"), 2_000..2_050)
        });
    }
    let expected = is_reported.then_some(BrokenPromise::Denied(count, count + 1, 5));
    assert_eq!(check_promises(&history), Vec::from_iter(expected));
}

/// Guards against draws of the drill mode that change the faults of the series mode.
#[test]
fn drill_plan_has_the_faults_of_the_series_and_several_of_each_kind_of_its_own() {
    let mut withdrawals = 0;
    for seed in 1..=50 {
        let plan = SoakPlan::draw_drill(seed, SIZE);
        assert_eq!(plan, SoakPlan::draw_drill(seed, SIZE));
        let (mut leaves, mut holds, mut restores) = (0, 0, 0);
        let mut series = plan.faults;
        series.retain(|fault| {
            let counter = match fault.kind {
                FaultKind::InstancesLeave(_) => &mut leaves,
                FaultKind::InstancesHold(_) => &mut holds,
                FaultKind::StoreRestored(..) => &mut restores,
                _ => return true,
            };
            *counter += 1;
            false
        });
        // A key that the drill mode withdraws comes beside the series.
        let is_added =
            |fault: &PlannedFault| fault.kind == FaultKind::KeyWithdrawn && fault.duration_ms == 0;
        withdrawals += series.iter().filter(|fault| is_added(fault)).count();
        series.retain(|fault| !is_added(fault));
        assert_eq!(series, SoakPlan::draw_series(seed, SIZE).faults);
        assert!(leaves >= 2 && holds >= 2 && restores >= 2);
    }
    assert!((15..=35).contains(&withdrawals), "{withdrawals} of 50");
}

/// Guards against faults of later kinds that change the plan of an earlier seed.
#[parameterized(
    seed_1 = { 1, 0xf9e4_c813_a65e_639d },
    seed_12 = { 12, 0x645b_964e_23d9_7f3e },
    seed_25 = { 25, 0x6c13_e586_1d10_5b67 },
)]
fn plan_of_earlier_series_seed_is_unchanged(seed: u64, expected_digest: u64) {
    let plan = format!("{:?}", SoakPlan::draw_series(seed, SIZE).faults);
    let digest = plan
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |digest: u64, byte| {
            (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    assert_eq!(digest, expected_digest, "{digest:#x} {plan}");
}
