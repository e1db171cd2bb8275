//! Checks the recorded history of a run against the promises of the fleet.
//!
//! A promise is a guarantee that the platform requires of the fleet, also while
//! hosts, instances and the store fail. It is checked only against what callers
//! received and what instances executed, never against the hosts' own counters.

use std::collections::HashMap;
use std::collections::HashSet;

use displaydoc::Display;

use crate::ArrivalRecord;
use crate::CallHistory;
use crate::CallOutcome;
use crate::CallRecord;
use crate::need_check::check_limits;
use crate::notice_check::check_departures;
use crate::notice_check::check_holds;
use crate::path_check::check_path_cuts;
use crate::stop_check::check_missing_response;
use crate::stop_check::check_readiness;
use crate::stop_check::check_replaced_response;
use crate::version_check::check_denials;
use crate::version_check::check_versions;
use crate::version_check::is_workspace_of;

/// Milliseconds after its revocation from which a key admits no request, as the platform requires.
pub(crate) const REVOKE_MS: u64 = 5_000;

/// Milliseconds within which a fleet must serve again after the faults, as the platform requires.
pub(crate) const RECOVERY_MS: u64 = 15_000;

/// Instances that one attempt may be sent to, from the configuration that the soak writes.
const MAX_ATTEMPTS: usize = 2;

/// Name of the workspace that has a limit.
pub(crate) const LIMITED_WORKSPACE: &str = "limited";

/// Requests per second that the limited workspace may send.
pub(crate) const LIMIT_PER_S: f64 = 20.0;

/// Requests that the limited workspace may send at once beyond its rate.
pub(crate) const LIMIT_BURST: f64 = 20.0;

/// Milliseconds of the sliding window in which a limit holds, as the platform requires.
const LIMIT_WINDOW_MS: u64 = 5_000;

/// Share of a limit by which the platform allows a window to exceed it.
const LIMIT_OVERAGE: f64 = 0.1;

/// Requests that the platform allows in a window beyond limit and overage.
const LIMIT_SLACK: f64 = 20.0;

/// Milliseconds of the sliding window in which the retry budget holds, as the platform requires.
const RETRY_WINDOW_MS: i64 = 10_000;

/// Retries per call that the platform allows in a window.
const RETRY_RATIO: f64 = 0.2;

/// Retries that the platform allows in a window beyond the ratio.
const RETRY_SLACK: f64 = 60.0;

/// Share of the calls of the last `RECOVERY_WINDOW_MS` that must be served.
const MIN_RECOVERED_SHARE: f64 = 0.25;

/// Milliseconds at the end of a run whose calls show whether the fleet recovered.
pub(crate) const RECOVERY_WINDOW_MS: u64 = 1_500;

/// Promise that was broken, with the attempt, host or counts that show it.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum BrokenPromise {
    /// at-most-once request executed more than once: {0}
    ExecutedTwice(String),
    /// response said that the request was not executed, but it was: {0}
    RefusedButExecuted(String),
    /// executed more often than its route allows attempts: {0}
    TooManyAttempts(String),
    /// response is not the instance's response to this attempt: {0}
    WrongResponse(String),
    /// executed although no caller sent it: {0}
    NeverSent(String),
    /// executed for another workspace, or the instance received the caller's key: {0}
    WrongWorkspaceOrKeyLeak(String),
    /// executed with a revoked key, sent {1} ms after the revocation: {0}
    RevokedKey(String, u64),
    /// {0} requests of the limited workspace within a window from {1} ms on, {2} allowed
    LimitExceeded(usize, u64, usize),
    /// {0} retries within a window from {1} ms on, {2} allowed
    RetryBudgetExceeded(usize, i64, usize),
    /// host {1} sent no response: {0}; {2}
    NoResponse(String, usize, String),
    /// host {1} responded to {0} after SIGTERM while an instance executed it; {2}
    ReplacedAtStop(String, usize, String),
    /// {0} of {1} hosts still counted as ready 4 s after SIGTERM
    ReadyAfterStop(usize, usize),
    /// host {1} sent {0}, {3} ms after it passed on that instance {2} leaves, to that one; {4}
    SentToLeaving(String, usize, usize, u64, String),
    /// host {0} sent {2} requests to instance {1}, which said at {3} ms that it wants none; {4}
    SentToHolding(usize, usize, usize, u64, String),
    /// instance {0} got {1} requests in a window from {2} ms on, {3} allowed by the limit that it named
    InstanceLimitExceeded(usize, usize, u64, usize),
    /// host {1} applied version {2} to {0} after version {3} was in force there
    VersionWentBack(String, usize, u64, u64),
    /// {0} of {1} calls that each configuration allows were denied, {2} allowed
    Denied(usize, usize, usize),
    /// hosts without a path served {0} of {1} calls, the others {2} of {3}, in the cut from {4} ms on
    ServedLessWithoutPath(usize, usize, usize, usize, u64),
    /// fleet did not recover: {0} of {1} calls served at the end
    NotRecovered(usize, usize),
    /// host {0} exited without being killed or asked to stop
    UnexpectedExit(usize),
}

