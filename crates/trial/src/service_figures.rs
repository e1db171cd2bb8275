//! Figures of how well the workspaces were served.

use std::collections::HashSet;

use hdrhistogram::Histogram;

use crocushoist_standin::ExecutedRequest;

use crate::call_outcome::CallOutcome;
use crate::call_outcome::OutcomeKind;
use crate::promise_check::LimitTable;
use crate::promise_check::wrongful_percent;
use crate::trial_report::TrialReport;

const FIRST_ERROR_STATUS: u16 = 500;
const PERCENT: f64 = 100.0;

/// Whether the caller received a complete response that is not a server error.
fn is_served(outcome: &CallOutcome) -> bool {
    matches!(outcome.kind, OutcomeKind::Completed { status } if status < FIRST_ERROR_STATUS)
}

/// Adds the figures of how the workspaces of `limits` were served.
pub fn add_service_figures(
    report: &mut TrialReport,
    outcomes: &[CallOutcome],
    executed_requests: &[ExecutedRequest],
    limits: &LimitTable,
) {
    let mut shares: Vec<f64> = Vec::new();
    let mut worst_wrongful: f64 = 0.0;
    for (workspace, limit) in limits {
        let workspace_outcomes: Vec<&CallOutcome> = outcomes
            .iter()
            .filter(|outcome| outcome.workspace == *workspace)
            .collect();
        let served = workspace_outcomes
            .iter()
            .filter(|outcome| is_served(outcome))
            .count();
        shares.push(served as f64 / workspace_outcomes.len().max(1) as f64);
        worst_wrongful = worst_wrongful.max(wrongful_percent(outcomes, workspace, *limit));
    }
    let best_share = shares.iter().copied().fold(0.0, f64::max);
    let worst_share = shares.iter().copied().fold(1.0, f64::min);
    let served = outcomes.iter().filter(|outcome| is_served(outcome)).count();
    report.add_figure(
        "served",
        PERCENT * served as f64 / outcomes.len().max(1) as f64,
        "%",
    );
    report.add_figure(
        "worst_served_share",
        PERCENT * worst_share / best_share.max(1e-9),
        "% of the best-served",
    );
    report.add_figure("wrongful_worst", worst_wrongful, "%");
    report.add_figure("served_p99", latency_p99_us(outcomes), "us");
    report.add_figure("extra_attempts", extra_attempts(executed_requests), "%");
}

fn latency_p99_us(outcomes: &[CallOutcome]) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return 0.0;
    };
    for outcome in outcomes.iter().filter(|outcome| is_served(outcome)) {
        let _ = histogram.record(outcome.latency_us);
    }
    histogram.value_at_quantile(0.99) as f64
}

/// Attempts beyond the first of each request, as a percentage of the requests.
fn extra_attempts(executed_requests: &[ExecutedRequest]) -> f64 {
    let requests: HashSet<&str> = executed_requests
        .iter()
        .map(|entry| entry.request_id.as_str())
        .collect();
    let extra = executed_requests.len() - requests.len();
    PERCENT * extra as f64 / requests.len().max(1) as f64
}
