//! Checks of hand-written histories, in which promises are kept or broken.

use std::ops::Range;

use yare::parameterized;

use crocushoist_platform_standin::ArrivalResult;
use crocushoist_soak::ArrivalRecord;
use crocushoist_soak::BrokenPromise;
use crocushoist_soak::CallHistory;
use crocushoist_soak::CallOutcome;
use crocushoist_soak::CallRecord;
use crocushoist_soak::ExecutionRecord;
use crocushoist_soak::HostOutage;
use crocushoist_soak::ReadyProbe;
use crocushoist_soak::SoakPlan;
use crocushoist_soak::SoakSize;
use crocushoist_soak::check_promises;

const SERVED: CallOutcome = CallOutcome::Responded {
    status: 200,
    is_intact: true,
};

fn new_call(attempt_id: &str, is_at_most_once: bool, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        attempt_id: attempt_id.into(),
        is_at_most_once,
        workspace: "depot",
        host: 0,
        is_kept: true,
        sent_ms: 1_000,
        last_byte_ms: 1_000,
        ended_ms: 1_050,
        deadline_ms: 1_500,
        outcome,
        is_from_host: false,
        leaving_instance: None,
    }
}

fn new_execution(attempt_id: &str) -> ExecutionRecord {
    ExecutionRecord {
        attempt_id: attempt_id.into(),
        workspace: "depot".into(),
        received_key: false,
        started_ms: 1_010,
    }
}

fn new_arrival(attempt_id: &str, span_ms: Range<u64>, result: ArrivalResult) -> ArrivalRecord {
    ArrivalRecord {
        attempt_id: attempt_id.into(),
        host: 0,
        instance: 0,
        span_ms,
        result,
    }
}

/// Stop of host 0 with its SIGTERM at 2,000 ms.
fn new_stop(exited_ms: u64) -> HostOutage {
    HostOutage {
        host: 0,
        span_ms: 2_000..exited_ms,
        is_planned: true,
    }
}

/// History of a run that recovered, with `call` and its executions besides.
fn history(call: CallRecord, executions: &[ExecutionRecord]) -> CallHistory {
    let mut history = CallHistory {
        recovery_from_ms: 50_000,
        ..CallHistory::default()
    };
    history.calls.push(CallRecord {
        sent_ms: 50_100,
        ..new_call("last", false, SERVED)
    });
    history.executions.push(new_execution("last"));
    history.calls.push(call);
    history.executions.extend(executions.iter().cloned());
    history
}

#[test]
fn served_call_breaks_no_promise() {
    let history = history(new_call("a", true, SERVED), &[new_execution("a")]);
    assert_eq!(check_promises(&history), []);
}

#[test]
fn second_execution_of_at_most_once_request_is_reported() {
    let history = history(
        new_call("a", true, SERVED),
        &[new_execution("a"), new_execution("a")],
    );
    assert_eq!(
        check_promises(&history),
        [BrokenPromise::ExecutedTwice("a".into())]
    );
}

#[parameterized(
    refused = { 429 },
    unavailable = { 503 },
    timed_out = { 408 },
    misdirected = { 421 },
)]
fn refused_at_most_once_request_that_was_executed_is_reported(status: u16) {
    let outcome = CallOutcome::Responded {
        status,
        is_intact: true,
    };
    let history = history(new_call("a", true, outcome), &[new_execution("a")]);
    let expected = BrokenPromise::RefusedButExecuted("a".into());
    assert_eq!(check_promises(&history), [expected]);
}

#[test]
fn request_may_have_been_executed_after_bad_gateway_status() {
    let outcome = CallOutcome::Responded {
        status: 502,
        is_intact: true,
    };
    let history = history(new_call("a", true, outcome), &[new_execution("a")]);
    assert_eq!(check_promises(&history), []);
}

#[test]
fn response_to_another_attempt_is_reported() {
    let outcome = CallOutcome::Responded {
        status: 200,
        is_intact: false,
    };
    let history = history(new_call("a", false, outcome), &[new_execution("a")]);
    assert_eq!(
        check_promises(&history),
        [BrokenPromise::WrongResponse("a".into())]
    );
}