/// Checks every promise and returns those that `history` shows to be broken.
pub fn check_promises(history: &CallHistory) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    let calls: HashMap<&str, &CallRecord> = history
        .calls
        .iter()
        .map(|call| (call.attempt_id.as_str(), call))
        .collect();
    let mut execution_counts: HashMap<&str, usize> = HashMap::new();
    for execution in &history.executions {
        *execution_counts
            .entry(execution.attempt_id.as_str())
            .or_default() += 1;
        let Some(call) = calls.get(execution.attempt_id.as_str()) else {
            broken.push(BrokenPromise::NeverSent(execution.attempt_id.clone()));
            continue;
        };
        if !is_workspace_of(execution, call) || execution.received_key {
            broken.push(BrokenPromise::WrongWorkspaceOrKeyLeak(
                execution.attempt_id.clone(),
            ));
        }
        if let Some((workspace, revoked_ms)) = history.revoked_key
            && call.workspace == workspace
            && call.sent_ms > revoked_ms + REVOKE_MS
        {
            let since_revoked_ms = call.sent_ms - revoked_ms;
            broken.push(BrokenPromise::RevokedKey(
                execution.attempt_id.clone(),
                since_revoked_ms,
            ));
        }
    }
    let mut arrivals: HashMap<&str, Vec<&ArrivalRecord>> = HashMap::new();
    for arrival in &history.arrivals {
        let of_attempt = arrivals.entry(arrival.attempt_id.as_str()).or_default();
        of_attempt.push(arrival);
    }
    for call in &history.calls {
        let attempt_id = call.attempt_id.as_str();
        let executions = execution_counts.get(attempt_id).copied().unwrap_or(0);
        let call_arrivals = arrivals.get(attempt_id).map_or(&[][..], Vec::as_slice);
        broken.extend(check_call(history, call, executions, call_arrivals));
    }
    broken.extend(check_readiness(history));
    broken.extend(check_departures(history, &calls));
    broken.extend(check_holds(history));
    broken.extend(check_limits(history));
    broken.extend(check_versions(history, &calls));
    broken.extend(check_denials(history));
    broken.extend(check_path_cuts(history));
    broken.extend(check_limit(history));
    broken.extend(check_retries(history));
    broken.extend(check_recovery(history));
    let exits = history.unexpected_exits.iter();
    broken.extend(exits.map(|host| BrokenPromise::UnexpectedExit(*host)));
    broken
}

/// Checks one call that instances executed `executions` times.
fn check_call(
    history: &CallHistory,
    call: &CallRecord,
    executions: usize,
    arrivals: &[&ArrivalRecord],
) -> Option<BrokenPromise> {
    let attempt_id = call.attempt_id.clone();
    if call.is_at_most_once && executions > 1 {
        return Some(BrokenPromise::ExecutedTwice(attempt_id));
    }
    if executions > MAX_ATTEMPTS {
        return Some(BrokenPromise::TooManyAttempts(attempt_id));
    }
    match call.outcome {
        CallOutcome::Responded { status, .. }
            if is_refusal(status) && call.is_at_most_once && executions > 0 =>
        {
            Some(BrokenPromise::RefusedButExecuted(attempt_id))
        }
        CallOutcome::Responded {
            is_intact: false, ..
        } => Some(BrokenPromise::WrongResponse(attempt_id)),
        CallOutcome::NoResponse => check_missing_response(history, call, executions, arrivals),
        _ => check_replaced_response(history, call, arrivals),
    }
}

