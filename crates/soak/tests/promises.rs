//! Each promise as the ledgers show it: kept, and broken.

use yare::parameterized;

use crocushoist_soak::BrokenPromise;
use crocushoist_soak::CallEnd;
use crocushoist_soak::CallLedger;
use crocushoist_soak::CallRecord;
use crocushoist_soak::ExcusedSpan;
use crocushoist_soak::RanRecord;
use crocushoist_soak::SoakPlan;
use crocushoist_soak::SoakSize;
use crocushoist_soak::check_promises;

const SERVED: CallEnd = CallEnd::Answered {
    status: 200,
    is_intact: true,
};

fn call(attempt: &str, is_booking: bool, end: CallEnd) -> CallRecord {
    CallRecord {
        attempt: attempt.into(),
        is_booking,
        workspace: "depot",
        host: 0,
        sent_ms: 1_000,
        ended_ms: 1_050,
        end,
    }
}

fn ran(attempt: &str) -> RanRecord {
    RanRecord {
        attempt: attempt.into(),
        workspace: "depot".into(),
        saw_key: false,
        at_ms: 1_010,
    }
}

/// Ledger of a run that recovered, with one call more and what ran of it.
fn ledger(call_made: CallRecord, runs: &[RanRecord]) -> CallLedger {
    let mut ledger = CallLedger {
        last_from_ms: 50_000,
        ..CallLedger::default()
    };
    ledger.calls.push(CallRecord {
        sent_ms: 50_100,
        ..call("last", false, SERVED)
    });
    ledger.ran.push(ran("last"));
    ledger.calls.push(call_made);
    ledger.ran.extend(runs.iter().cloned());
    ledger
}

#[test]
fn served_calls_break_nothing() {
    let ledger = ledger(call("a", true, SERVED), &[ran("a")]);
    assert_eq!(check_promises(&ledger), []);
}

#[test]
fn booking_that_ran_twice_is_told() {
    let ledger = ledger(call("a", true, SERVED), &[ran("a"), ran("a")]);
    assert_eq!(
        check_promises(&ledger),
        [BrokenPromise::RanTwice("a".into())]
    );
}

#[parameterized(
    refused = { 429 },
    unavailable = { 503 },
    timed_out = { 408 },
    misdirected = { 421 },
)]
fn booking_told_as_not_run_that_ran_is_told(status: u16) {
    let end = CallEnd::Answered {
        status,
        is_intact: true,
    };
    let ledger = ledger(call("a", true, end), &[ran("a")]);
    let expected = BrokenPromise::RefusedButRan("a".into());
    assert_eq!(check_promises(&ledger), [expected]);
}

#[test]
fn failure_that_promises_nothing_may_have_run() {
    let end = CallEnd::Answered {
        status: 502,
        is_intact: true,
    };
    let ledger = ledger(call("a", true, end), &[ran("a")]);
    assert_eq!(check_promises(&ledger), []);
}

#[test]
fn answer_of_another_attempt_is_told() {
    let end = CallEnd::Answered {
        status: 200,
        is_intact: false,
    };
    let ledger = ledger(call("a", false, end), &[ran("a")]);
    assert_eq!(check_promises(&ledger), [BrokenPromise::Mixed("a".into())]);
}

#[parameterized(
    undisturbed = { None, true },
    killed = { Some(false), false },
    stopping = { Some(true), true },
)]
fn cut_call_that_ran_is_told_unless_its_host_was_killed(span: Option<bool>, is_told: bool) {
    let mut ledger = ledger(call("a", true, CallEnd::Cut), &[ran("a")]);
    ledger.excused.extend(span.map(|is_planned| ExcusedSpan {
        host: 0,
        millis: 900..2_000,
        is_planned,
    }));
    assert_eq!(!check_promises(&ledger).is_empty(), is_told);
}

#[test]
fn withdrawn_key_that_admits_too_late_is_told() {
    let mut ledger = ledger(call("a", false, SERVED), &[ran("a")]);
    ledger.withdrawn = Some(("depot", 0));
    // The call that shows the recovery must be another workspace's then.
    ledger.calls[0].workspace = "other";
    ledger.ran[0].workspace = "other".into();
    assert_eq!(check_promises(&ledger), []);
    ledger.calls[1].sent_ms = 5_100;
    let expected = BrokenPromise::Withdrawn("a".into(), 5_100);
    assert_eq!(check_promises(&ledger), [expected]);
}

#[test]
fn window_beyond_its_limit_is_told() {
    let mut ledger = ledger(call("a", false, SERVED), &[ran("a")]);
    for number in 0..160 {
        let attempt = format!("hot-{number}");
        ledger.calls.push(CallRecord {
            workspace: "limited",
            ..call(&attempt, false, SERVED)
        });
        ledger.ran.push(RanRecord {
            workspace: "limited".into(),
            at_ms: 2_000 + number * 10,
            ..ran(&attempt)
        });
    }
    let expected = BrokenPromise::OverLimit(160, 2_000, 152);
    assert_eq!(check_promises(&ledger), [expected]);
}

#[test]
fn fleet_that_serves_nothing_at_the_end_is_told() {
    let mut ledger = ledger(call("a", false, SERVED), &[ran("a")]);
    ledger.last_from_ms = 60_000;
    let expected = BrokenPromise::NotRecovered(0, 0);
    assert_eq!(check_promises(&ledger), [expected]);
}

#[test]
fn seed_draws_the_same_plan_again() {
    let size = SoakSize {
        hosts: 6,
        instances: 6,
        callers: 18,
    };
    assert_eq!(SoakPlan::draw(7, size), SoakPlan::draw(7, size));
    assert_ne!(SoakPlan::draw(7, size), SoakPlan::draw(8, size));
}
