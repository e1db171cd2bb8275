//! Checks the promises from the ledgers of callers and instances.
//!
//! This is apart from the code that keeps the promises: it knows requests,
//! workspaces and times, and nothing of shards or tokens.

use std::collections::HashMap;
use std::collections::HashSet;

use crocushoist_standin::ExecutedRequest;
use crocushoist_state::WorkspaceLimit;

use crate::call_outcome::CallOutcome;
use crate::call_outcome::OutcomeKind;
use crate::trial_report::TrialReport;

const CLOCK_STEP_MS: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Limits by workspace.
pub type LimitTable = HashMap<String, WorkspaceLimit>;

/// Most tokens by which any window of `admitted_at`, in milliseconds, exceeds `limit`.
///
/// A bucket that is full at the first admission falls below zero if and only
/// if some window exceeds the limit. Each window may be longer by one step of
/// the clock that stamped its ends.
pub fn overshoot(mut admitted_at: Vec<u64>, limit: WorkspaceLimit) -> f64 {
    admitted_at.sort_unstable();
    let rate = f64::from(limit.rate) / MILLIS_PER_SECOND;
    let burst = f64::from(limit.burst);
    let mut level = burst;
    let mut last = admitted_at.first().copied().unwrap_or(0);
    let mut worst: f64 = 0.0;
    for at in admitted_at {
        level = (level + (at - last) as f64 * rate).min(burst);
        last = at;
        level -= 1.0;
        worst = worst.max(-level - rate * CLOCK_STEP_MS);
    }
    worst.max(0.0)
}

/// Share of `workspace`'s requests, in percent, refused although inside its limit.
pub fn wrongful_percent(outcomes: &[CallOutcome], workspace: &str, limit: WorkspaceLimit) -> f64 {
    let rate = f64::from(limit.rate) / MILLIS_PER_SECOND;
    let burst = f64::from(limit.burst);
    let mut level = burst;
    let mut last: Option<u64> = None;
    let mut inside = 0u64;
    let mut wrongful = 0u64;
    for outcome in outcomes
        .iter()
        .filter(|outcome| outcome.workspace == workspace)
    {
        let at = outcome.sent_at.as_millis();
        let waited = at - last.unwrap_or(at).min(at);
        level = (level + waited as f64 * rate).min(burst);
        last = Some(at);
        if level < 1.0 {
            continue;
        }
        level -= 1.0;
        inside += 1;
        wrongful += u64::from(outcome.refusal().is_some());
    }
    100.0 * wrongful as f64 / inside.max(1) as f64
}

/// Checks every promise that holds in all scenarios.
pub fn check_promises(
    report: &mut TrialReport,
    outcomes: &[CallOutcome],
    ledger: &[ExecutedRequest],
    limits: &LimitTable,
) {
    check_overshoot(report, ledger, limits);
    check_workspaces(report, outcomes, ledger);
    check_executions(report, outcomes, ledger);
    let keys_seen = ledger.iter().filter(|entry| entry.received_key).count();
    report.add_figure("keys_seen_by_upstreams", keys_seen as f64, "requests");
    report.require(keys_seen == 0, "an upstream saw a caller's key");
    let silent = outcomes
        .iter()
        .filter(|outcome| lacks_retry_after(outcome))
        .count();
    report.require(
        silent == 0,
        "a passing refusal did not say when to come back",
    );
}

fn lacks_retry_after(outcome: &CallOutcome) -> bool {
    matches!(&outcome.kind, OutcomeKind::Refused { reason, has_retry_after: false, .. }
        if !matches!(reason.as_str(), "key_missing" | "key_unknown" | "key_misplaced" | "no_route" | "malformed"))
}

fn check_overshoot(report: &mut TrialReport, ledger: &[ExecutedRequest], limits: &LimitTable) {
    let mut admissions: HashMap<&str, HashMap<&str, u64>> = HashMap::new();
    for entry in ledger.iter().filter(|entry| !entry.workspace.is_empty()) {
        admissions
            .entry(entry.workspace.as_str())
            .or_default()
            .insert(entry.request_id.as_str(), entry.admitted_at_ms);
    }
    let mut worst: f64 = 0.0;
    for (workspace, requests) in admissions {
        let Some(limit) = limits.get(workspace) else {
            report.require(
                false,
                "a request ran for a workspace that the trial did not set up",
            );
            continue;
        };
        worst = worst.max(overshoot(requests.into_values().collect(), *limit));
    }
    report.add_figure("overshoot", worst, "tokens");
    report.require(worst == 0.0, "a workspace got more than its rate and burst");
}

fn check_workspaces(
    report: &mut TrialReport,
    outcomes: &[CallOutcome],
    ledger: &[ExecutedRequest],
) {
    let callers: HashMap<&str, &str> = outcomes
        .iter()
        .map(|outcome| (outcome.request_id.as_str(), outcome.workspace.as_str()))
        .collect();
    let foreign = ledger
        .iter()
        .filter(|entry| !entry.workspace.is_empty())
        .filter(|entry| {
            callers
                .get(entry.request_id.as_str())
                .is_some_and(|own| *own != entry.workspace)
        })
        .count();
    report.require(foreign == 0, "a request ran for another workspace");
}

fn check_executions(
    report: &mut TrialReport,
    outcomes: &[CallOutcome],
    ledger: &[ExecutedRequest],
) {
    let mut seen = HashSet::new();
    let twice = ledger
        .iter()
        .filter(|entry| !entry.is_idempotent && !seen.insert(entry.request_id.as_str()))
        .count();
    report.require(twice == 0, "a non-idempotent request ran more than once");
    let ran: HashSet<&str> = ledger
        .iter()
        .map(|entry| entry.request_id.as_str())
        .collect();
    let lies = outcomes
        .iter()
        .filter(|outcome| {
            matches!(
                outcome.kind,
                OutcomeKind::Refused {
                    not_executed: true,
                    ..
                }
            )
        })
        .filter(|outcome| ran.contains(outcome.request_id.as_str()))
        .count();
    report.require(lies == 0, "a request that ran was refused as not run");
    let missing = outcomes
        .iter()
        .filter(|outcome| outcome.is_answered() && !ran.contains(outcome.request_id.as_str()))
        .count();
    report.require(missing == 0, "a request was answered that did not run");
}
