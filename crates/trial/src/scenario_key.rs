//! Scenario of a key that is revoked and another that is granted under load.

use std::cell::Cell;
use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join;

use crocushoist_state::ClockTime;

use crate::call_outcome::CallOutcome;
use crate::fleet_plan::FleetPlan;
use crate::trial_caller::CallerPlan;
use crate::trial_caller::run_callers;
use crate::trial_error::TrialError;
use crate::trial_report::TrialReport;
use crate::trial_setup::check_and_measure;
use crate::trial_setup::fixed_caller;
use crate::trial_setup::grant_change;
use crate::trial_setup::limit_table;
use crate::trial_setup::revoke_change;
use crate::trial_setup::start_fleet;
use crate::trial_setup::workspace_key;

const HOSTS: usize = 12;
/// Longest time for an accepted edit to take effect on every host.
const MAX_APPLY_MS: u64 = 2_000;

/// Revokes one key and grants another; both must take effect on every host within 2 s.
///
/// Callers reuse their connections, so the checks cover connections that were
/// opened before the edit. Callers of another workspace must not be refused.
pub async fn run_key_withdraw(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = limit_table(&[("kept", 400, 200), ("changed", 400, 200)]);
    let fleet = start_fleet(FleetPlan::new(HOSTS, 12, 3, 24), &limits).await?;
    let before = fleet.statuses().await;
    let revoked_at = Cell::new(ClockTime::default());
    let granted_at = Cell::new(ClockTime::default());
    let edits = async {
        sleep(Duration::from_millis(2_000)).await;
        fleet.change(revoke_change("changed", 0)).await?;
        revoked_at.set(ClockTime::now());
        sleep(Duration::from_millis(1_000)).await;
        fleet.change(grant_change("changed", 1)).await?;
        granted_at.set(ClockTime::now());
        Ok::<(), TrialError>(())
    };
    let all_hosts: Vec<usize> = (0..HOSTS).collect();
    let old_key = fixed_caller(&fleet, "changed", 120.0, &all_hosts, seed * 100 + 1);
    let new_key = CallerPlan {
        key: Some(workspace_key("changed", 1)),
        seed: seed * 100 + 2,
        ..old_key.clone()
    };
    let callers = vec![
        old_key,
        new_key,
        fixed_caller(&fleet, "kept", 60.0, &all_hosts, seed * 100 + 3),
    ];
    let (outcomes, edit_result) = join(run_callers(callers, 8_000), edits).await;
    edit_result?;
    let mut report = TrialReport::default();
    let outcomes_of_key = |number: u64| -> Vec<&CallOutcome> {
        let prefix = format!("changed-{}-", seed * 100 + number);
        outcomes
            .iter()
            .filter(|outcome| outcome.request_id.starts_with(&prefix))
            .collect()
    };
    let last_served = outcomes_of_key(1)
        .into_iter()
        .filter(|outcome| outcome.is_completed())
        .map(|outcome| outcome.sent_at)
        .max()
        .unwrap_or_default();
    let last_refused = outcomes_of_key(2)
        .into_iter()
        .filter(|outcome| outcome.refusal().is_some())
        .map(|outcome| outcome.sent_at)
        .max()
        .unwrap_or_default();
    let revoke_delay_ms = last_served.since(revoked_at.get());
    let grant_delay_ms = last_refused.since(granted_at.get());
    report.add_figure(
        "time_to_withdraw",
        revoke_delay_ms as f64,
        "ms after acceptance",
    );
    report.add_figure(
        "time_to_grant",
        grant_delay_ms as f64,
        "ms after acceptance",
    );
    report.require(
        revoke_delay_ms <= MAX_APPLY_MS,
        "a revoked key was accepted for more than 2 s",
    );
    report.check_target(
        grant_delay_ms <= MAX_APPLY_MS,
        "a granted key was refused for more than 2 s",
    );
    let unrelated_refusals = outcomes
        .iter()
        .filter(|outcome| outcome.workspace == "kept" && outcome.refusal().is_some())
        .count();
    report.check_target(
        unrelated_refusals == 0,
        "a workspace whose keys did not change was refused",
    );
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}
