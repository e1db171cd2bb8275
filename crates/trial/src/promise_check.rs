//! Checks the promises of the fleet against the records of callers and instances.
//!
//! The checks are independent of the code that keeps the promises: they use
//! requests, workspaces and times, and nothing of the hosts' shards or tokens.

use std::collections::HashMap;
use std::collections::HashSet;

use crocushoist_standin::ExecutedRequest;
use crocushoist_state::WorkspaceLimit;

use crate::call_outcome::CallOutcome;
use crate::call_outcome::OutcomeKind;
use crate::trial_report::TrialReport;

/// Resolution of the clock that stamps admissions.
const CLOCK_STEP_MS: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Limits by name of the workspace.
pub type LimitTable = HashMap<String, WorkspaceLimit>;

/// Largest number of tokens by which any time window exceeds `limit`.
///
/// `admitted_at` holds the times of admission in milliseconds, in any order.
///
/// A token bucket that is full at the first admission falls below zero if and
/// only if some window exceeds the limit. Each window is taken as one clock step
/// longer, as its ends are rounded to the clock's resolution.
pub fn overshoot(mut admitted_at: Vec<u64>, limit: WorkspaceLimit) -> f64 {
    admitted_at.sort_unstable();
    let rate_per_ms = f64::from(limit.rate) / MILLIS_PER_SECOND;
    let burst = f64::from(limit.burst);
    let mut level = burst;
    let mut last_at = admitted_at.first().copied().unwrap_or(0);
    let mut max_overshoot: f64 = 0.0;
    for at in admitted_at {
        level = (level + (at - last_at) as f64 * rate_per_ms).min(burst);
        last_at = at;
        level -= 1.0;
        max_overshoot = max_overshoot.max(-level - rate_per_ms * CLOCK_STEP_MS);
    }
    max_overshoot.max(0.0)
}

/// Percentage of the requests of `workspace` within its limit that were refused.
///
/// Outcomes must be in the order of sending. A request is within the limit if a
/// token bucket of the limit, full at the first request, has a token for it.
pub fn wrongful_percent(outcomes: &[CallOutcome], workspace: &str, limit: WorkspaceLimit) -> f64 {
    let rate_per_ms = f64::from(limit.rate) / MILLIS_PER_SECOND;
    let burst = f64::from(limit.burst);
    let mut level = burst;
    let mut last_at: Option<u64> = None;
    let mut within_limit = 0u64;
    let mut wrongful = 0u64;
    for outcome in outcomes
        .iter()
        .filter(|outcome| outcome.workspace == workspace)
    {
        let at = outcome.sent_at.as_millis();
        let elapsed_ms = at - last_at.unwrap_or(at).min(at);
        level = (level + elapsed_ms as f64 * rate_per_ms).min(burst);
        last_at = Some(at);
        if level < 1.0 {
            continue;
        }
        level -= 1.0;
        within_limit += 1;
        wrongful += u64::from(outcome.refusal().is_some());
    }
    100.0 * wrongful as f64 / within_limit.max(1) as f64
}

/// Checks the promises that hold in every scenario, and adds their figures.
pub fn check_promises(
    report: &mut TrialReport,
    outcomes: &[CallOutcome],
    executed_requests: &[ExecutedRequest],
    limits: &LimitTable,
) {
    check_overshoot(report, executed_requests, limits);
    check_workspaces(report, outcomes, executed_requests);
    check_executions(report, outcomes, executed_requests);
    let key_leaks = executed_requests
        .iter()
        .filter(|entry| entry.received_key)
        .count();
    report.add_figure("keys_seen_by_upstreams", key_leaks as f64, "requests");
    report.require(key_leaks == 0, "an upstream received a caller's key");
    let without_retry_after = outcomes
        .iter()
        .filter(|outcome| lacks_retry_after(outcome))
        .count();
    report.require(
        without_retry_after == 0,
        "a temporary refusal did not state when to retry",
    );
}

/// Whether the refusal is temporary but does not state when to retry.
fn lacks_retry_after(outcome: &CallOutcome) -> bool {
    matches!(&outcome.kind, OutcomeKind::Refused { reason, has_retry_after: false, .. }
        if !matches!(reason.as_str(), "key_missing" | "key_unknown" | "key_misplaced" | "no_route" | "malformed"))
}

fn check_overshoot(
    report: &mut TrialReport,
    executed_requests: &[ExecutedRequest],
    limits: &LimitTable,
) {
    let mut admissions: HashMap<&str, HashMap<&str, u64>> = HashMap::new();
    for entry in executed_requests
        .iter()
        .filter(|entry| !entry.workspace.is_empty())
    {
        admissions
            .entry(entry.workspace.as_str())
            .or_default()
            .insert(entry.request_id.as_str(), entry.admitted_at_ms);
    }
    let mut max_overshoot: f64 = 0.0;
    for (workspace, requests) in admissions {
        let Some(limit) = limits.get(workspace) else {
            report.require(
                false,
                "a request was executed for a workspace that the trial did not set up",
            );
            continue;
        };
        max_overshoot = max_overshoot.max(overshoot(requests.into_values().collect(), *limit));
    }
    report.add_figure("overshoot", max_overshoot, "tokens");
    report.require(
        max_overshoot == 0.0,
        "a workspace was admitted beyond its rate and burst",
    );
}

fn check_workspaces(
    report: &mut TrialReport,
    outcomes: &[CallOutcome],
    executed_requests: &[ExecutedRequest],
) {
    let caller_workspaces: HashMap<&str, &str> = outcomes
        .iter()
        .map(|outcome| (outcome.request_id.as_str(), outcome.workspace.as_str()))
        .collect();
    let foreign = executed_requests
        .iter()
        .filter(|entry| !entry.workspace.is_empty())
        .filter(|entry| {
            caller_workspaces
                .get(entry.request_id.as_str())
                .is_some_and(|workspace| *workspace != entry.workspace)
        })
        .count();
    report.require(
        foreign == 0,
        "a request was executed for another workspace than its caller's",
    );
}

fn check_executions(
    report: &mut TrialReport,
    outcomes: &[CallOutcome],
    executed_requests: &[ExecutedRequest],
) {
    let mut seen = HashSet::new();
    let repeated = executed_requests
        .iter()
        .filter(|entry| !entry.is_idempotent && !seen.insert(entry.request_id.as_str()))
        .count();
    report.require(
        repeated == 0,
        "a non-idempotent request was executed more than once",
    );
    let executed: HashSet<&str> = executed_requests
        .iter()
        .map(|entry| entry.request_id.as_str())
        .collect();
    let false_refusals = outcomes
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
        .filter(|outcome| executed.contains(outcome.request_id.as_str()))
        .count();
    report.require(
        false_refusals == 0,
        "a refusal stated that an executed request was not executed",
    );
    let without_execution = outcomes
        .iter()
        .filter(|outcome| outcome.is_completed() && !executed.contains(outcome.request_id.as_str()))
        .count();
    report.require(
        without_execution == 0,
        "a request got a response although no instance executed it",
    );
}
