//! Scenario of a calm load, which measures control costs and expects no refusals.

use std::time::Duration;

use compio::time::sleep;

use crate::fleet_plan::FleetPlan;
use crate::trial_caller::run_callers;
use crate::trial_error::TrialError;
use crate::trial_report::TrialReport;
use crate::trial_setup::check_and_measure;
use crate::trial_setup::limit_table;
use crate::trial_setup::start_fleet;
use crate::trial_setup::steered_caller;

const HOSTS: usize = 44;
const INSTANCES: usize = 20;
/// Duration of the measurement without load, after the start of the fleet.
const IDLE_MS: u64 = 5_000;
const LOAD_MS: u64 = 8_000;

/// Measures 44 hosts first without load and then under a calm load.
pub async fn run_calm(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = limit_table(&[("depot", 200, 100), ("installer", 120, 60)]);
    let fleet = start_fleet(FleetPlan::new(HOSTS, INSTANCES, 3, HOSTS as u32), &limits).await?;
    let mut report = TrialReport::default();
    sleep(Duration::from_millis(1_500)).await;
    let idle_before = fleet.statuses().await;
    sleep(Duration::from_millis(IDLE_MS)).await;
    report.add_host_costs("idle", &idle_before, &fleet.statuses().await);
    let before = fleet.statuses().await;
    let mut callers = Vec::new();
    for data_centre in 0..3 {
        let seed = seed * 100 + data_centre as u64;
        callers.push(steered_caller(&fleet, "depot", 45.0, data_centre, seed));
        callers.push(steered_caller(
            &fleet,
            "installer",
            25.0,
            data_centre,
            seed + 10,
        ));
    }
    let outcomes = run_callers(callers, LOAD_MS).await;
    let uncompleted = outcomes
        .iter()
        .filter(|outcome| !outcome.is_completed())
        .count();
    report.check_target(
        uncompleted == 0,
        format!("{uncompleted} requests under calm load got no complete response"),
    );
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}