#[parameterized(
    undisturbed = { None, true },
    killed = { Some(false), false },
    stopping = { Some(true), true },
)]
fn missing_response_to_executed_call_is_excused_only_by_unplanned_outage(
    is_outage_planned: Option<bool>,
    is_reported: bool,
) {
    let mut history = history(
        new_call("a", true, CallOutcome::NoResponse),
        &[new_execution("a")],
    );
    history
        .outages
        .extend(is_outage_planned.map(|is_planned| HostOutage {
            host: 0,
            span_ms: 900..2_000,
            is_planned,
        }));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

#[test]
fn execution_long_after_key_revocation_is_reported() {
    let mut history = history(new_call("a", false, SERVED), &[new_execution("a")]);
    history.revoked_key = Some(("depot", 0));
    // Calls with the revoked key don't count as recovery, so another workspace must show it.
    history.calls[0].workspace = "other";
    history.executions[0].workspace = "other".into();
    assert_eq!(check_promises(&history), []);
    history.calls[1].sent_ms = 5_100;
    let expected = BrokenPromise::RevokedKey("a".into(), 5_100);
    assert_eq!(check_promises(&history), [expected]);
}

#[test]
fn window_over_workspace_limit_is_reported() {
    let mut history = history(new_call("a", false, SERVED), &[new_execution("a")]);
    for number in 0..160 {
        let attempt_id = format!("hot-{number}");
        history.calls.push(CallRecord {
            workspace: "limited",
            ..new_call(&attempt_id, false, SERVED)
        });
        history.executions.push(ExecutionRecord {
            workspace: "limited".into(),
            started_ms: 2_000 + number * 10,
            ..new_execution(&attempt_id)
        });
    }
    let expected = BrokenPromise::LimitExceeded(160, 2_000, 152);
    assert_eq!(check_promises(&history), [expected]);
}

#[test]
fn fleet_without_served_calls_at_the_end_is_reported() {
    let mut history = history(new_call("a", false, SERVED), &[new_execution("a")]);
    history.recovery_from_ms = 60_000;
    let expected = BrokenPromise::NotRecovered(0, 0);
    assert_eq!(check_promises(&history), [expected]);
}

#[test]
fn seed_alone_determines_plan() {
    let size = SoakSize {
        hosts: 6,
        instances: 6,
        callers: 18,
    };
    assert_eq!(SoakPlan::draw(7, size), SoakPlan::draw(7, size));
    assert_ne!(SoakPlan::draw(7, size), SoakPlan::draw(8, size));
}

/// Guards against faults of later kinds that change the plan of an earlier seed.
#[parameterized(
    seed_1 = { 1, 0xd5be_cc17_c3c0_35d7 },
    seed_8 = { 8, 0xa6d8_dadd_f6d8_6558 },
    seed_23 = { 23, 0x41c4_ba79_76be_dacb },
    seed_26 = { 26, 0x1df6_8eb9_2c30_04d6 },
    seed_65 = { 65, 0xf65a_04c5_d9bf_7a3e },
)]
fn plan_of_earlier_seed_is_unchanged(seed: u64, expected_digest: u64) {
    let size = SoakSize {
        hosts: 6,
        instances: 6,
        callers: 18,
    };
    let plan = format!("{:?}", SoakPlan::draw(seed, size).faults);
    assert_eq!(fnv_digest(&plan), expected_digest, "{plan}");
}

#[test]
fn seed_alone_determines_plan_of_series() {
    let size = SoakSize {
        hosts: 6,
        instances: 24,
        callers: 72,
    };
    let plan = SoakPlan::draw_series(7, size);
    assert_eq!(plan, SoakPlan::draw_series(7, size));
    assert_ne!(plan, SoakPlan::draw_series(8, size));
}

