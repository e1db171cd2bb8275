//! Checks of hand-written histories, in which promises are kept or broken.

use yare::parameterized;

use crocushoist_soak::BrokenPromise;
use crocushoist_soak::CallHistory;
use crocushoist_soak::CallOutcome;
use crocushoist_soak::CallRecord;
use crocushoist_soak::ExecutionRecord;
use crocushoist_soak::HostOutage;
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
        sent_ms: 1_000,
        ended_ms: 1_050,
        outcome,
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
