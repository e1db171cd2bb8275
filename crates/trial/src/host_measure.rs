//! Measures what control costs in fleets of different sizes.

use std::time::Duration;

use compio::time::sleep;

use crate::fleet_plan::FleetPlan;
use crate::trial_error::TrialError;
use crate::trial_report::TrialReport;
use crate::trial_setup::limits;
use crate::trial_setup::start_fleet;

const IDLE_MS: u64 = 8_000;
const SETTLE_MS: u64 = 2_000;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Starts an idle fleet and takes the costs of its hosts.
pub async fn measure_hosts(
    hosts: usize,
    instances: usize,
    shards: u32,
) -> Result<TrialReport, TrialError> {
    let limits = limits(&[("depot", 200, 100)]);
    let fleet = start_fleet(FleetPlan::new(hosts, instances, 3, shards), &limits).await?;
    let mut report = TrialReport::default();
    sleep(Duration::from_millis(SETTLE_MS)).await;
    let before = fleet.statuses().await;
    let reads_before = fleet.log_stats().await?;
    sleep(Duration::from_millis(IDLE_MS)).await;
    let after = fleet.statuses().await;
    let reads_after = fleet.log_stats().await?;
    report.add_host_costs("idle", &before, &after);
    let seconds = IDLE_MS as f64 / 1_000.0;
    let reads = (reads_after.reads - reads_before.reads) as f64 / seconds;
    report.add_figure("log_reads", reads, "a second, all hosts");
    report.add_figure(
        "log_appends",
        reads_after.appends as f64,
        "since start, all hosts",
    );
    let resident: Vec<u64> = after.iter().map(|status| status.resident_bytes).collect();
    let mean = resident.iter().sum::<u64>() as f64 / resident.len().max(1) as f64;
    report.add_figure("resident_mean_host", mean / BYTES_PER_MEGABYTE, "MB");
    Ok(report)
}
