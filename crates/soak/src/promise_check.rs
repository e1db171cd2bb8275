//! The promises of the platform's pages, checked from the ledgers.

use std::collections::HashMap;
use std::collections::HashSet;

use displaydoc::Display;

use crate::CallEnd;
use crate::CallLedger;
use crate::CallRecord;

/// Milliseconds after which a withdrawn key admits nothing, from the platform's page.
pub(crate) const REVOKE_MS: u64 = 5_000;

/// Milliseconds after which a fleet serves again, from the platform's page.
pub(crate) const RECOVERY_MS: u64 = 15_000;

/// Instances that one attempt may be sent to, from the configuration of the soak.
const MAX_ATTEMPTS: usize = 2;

/// Limit of the limited workspace: requests a second, and at once beyond them.
pub(crate) const LIMITED: &str = "limited";
pub(crate) const LIMIT_PER_S: f64 = 20.0;
pub(crate) const LIMIT_BURST: f64 = 20.0;

/// Window, overage and slack of limits, from the platform's page.
const LIMIT_WINDOW_MS: u64 = 5_000;
const LIMIT_OVERAGE: f64 = 0.1;
const LIMIT_SLACK: f64 = 20.0;

/// Window, ratio and slack of repeated sends, from the platform's page.
const RETRY_WINDOW_MS: u64 = 10_000;
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 60.0;

/// Milliseconds around a kill or a pause in which its host owes no answer, from the platform's page.
const EXCUSE_MS: u64 = 3_000;

/// Share of the calls in the last calm second that must be served.
const RECOVERED_SHARE: f64 = 0.25;

/// Milliseconds at the end of a run that show the recovery.
pub(crate) const LAST_MS: u64 = 1_500;

/// A promise that was broken, with what shows it.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum BrokenPromise {
    /// ran twice: booking {0}
    RanTwice(String),
    /// told as not run, but ran: {0}
    RefusedButRan(String),
    /// sent to too many instances: {0}
    TooManyAttempts(String),
    /// answer is not the instance's: {0}
    Mixed(String),
    /// ran though nobody sent it: {0}
    Unasked(String),
    /// ran for another workspace, or the key was passed on: {0}
    WrongWorkspace(String),
    /// ran with a withdrawn key, {1} ms after the withdrawal: {0}
    Withdrawn(String, u64),
    /// {0} requests of the limited workspace within a window from {1} ms on, {2} allowed
    OverLimit(usize, u64, usize),
    /// {0} repeated sends within a window from {1} ms on, {2} allowed
    OverRetries(usize, u64, usize),
    /// left without an answer by host {1}: {0}
    Unanswered(String, usize),
    /// {0} of {1} calls served at the end
    NotRecovered(usize, usize),
    /// host {0} ended by itself
    EndedByItself(usize),
}

/// Checks every promise.
pub fn check_promises(ledger: &CallLedger) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    let calls: HashMap<&str, &CallRecord> = ledger
        .calls
        .iter()
        .map(|call| (call.attempt.as_str(), call))
        .collect();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for ran in &ledger.ran {
        *runs.entry(ran.attempt.as_str()).or_default() += 1;
        let Some(call) = calls.get(ran.attempt.as_str()) else {
            broken.push(BrokenPromise::Unasked(ran.attempt.clone()));
            continue;
        };
        if ran.workspace != call.workspace || ran.saw_key {
            broken.push(BrokenPromise::WrongWorkspace(ran.attempt.clone()));
        }
        if let Some((workspace, at_ms)) = ledger.withdrawn
            && call.workspace == workspace
            && call.sent_ms > at_ms + REVOKE_MS
        {
            let late_ms = call.sent_ms - at_ms;
            broken.push(BrokenPromise::Withdrawn(ran.attempt.clone(), late_ms));
        }
    }
    for call in &ledger.calls {
        let count = runs.get(call.attempt.as_str()).copied().unwrap_or(0);
        broken.extend(check_call(ledger, call, count));
    }
    broken.extend(check_limit(ledger));
    broken.extend(check_retries(ledger));
    broken.extend(check_recovery(ledger));
    let ended = ledger.ended_by_themselves.iter();
    broken.extend(ended.map(|host| BrokenPromise::EndedByItself(*host)));
    broken
}

