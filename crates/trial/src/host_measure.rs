//! Measures what hosts cost in an idle fleet: control traffic, processor time and memory.

use std::time::Duration;

use compio::time::sleep;

use crate::fleet_plan::FleetPlan;
use crate::trial_error::TrialError;
use crate::trial_report::TrialReport;
use crate::trial_setup::limit_table;
use crate::trial_setup::start_fleet;

const IDLE_MS: u64 = 8_000;
/// Time before the measurement, so that the start of the fleet is not measured.
const SETTLE_MS: u64 = 2_000;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Starts a fleet without callers and measures the costs of its hosts.
///
/// Fails if the fleet cannot be started or the log does not respond.
pub async fn measure_hosts(
    hosts: usize,
    instances: usize,
    shards: u32,
) -> Result<TrialReport, TrialError> {
    let limits = limit_table(&[("depot", 200, 100)]);
    let fleet = start_fleet(FleetPlan::new(hosts, instances, 3, shards), &limits).await?;
    let mut report = TrialReport::default();
    sleep(Duration::from_millis(SETTLE_MS)).await;
    let before = fleet.statuses().await;
    let log_before = fleet.log_stats().await?;
    sleep(Duration::from_millis(IDLE_MS)).await;
    let after = fleet.statuses().await;
    let log_after = fleet.log_stats().await?;
    report.add_host_costs("idle", &before, &after);
    let seconds = IDLE_MS as f64 / 1_000.0;
    let reads = (log_after.reads - log_before.reads) as f64 / seconds;
    report.add_figure("log_reads", reads, "a second, all hosts");
    report.add_figure(
        "log_appends",
        log_after.appends as f64,
        "since start, all hosts",
    );
    let resident: Vec<u64> = after.iter().map(|status| status.resident_bytes).collect();
    let mean_bytes = resident.iter().sum::<u64>() as f64 / resident.len().max(1) as f64;
    report.add_figure("resident_mean_host", mean_bytes / BYTES_PER_MEGABYTE, "MB");
    Ok(report)
}
