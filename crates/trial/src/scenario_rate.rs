//! Scenarios of workspace limits over all hosts: uneven callers, cuts and suspended hosts.

use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join;

use crocushoist_standin::CutRule;

use crate::call_outcome::CallOutcome;
use crate::fleet_plan::FleetPlan;
use crate::promise_check::LimitTable;
use crate::promise_check::wrongful_percent;
use crate::trial_caller::CallerPlan;
use crate::trial_caller::run_callers;
use crate::trial_error::TrialError;
use crate::trial_fleet::TrialFleet;
use crate::trial_report::TrialReport;
use crate::trial_setup::check_and_measure;
use crate::trial_setup::fixed_caller;
use crate::trial_setup::limit_table;
use crate::trial_setup::start_fleet;
use crate::trial_setup::steered_caller;

/// Target for wrongful refusals of a workspace whose requests are spread over hosts.
const MAX_EVEN_WRONGFUL_PERCENT: f64 = 0.5;
/// Target for wrongful refusals of a workspace whose requests all reach one host.
const MAX_SKEWED_WRONGFUL_PERCENT: f64 = 1.0;
const NOISY_FACTOR: f64 = 5.0;
const SKEW_HOSTS: usize = 44;
const FAULT_HOSTS: usize = 12;
const FAULT_SHARDS: u32 = 24;

/// Sends requests of one workspace at five times its rate, and of others within theirs, to
/// 44 hosts.
pub async fn run_rate_skew(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = limit_table(&[
        ("even-large", 120, 60),
        ("even-small", 30, 20),
        ("one-host-large", 80, 40),
        ("one-host-small", 30, 20),
        ("noisy", 60, 30),
    ]);
    let fleet = start_fleet(
        FleetPlan::new(SKEW_HOSTS, 20, 3, SKEW_HOSTS as u32),
        &limits,
    )
    .await?;
    let before = fleet.statuses().await;
    let all_hosts: Vec<usize> = (0..SKEW_HOSTS).collect();
    let callers = vec![
        fixed_caller(&fleet, "even-large", 90.0, &all_hosts, seed * 100 + 1),
        steered_caller(&fleet, "even-small", 11.0, 0, seed * 100 + 2),
        steered_caller(&fleet, "even-small", 11.0, 1, seed * 100 + 3),
        fixed_caller(&fleet, "one-host-large", 60.0, &[7], seed * 100 + 4),
        fixed_caller(&fleet, "one-host-small", 22.0, &[8], seed * 100 + 5),
        fixed_caller(
            &fleet,
            "noisy",
            30.0 * NOISY_FACTOR,
            &all_hosts,
            seed * 100 + 6,
        ),
        steered_caller(&fleet, "noisy", 30.0 * NOISY_FACTOR, 2, seed * 100 + 7),
    ];
    let outcomes = run_callers(callers, 12_000).await;
    let mut report = TrialReport::default();
    for workspace in ["even-large", "even-small"] {
        check_wrongful(
            &mut report,
            &outcomes,
            workspace,
            &limits,
            MAX_EVEN_WRONGFUL_PERCENT,
        );
    }
    for workspace in ["one-host-large", "one-host-small"] {
        check_wrongful(
            &mut report,
            &outcomes,
            workspace,
            &limits,
            MAX_SKEWED_WRONGFUL_PERCENT,
        );
    }
    add_noisy_share(&mut report, &outcomes, &limits, 12_000);
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Adds the share of its rate and burst that the noisy workspace was served.
fn add_noisy_share(
    report: &mut TrialReport,
    outcomes: &[CallOutcome],
    limits: &LimitTable,
    duration_ms: u64,
) {
    let completed = outcomes
        .iter()
        .filter(|outcome| outcome.workspace == "noisy" && outcome.is_completed())
        .count();
    let limit = limits["noisy"];
    let allowed = f64::from(limit.rate) * duration_ms as f64 / 1_000.0 + f64::from(limit.burst);
    report.add_figure(
        "noisy_got_of_its_limit",
        100.0 * completed as f64 / allowed,
        "%",
    );
}

/// Adds the percentage of wrongful refusals; more than `max_percent` misses the target.
pub fn check_wrongful(
    report: &mut TrialReport,
    outcomes: &[CallOutcome],
    workspace: &str,
    limits: &LimitTable,
    max_percent: f64,
) {
    let percent = wrongful_percent(outcomes, workspace, limits[workspace]);
    report.add_figure(format!("wrongful_{workspace}"), percent, "%");
    report.check_target(
        percent <= max_percent,
        format!("{percent:.2}% of the requests of \"{workspace}\" within its limit were refused, allowed {max_percent}%"),
    );
}

/// Limits in the scenarios with faults.
fn fault_scenario_limits() -> LimitTable {
    limit_table(&[("small", 40, 20), ("large", 150, 100), ("noisy", 50, 30)])
}

/// Callers that exceed the limit of every workspace at every host.
fn over_limit_callers(fleet: &TrialFleet, seed: u64) -> Vec<CallerPlan> {
    let all_hosts: Vec<usize> = (0..fleet.plan.hosts.len()).collect();
    vec![
        fixed_caller(fleet, "small", 100.0, &all_hosts, seed * 100 + 1),
        fixed_caller(fleet, "large", 200.0, &all_hosts, seed * 100 + 2),
        steered_caller(fleet, "noisy", 120.0, 0, seed * 100 + 3),
        fixed_caller(fleet, "noisy", 130.0, &all_hosts, seed * 100 + 4),
    ]
}

/// Cuts each data centre off in one direction in turn, while callers exceed every limit.
pub async fn run_rate_cut(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = fault_scenario_limits();
    let fleet = start_fleet(FleetPlan::new(FAULT_HOSTS, 20, 3, FAULT_SHARDS), &limits).await?;
    let before = fleet.statuses().await;
    let faults = async {
        for data_centre in 0..3 {
            sleep(Duration::from_millis(1_500)).await;
            let one_way = CutRule {
                from: fleet.plan.ips_in(data_centre),
                to: fleet.plan.ips_outside(data_centre),
            };
            fleet.set_cut_rules(vec![one_way]).await?;
            sleep(Duration::from_millis(4_000)).await;
            fleet.set_cut_rules(Vec::new()).await?;
        }
        Ok::<(), TrialError>(())
    };
    let (outcomes, fault_result) = join(
        run_callers(over_limit_callers(&fleet, seed), 18_000),
        faults,
    )
    .await;
    fault_result?;
    let mut report = TrialReport::default();
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Suspends hosts for longer than any lease and resumes them, while callers exceed every limit.
pub async fn run_rate_freeze(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = fault_scenario_limits();
    let fleet = start_fleet(FleetPlan::new(FAULT_HOSTS, 20, 3, FAULT_SHARDS), &limits).await?;
    let before = fleet.statuses().await;
    let faults = async {
        for round in 0..2 {
            sleep(Duration::from_millis(1_000)).await;
            let frozen: Vec<usize> = (0..3)
                .map(|offset| (round * 3 + offset) % FAULT_HOSTS)
                .collect();
            frozen.iter().for_each(|index| fleet.freeze_host(*index));
            sleep(Duration::from_millis(6_500)).await;
            frozen.iter().for_each(|index| fleet.resume_host(*index));
        }
    };
    let (outcomes, ()) = join(
        run_callers(over_limit_callers(&fleet, seed), 17_000),
        faults,
    )
    .await;
    let mut report = TrialReport::default();
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}
