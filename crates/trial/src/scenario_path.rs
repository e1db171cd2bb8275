//! Scenario of a calm load over the complete path from caller to instance.

use bytes::Bytes;
use hdrhistogram::Histogram;

use crocushoist_protocol::WireChange;
use crocushoist_transport::HttpClient;

use crate::call_outcome::CallOutcome;
use crate::fleet_plan::FleetPlan;
use crate::fleet_plan::SERVICE_NAME;
use crate::trial_caller::CallerPlan;
use crate::trial_caller::HostSelection;
use crate::trial_caller::run_callers;
use crate::trial_error::TrialError;
use crate::trial_fleet::TrialFleet;
use crate::trial_report::TrialReport;
use crate::trial_setup::KEYED_PATH;
use crate::trial_setup::OPEN_PATH;
use crate::trial_setup::check_and_measure;
use crate::trial_setup::limit_table;
use crate::trial_setup::start_fleet;
use crate::trial_setup::steered_caller;
use crate::trial_setup::workspace_key;

const LOAD_DURATION_MS: u64 = 6_000;
/// Target for the latency that hosts add at the 99th percentile, in microseconds.
const MAX_ADDED_P99_US: f64 = 5_200.0;
const LARGE_BODY_BYTES: usize = 3_000_000;
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Sends a calm load through six hosts in three data centres, and the same kind of requests
/// directly to the instances.
///
/// Compares the latencies and checks that large bodies arrive complete.
pub async fn run_path(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = limit_table(&[("depot", 400, 200), ("installer", 400, 200)]);
    let fleet = start_fleet(FleetPlan::new(6, 12, 3, 12), &limits).await?;
    let before = fleet.statuses().await;
    let mut callers = Vec::new();
    for data_centre in 0..3u64 {
        let seed = seed * 100 + data_centre;
        callers.push(steered_caller(
            &fleet,
            "depot",
            40.0,
            data_centre as usize,
            seed,
        ));
        let booking = steered_caller(&fleet, "installer", 20.0, data_centre as usize, seed + 10);
        callers.push(CallerPlan {
            method: "POST",
            ..booking
        });
    }
    callers.push(CallerPlan {
        key: None,
        path: OPEN_PATH,
        workspace: "open".into(),
        ..steered_caller(&fleet, "depot", 20.0, 0, seed * 100 + 20)
    });
    let direct_addresses = fleet
        .plan
        .instances
        .iter()
        .map(|instance| instance.address)
        .collect();
    callers.push(CallerPlan {
        workspace: "direct".into(),
        key: None,
        hosts: HostSelection::Fixed(direct_addresses),
        ..steered_caller(&fleet, "depot", 60.0, 0, seed * 100 + 21)
    });
    let outcomes = run_callers(callers, LOAD_DURATION_MS).await;
    let mut report = TrialReport::default();
    let (direct, through): (Vec<_>, Vec<_>) = outcomes
        .into_iter()
        .partition(|outcome| outcome.workspace == "direct");
    compare_latency(&mut report, &direct, &through);
    let uncompleted = through
        .iter()
        .filter(|outcome| !outcome.is_completed())
        .count();
    let lost = through.iter().filter(|outcome| outcome.is_lost()).count();
    report.require(
        lost == 0,
        "a request under calm load got a truncated response or none",
    );
    report.check_target(
        uncompleted == 0,
        format!("{uncompleted} requests under calm load got no complete response"),
    );
    check_bodies(&fleet, &mut report).await?;
    check_and_measure(&fleet, &mut report, &before, &through, &limits).await?;
    Ok(report)
}

fn compare_latency(report: &mut TrialReport, direct: &[CallOutcome], through: &[CallOutcome]) {
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let direct = latency_quantile_us(direct, quantile);
        let through = latency_quantile_us(through, quantile);
        report.add_figure(format!("direct_{name}"), direct, "us");
        report.add_figure(format!("through_{name}"), through, "us");
        report.add_figure(format!("added_{name}"), through - direct, "us");
        report.add_figure(
            format!("ratio_{name}"),
            through / direct.max(1.0),
            "times direct",
        );
    }
    let added_us = report.value("added_p99").unwrap_or(0.0);
    report.check_target(
        added_us <= MAX_ADDED_P99_US,
        format!("the hosts added {added_us} us at p99, allowed {MAX_ADDED_P99_US} us"),
    );
}

/// Latency quantile of the completed requests in microseconds.
fn latency_quantile_us(outcomes: &[CallOutcome], quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return 0.0;
    };
    for outcome in outcomes.iter().filter(|outcome| outcome.is_completed()) {
        let _ = histogram.record(outcome.latency_us);
    }
    histogram.value_at_quantile(quantile) as f64
}

/// Sends a large request body and receives a large streamed response body.
async fn check_bodies(fleet: &TrialFleet, report: &mut TrialReport) -> Result<(), TrialError> {
    let key = workspace_key("depot", 0);
    let sent_headers = [("x-workspace-key", key.as_str()), ("x-request-id", "big")];
    let mut client = HttpClient::new(None, fleet.plan.hosts[0].caller_address, CALL_TIMEOUT_MS);
    let upload = Bytes::from(vec![b'u'; LARGE_BODY_BYTES]);
    let response = client
        .call("POST", KEYED_PATH, &sent_headers, upload)
        .await?;
    let expected = format!("\"received\":{LARGE_BODY_BYTES}");
    let text = String::from_utf8_lossy(&response.body).into_owned();
    report.require(
        text.contains(&expected),
        format!("a large request body arrived with another length: {text}"),
    );
    let path = format!("/big/{LARGE_BODY_BYTES}");
    fleet
        .change(WireChange::PutRoute {
            prefix: "/big".into(),
            service: SERVICE_NAME.into(),
            open: true,
        })
        .await?;
    let response = client.call("GET", &path, &[], Bytes::new()).await?;
    report.add_figure("streamed_body", response.body.len() as f64, "B");
    report.require(
        response.body.len() == LARGE_BODY_BYTES,
        "a large response body arrived with another length",
    );
    Ok(())
}
