//! Checks of hand-written histories with instances that name limits.

use std::ops::Range;

use yare::parameterized;

use crocushoist_platform_standin::ArrivalResult;
use crocushoist_soak::ArrivalRecord;
use crocushoist_soak::BrokenPromise;
use crocushoist_soak::CallHistory;
use crocushoist_soak::CallOutcome;
use crocushoist_soak::CallRecord;
use crocushoist_soak::HostOutage;
use crocushoist_soak::LimitRecord;
use crocushoist_soak::PathCutRecord;
use crocushoist_soak::check_promises;

/// Call that was served at the end of a run that recovered.
fn last_call() -> CallRecord {
    CallRecord {
        attempt_id: "last".into(),
        is_at_most_once: false,
        workspace: "depot",
        host: 0,
        is_kept: true,
        sent_ms: 50_100,
        last_byte_ms: 50_100,
        ended_ms: 50_150,
        deadline_ms: 1_500,
        outcome: CallOutcome::Responded {
            status: 200,
            is_intact: true,
        },
        is_from_host: false,
        leaving_instance: None,
    }
}

/// History in which instance 3 names one request a second from 10 s to 20 s, tells host 0 at
/// 10.1 s, and gets `count` requests of `host` from `from_ms` on, 100 ms apart.
fn history(host: usize, count: u64, from_ms: u64) -> CallHistory {
    let arrivals = (0..count).map(|number| {
        let arrived_ms = from_ms + number * 100;
        ArrivalRecord {
            attempt_id: format!("a{number}"),
            host,
            instance: 3,
            span_ms: arrived_ms..arrived_ms + 20,
            result: ArrivalResult::Responded,
        }
    });
    CallHistory {
        recovery_from_ms: 50_000,
        calls: vec![last_call()],
        arrivals: arrivals.collect(),
        limits: vec![LimitRecord {
            instance: 3,
            per_s: 1.0,
            span_ms: 10_000..20_000,
            told_ms: [(0, 10_100)].into(),
        }],
        ..CallHistory::default()
    }
}

fn limit_broken(history: &CallHistory) -> Option<usize> {
    let broken = check_promises(history);
    broken.into_iter().find_map(|promise| match promise {
        BrokenPromise::InstanceLimitExceeded(3, count, _, 11) => Some(count),
        _ => None,
    })
}

#[parameterized(
    as_many_as_allowed = { 0, 11, 14_000, None },
    one_more = { 0, 12, 14_000, Some(12) },
    before_it_must_hold = { 0, 12, 11_000, None },
    after_its_end = { 0, 12, 20_000, None },
    from_a_host_that_was_not_told = { 1, 12, 14_000, None },
    only_those_in_one_window = { 0, 60, 13_000, Some(40) },
)]
fn requests_beyond_a_named_limit(host: usize, count: u64, from_ms: u64, expected: Option<usize>) {
    assert_eq!(limit_broken(&history(host, count, from_ms)), expected);
}

#[parameterized(
    restart_since_then = { 12_000..12_500, true },
    restart_before = { 9_000..10_000, false },
)]
fn restarted_host_is_excused(span_ms: Range<u64>, is_excused: bool) {
    let mut history = history(0, 12, 14_000);
    history.outages.push(HostOutage {
        host: 0,
        span_ms,
        is_planned: false,
    });
    assert_eq!(limit_broken(&history).is_none(), is_excused);
}

#[parameterized(
    cut_since_then = { 0, true },
    cut_of_another_host = { 1, false },
)]
fn cut_host_is_excused(host: usize, is_excused: bool) {
    let mut history = history(0, 12, 14_000);
    history.path_cuts.push(PathCutRecord {
        hosts: vec![host],
        span_ms: 12_000..12_500,
    });
    assert_eq!(limit_broken(&history).is_none(), is_excused);
}