/// FNV-1a digest of `text`.
fn fnv_digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |digest, byte| {
        (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Guards against requests that a stop cuts off, which earlier checks excused if none was executed.
#[parameterized(
    crossing_the_close = { 2_500..2_700, None, false },
    read_but_never_forwarded = { 2_500..2_701, None, true },
    rejected_by_the_only_instance = { 2_500..2_600, Some((2_510..2_510, ArrivalResult::Rejected)), true },
    cut_off_at_work = { 2_500..4_000, Some((2_510..4_000, ArrivalResult::Abandoned)), true },
    at_work_just_before_the_last_sixth = { 4_900..6_999, Some((4_910..6_999, ArrivalResult::Abandoned)), true },
    at_work_in_the_last_sixth = { 4_900..7_010, Some((4_910..7_000, ArrivalResult::Abandoned)), false },
    sent_too_late_for_the_last_sixth = { 5_001..7_010, Some((5_010..7_005, ArrivalResult::Abandoned)), true },
    rejected_in_the_last_sixth = { 4_900..7_010, Some((7_000..7_000, ArrivalResult::Rejected)), true },
    after_the_grace_period = { 8_500..8_900, Some((8_510..8_900, ArrivalResult::Abandoned)), true },
)]
fn missing_response_during_planned_stop(
    span_ms: Range<u64>,
    arrival: Option<(Range<u64>, ArrivalResult)>,
    is_reported: bool,
) {
    let mut history = stopped_history(span_ms, CallOutcome::NoResponse, 7_900);
    let arrivals = arrival.map(|(span_ms, result)| new_arrival("a", span_ms, result));
    history.arrivals.extend(arrivals);
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

/// History of a run with a call of host 0 and a stop of that host.
fn stopped_history(span_ms: Range<u64>, outcome: CallOutcome, exited_ms: u64) -> CallHistory {
    let call = CallRecord {
        sent_ms: span_ms.start,
        last_byte_ms: span_ms.start,
        ended_ms: span_ms.end,
        deadline_ms: 3_000,
        ..new_call("a", true, outcome)
    };
    let mut history = history(call, &[]);
    history.outages.push(new_stop(exited_ms));
    history
}

#[parameterized(
    before_its_deadline = { 5_399, true },
    at_its_deadline = { 5_400, false },
)]
fn missing_response_during_planned_stop_is_excused_at_deadline(ended_ms: u64, is_reported: bool) {
    let mut history = stopped_history(2_400..ended_ms, CallOutcome::NoResponse, 6_000);
    let arrival = new_arrival("a", 2_410..ended_ms, ArrivalResult::Abandoned);
    history.arrivals.push(arrival);
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

#[parameterized(
    of_its_instance = { 0, 2_450..2_600, false },
    of_another_instance = { 1, 2_450..2_600, true },
    earlier = { 0, 2_100..2_300, true },
)]
fn missing_response_during_planned_stop_is_excused_by_closed_link(
    instance: usize,
    cut: Range<u64>,
    is_reported: bool,
) {
    let mut history = stopped_history(2_400..2_500, CallOutcome::NoResponse, 6_000);
    let arrival = new_arrival("a", 2_410..2_500, ArrivalResult::Abandoned);
    history.arrivals.push(arrival);
    history.instance_cuts.push((instance, cut));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

#[parameterized(
    shortly_before = { 0, 500..1_000, false },
    long_before = { 0, 500..999, true },
    of_another_host = { 1, 500..1_000, true },
)]
fn unplanned_outage_excuses_missing_response_for_a_while(
    host: usize,
    span_ms: Range<u64>,
    is_reported: bool,
) {
    let mut history = stopped_history(3_999..4_500, CallOutcome::NoResponse, 6_000);
    let arrival = new_arrival("a", 4_010..4_500, ArrivalResult::Abandoned);
    history.arrivals.push(arrival);
    history.outages.push(HostOutage {
        host,
        span_ms,
        is_planned: false,
    });
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

/// Guards against requests that a stopping host breaks off and answers itself.
#[parameterized(
    instance_was_cut_off = { true, 2_510..2_590, ArrivalResult::Abandoned, 504, true },
    instance_is_still_at_work = { true, 2_510..2_700, ArrivalResult::Responded, 504, true },
    instance_failed = { false, 2_510..2_590, ArrivalResult::Responded, 500, false },
    instance_had_responded = { true, 2_510..2_590, ArrivalResult::Responded, 502, false },
    instance_rejected_it = { true, 2_510..2_510, ArrivalResult::Rejected, 503, false },
)]
fn own_response_of_stopping_host(
    is_from_host: bool,
    arrival_ms: Range<u64>,
    result: ArrivalResult,
    status: u16,
    is_reported: bool,
) {
    let outcome = CallOutcome::Responded {
        status,
        is_intact: true,
    };
    let mut history = stopped_history(2_500..2_600, outcome, 6_000);
    history.calls[1].is_from_host = is_from_host;
    history.arrivals.push(new_arrival("a", arrival_ms, result));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
    history.outages.clear();
    assert_eq!(check_promises(&history), []);
}