fn check_call(ledger: &CallLedger, call: &CallRecord, runs: usize) -> Option<BrokenPromise> {
    let attempt = call.attempt.clone();
    if call.is_booking && runs > 1 {
        return Some(BrokenPromise::RanTwice(attempt));
    }
    if runs > MAX_ATTEMPTS {
        return Some(BrokenPromise::TooManyAttempts(attempt));
    }
    match call.end {
        CallEnd::Answered { status, .. } if is_refusal(status) && call.is_booking && runs > 0 => {
            Some(BrokenPromise::RefusedButRan(attempt))
        }
        CallEnd::Answered {
            is_intact: false, ..
        } => Some(BrokenPromise::Mixed(attempt)),
        CallEnd::Cut if !is_excused(ledger, call, runs) => {
            Some(BrokenPromise::Unanswered(attempt, call.host))
        }
        _ => None,
    }
}

/// Whether the status promises that the request did not run and will not.
fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether the host owed no answer; one that stops owes it to what it passed on.
fn is_excused(ledger: &CallLedger, call: &CallRecord, runs: usize) -> bool {
    ledger.excused.iter().any(|span| {
        span.host == call.host
            && (runs == 0 || !span.is_planned)
            // A kill and the end of a call that it cut may fall into one millisecond.
            && span.millis.start <= call.ended_ms
            && call.sent_ms < span.millis.end + EXCUSE_MS
    })
}

fn check_limit(ledger: &CallLedger) -> Option<BrokenPromise> {
    let seconds = LIMIT_WINDOW_MS as f64 / 1_000.0;
    let limit = LIMIT_PER_S * seconds + LIMIT_BURST;
    let allowed = (limit * (1.0 + LIMIT_OVERAGE) + LIMIT_SLACK) as usize;
    let mut seen = HashSet::new();
    let mut times: Vec<u64> = ledger
        .ran
        .iter()
        .filter(|ran| ran.workspace == LIMITED && seen.insert(ran.attempt.as_str()))
        .map(|ran| ran.at_ms)
        .collect();
    let (count, from_ms) = most_in_window(&mut times, LIMIT_WINDOW_MS)?;
    (count > allowed).then_some(BrokenPromise::OverLimit(count, from_ms, allowed))
}

fn check_retries(ledger: &CallLedger) -> Option<BrokenPromise> {
    let mut seen = HashSet::new();
    let mut times: Vec<u64> = ledger
        .ran
        .iter()
        .filter(|ran| !seen.insert(ran.attempt.as_str()))
        .map(|ran| ran.at_ms)
        .collect();
    let (count, from_ms) = most_in_window(&mut times, RETRY_WINDOW_MS)?;
    let window = from_ms..from_ms + RETRY_WINDOW_MS;
    let asked = ledger.calls.iter();
    let asked = asked.filter(|call| window.contains(&call.sent_ms)).count();
    let allowed = (asked as f64 * RETRY_RATIO + RETRY_SLACK) as usize;
    (count > allowed).then_some(BrokenPromise::OverRetries(count, from_ms, allowed))
}

/// Most of `times` within a sliding window of `millis`, and where it begins.
fn most_in_window(times: &mut [u64], millis: u64) -> Option<(usize, u64)> {
    times.sort_unstable();
    let counts = times.iter().enumerate().map(|(index, from_ms)| {
        let end = times.partition_point(|at| *at < from_ms + millis);
        (end - index, *from_ms)
    });
    counts.max_by_key(|(count, _)| *count)
}

fn check_recovery(ledger: &CallLedger) -> Option<BrokenPromise> {
    let from_ms = ledger.last_from_ms;
    let withdrawn = ledger.withdrawn.map(|(workspace, _)| workspace);
    let late: Vec<&CallRecord> = ledger
        .calls
        .iter()
        .filter(|call| call.sent_ms >= from_ms && call.workspace != LIMITED)
        .filter(|call| Some(call.workspace) != withdrawn)
        .collect();
    let is_served = |call: &&&CallRecord| matches!(call.end, CallEnd::Answered { status: 200, .. });
    let served = late.iter().filter(is_served).count();
    let owed = (late.len() as f64 * RECOVERED_SHARE).ceil() as usize;
    (served < owed.max(1)).then_some(BrokenPromise::NotRecovered(served, late.len()))
}