/// Whether the status promises that the request was not executed and will not be.
fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Checks the limit of the limited workspace, counting each attempt once.
fn check_limit(history: &CallHistory) -> Option<BrokenPromise> {
    let window_s = LIMIT_WINDOW_MS as f64 / 1_000.0;
    let limit = LIMIT_PER_S * window_s + LIMIT_BURST;
    let allowed = (limit * (1.0 + LIMIT_OVERAGE) + LIMIT_SLACK) as usize;
    let mut seen = HashSet::new();
    let mut attempts_ms: Vec<u64> = history
        .executions
        .iter()
        .filter(|execution| {
            execution.workspace == LIMITED_WORKSPACE && seen.insert(execution.attempt_id.as_str())
        })
        .map(|execution| execution.started_ms)
        .collect();
    let (count, from_ms) = find_fullest_window(&mut attempts_ms, LIMIT_WINDOW_MS)?;
    (count > allowed).then_some(BrokenPromise::LimitExceeded(count, from_ms, allowed))
}

/// Checks the retries of the whole fleet: all arrivals of an attempt at instances but the first.
///
/// A window's budget depends on the calls sent in it, in the window before it or in the window
/// that begins half a window earlier, whichever has most.
fn check_retries(history: &CallHistory) -> Option<BrokenPromise> {
    let mut sent_ms: Vec<i64> = history
        .calls
        .iter()
        .filter(|call| call.outcome != CallOutcome::NotConnected)
        .map(|call| call.sent_ms as i64)
        .collect();
    sent_ms.sort_unstable();
    let retries_ms = find_retries(history);
    let last_ms = *retries_ms.last()?;
    let mut worst: Option<(usize, usize, i64, usize)> = None;
    for from_ms in -RETRY_WINDOW_MS..=last_ms {
        let retries = count_within(&retries_ms, from_ms);
        let sent = [0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS]
            .map(|earlier_ms| count_within(&sent_ms, from_ms - earlier_ms));
        let sent = sent.into_iter().max().unwrap_or(0);
        let allowed = (sent as f64 * RETRY_RATIO + RETRY_SLACK) as usize;
        let excess = retries.saturating_sub(allowed);
        if excess > 0 && worst.is_none_or(|(worst_excess, ..)| excess > worst_excess) {
            worst = Some((excess, retries, from_ms, allowed));
        }
    }
    let (_, retries, from_ms, allowed) = worst?;
    Some(BrokenPromise::RetryBudgetExceeded(
        retries, from_ms, allowed,
    ))
}

/// Times of all arrivals but the first of each attempt, sorted.
fn find_retries(history: &CallHistory) -> Vec<i64> {
    let mut arrivals: Vec<(u64, &str)> = history
        .arrivals
        .iter()
        .map(|arrival| (arrival.span_ms.start, arrival.attempt_id.as_str()))
        .collect();
    arrivals.sort_unstable();
    let mut seen = HashSet::new();
    arrivals.retain(|(_, attempt_id)| !seen.insert(*attempt_id));
    let times = arrivals.into_iter();
    times.map(|(arrived_ms, _)| arrived_ms as i64).collect()
}

/// Number of the sorted `times_ms` within the retry window that starts at `from_ms`.
fn count_within(times_ms: &[i64], from_ms: i64) -> usize {
    let until_ms = from_ms + RETRY_WINDOW_MS;
    times_ms.partition_point(|time_ms| *time_ms < until_ms)
        - times_ms.partition_point(|time_ms| *time_ms < from_ms)
}

/// Sorts `times_ms` and returns the count and start of the sliding window that holds most of them.
pub(crate) fn find_fullest_window(times_ms: &mut [u64], window_ms: u64) -> Option<(usize, u64)> {
    times_ms.sort_unstable();
    let counts = times_ms.iter().enumerate().map(|(index, from_ms)| {
        let end = times_ms.partition_point(|time_ms| *time_ms < from_ms + window_ms);
        (end - index, *from_ms)
    });
    counts.max_by_key(|(count, _)| *count)
}

/// Checks that the fleet serves again; leaves out workspaces whose calls it may refuse.
fn check_recovery(history: &CallHistory) -> Option<BrokenPromise> {
    let from_ms = history.recovery_from_ms;
    let revoked = history.revoked_key.map(|(workspace, _)| workspace);
    let last_calls: Vec<&CallRecord> = history
        .calls
        .iter()
        .filter(|call| call.sent_ms >= from_ms && call.workspace != LIMITED_WORKSPACE)
        .filter(|call| Some(call.workspace) != revoked)
        .collect();
    let is_served =
        |call: &&&CallRecord| matches!(call.outcome, CallOutcome::Responded { status: 200, .. });
    let served = last_calls.iter().filter(is_served).count();
    let required = (last_calls.len() as f64 * MIN_RECOVERED_SHARE).ceil() as usize;
    (served < required.max(1)).then_some(BrokenPromise::NotRecovered(served, last_calls.len()))
}