/// Guards against retries that instances reject, and against windows before the first request.
#[parameterized(
    within_the_slack = { 60, 4_000, false },
    beyond_the_slack = { 61, 4_000, true },
    at_the_start_of_the_load = { 61, 1_000, true },
)]
fn rejected_retries_count(retries: u64, from_ms: u64, is_reported: bool) {
    let mut history = history(new_call("a", false, SERVED), &[new_execution("a")]);
    history.arrivals.extend((0..=retries).map(|number| {
        let arrived_ms = from_ms + number;
        new_arrival("a", arrived_ms..arrived_ms, ArrivalResult::Rejected)
    }));
    let expected = is_reported.then_some(BrokenPromise::RetryBudgetExceeded(
        61,
        from_ms as i64 + 61 - 9_999,
        60,
    ));
    assert_eq!(check_promises(&history), Vec::from_iter(expected));
}

#[parameterized(
    of_the_same_window = { 22_000, 70, false },
    half_a_window_before = { 17_500, 70, false },
    one_window_before = { 12_500, 70, false },
    earlier = { 1_000, 70, true },
)]
fn retries_of_a_window_are_allowed_for_the_fullest_of_three(
    sent_ms: u64,
    retries: u64,
    is_reported: bool,
) {
    let mut history = history(new_call("a", false, SERVED), &[new_execution("a")]);
    for number in 0..50 {
        let call = new_call(&format!("b-{number}"), false, SERVED);
        history.calls.push(CallRecord {
            sent_ms,
            ended_ms: sent_ms + 100,
            ..call
        });
    }
    // Retries 9 s apart, so that a single window holds both ends.
    history.arrivals.extend((0..=retries).map(|number| {
        let arrived_ms = 20_400 + number * 9_300 / retries;
        new_arrival("a", arrived_ms..arrived_ms, ArrivalResult::Responded)
    }));
    assert_eq!(!check_promises(&history).is_empty(), is_reported);
}

/// Guards against stopping hosts that the platform goes on sending callers to.
#[parameterized(
    none = { 0, 4, false },
    one = { 1, 3, false },
    two_of_eight = { 2, 8, false },
    two_of_seven = { 2, 7, true },
)]
fn hosts_that_count_as_ready_after_sigterm(late: usize, hosts: usize, is_reported: bool) {
    let mut history = history(new_call("a", false, SERVED), &[new_execution("a")]);
    for host in 0..hosts {
        history.outages.push(HostOutage {
            host,
            span_ms: 20_000..25_000,
            is_planned: true,
        });
        for second in 0..8 {
            history.ready_probes.push(ReadyProbe {
                host,
                at_ms: 18_500 + second * 1_000,
                is_ready: second < 2 || (host < late && second == 4),
            });
        }
    }
    let expected = is_reported.then_some(BrokenPromise::ReadyAfterStop(late, hosts));
    assert_eq!(check_promises(&history), Vec::from_iter(expected));
}
