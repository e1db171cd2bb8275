//! Scenarios of hosts that are killed, stopped, replaced or cut off.

use std::cell::Cell;
use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join;

use crocushoist_standin::CutRule;
use crocushoist_state::ClockTime;
use crocushoist_state::WorkspaceLimit;

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

const HOSTS: usize = 12;
const SHARDS: u32 = 24;
/// Target for the time until every shard is in use after hosts were killed.
///
/// The scenario `holders-replaced` waits that long before the operator's declaration.
const MAX_RECOVERY_MS: u64 = 6_000;
const LOAD_DURATION_MS: u64 = 14_000;
/// Service time in the scenario of planned stops.
const LONG_SERVICE_MS: u64 = 100;
const DC_CUT_LOAD_DURATION_MS: u64 = 17_000;
const SINGLE_LIMIT: WorkspaceLimit = WorkspaceLimit {
    rate: 30,
    burst: 15,
};

/// Workspaces with one share each; there are several, so that some share lies in any data centre.
const SINGLE_SHARE_WORKSPACES: [&str; 6] = [
    "single-1", "single-2", "single-3", "single-4", "single-5", "single-6",
];

fn host_limits() -> LimitTable {
    limit_table(&[("depot", 160, 80), ("installer", 60, 30), ("noisy", 50, 30)])
}

fn host_callers(fleet: &TrialFleet, seed: u64) -> Vec<CallerPlan> {
    let all_hosts: Vec<usize> = (0..fleet.plan.hosts.len()).collect();
    vec![
        steered_caller(fleet, "depot", 50.0, 0, seed * 100 + 1),
        steered_caller(fleet, "depot", 50.0, 1, seed * 100 + 2),
        CallerPlan {
            method: "POST",
            ..steered_caller(fleet, "installer", 40.0, 2, seed * 100 + 3)
        },
        fixed_caller(fleet, "noisy", 200.0, &all_hosts, seed * 100 + 4),
    ]
}

/// Kills two hosts; their shards must be in use again within 6 s, before a new host is started.
pub async fn run_host_kill(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = host_limits();
    let mut fleet = start_fleet(FleetPlan::new(HOSTS, 12, 3, SHARDS), &limits).await?;
    let before = fleet.statuses().await;
    let callers = host_callers(&fleet, seed);
    let mut report = TrialReport::default();
    let faults = async {
        sleep(Duration::from_millis(1_500)).await;
        let killed_hosts = [seed as usize % HOSTS, (seed as usize + 5) % HOSTS];
        killed_hosts
            .iter()
            .for_each(|index| fleet.kill_host(*index));
        let killed_at = ClockTime::now();
        wait_all_shards_active(&fleet).await?;
        let recovery_ms = ClockTime::now().since(killed_at);
        let replacement = fleet.plan.add_host(killed_hosts[0] % 3);
        fleet.publish_host_list().await?;
        fleet.start_host(replacement)?;
        Ok::<u64, TrialError>(recovery_ms)
    };
    let (outcomes, recovery_ms) = join(run_callers(callers, LOAD_DURATION_MS), faults).await;
    let recovery_ms = recovery_ms?;
    report.add_figure("time_to_recover", recovery_ms as f64, "ms");
    report.check_target(
        recovery_ms <= MAX_RECOVERY_MS,
        "the shards of killed hosts took more than 6 s to be in use again",
    );
    add_wrongful_figures(&mut report, &outcomes, &limits);
    fleet.wait_ready().await?;
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

async fn wait_all_shards_active(fleet: &TrialFleet) -> Result<(), TrialError> {
    fleet
        .wait_for("every shard to be in use again", async |fleet| {
            active_shards(fleet).await == fleet.plan.shard_count as usize
        })
        .await
}

fn add_wrongful_figures(report: &mut TrialReport, outcomes: &[CallOutcome], limits: &LimitTable) {
    for workspace in ["depot", "installer"] {
        let percent = wrongful_percent(outcomes, workspace, limits[workspace]);
        report.add_figure(format!("wrongful_{workspace}"), percent, "%");
    }
}

/// Asks hosts to stop while callers still use their addresses; no request may be lost.
///
/// The service time is long, so that requests are in progress whenever a host stops.
pub async fn run_host_stop(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = host_limits();
    let mut plan = FleetPlan::new(HOSTS, 12, 3, SHARDS);
    plan.service_ms = LONG_SERVICE_MS;
    let mut fleet = start_fleet(plan, &limits).await?;
    let before = fleet.statuses().await;
    let callers = host_callers(&fleet, seed);
    let mut report = TrialReport::default();
    let longest_hand_over_ms = Cell::new(0);
    let faults = async {
        let mut longest_ms = 0;
        for round in 0..3 {
            sleep(Duration::from_millis(1_000)).await;
            let stopping_host = (seed as usize + round * 4) % HOSTS;
            fleet.stop_host(stopping_host).await?;
            sleep(Duration::from_millis(600)).await;
            let wait_started_at = ClockTime::now();
            wait_all_shards_active(&fleet).await?;
            longest_ms = longest_ms.max(600 + ClockTime::now().since(wait_started_at));
            while !fleet.has_ended(stopping_host) {
                sleep(Duration::from_millis(50)).await;
            }
        }
        longest_hand_over_ms.set(longest_ms);
        Ok::<(), TrialError>(())
    };
    let (outcomes, fault_result) = join(run_callers(callers, LOAD_DURATION_MS), faults).await;
    fault_result?;
    report.add_figure("time_to_hand_over", longest_hand_over_ms.get() as f64, "ms");
    add_wrongful_figures(&mut report, &outcomes, &limits);
    let lost_requests = outcomes.iter().filter(|outcome| outcome.is_lost()).count();
    report.require(
        lost_requests == 0,
        format!("planned stops cut {lost_requests} requests"),
    );
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Cuts off a data centre, first in one direction and then in both.
///
/// The cut lasts longer than its shards need to move to other holders, and callers
/// exceed their limits on both sides, so the check of the limits finds a holder
/// that goes on admitting requests.
pub async fn run_dc_cut(seed: u64) -> Result<TrialReport, TrialError> {
    let mut limits = host_limits();
    limits.extend(SINGLE_SHARE_WORKSPACES.map(|name| (name.to_owned(), SINGLE_LIMIT)));
    let fleet = start_fleet(FleetPlan::new(HOSTS, 12, 3, SHARDS), &limits).await?;
    let before = fleet.statuses().await;
    let all_hosts: Vec<usize> = (0..HOSTS).collect();
    let mut callers = host_callers(&fleet, seed);
    for (index, workspace) in SINGLE_SHARE_WORKSPACES.into_iter().enumerate() {
        let rate = 2.0 * f64::from(SINGLE_LIMIT.rate);
        let seed = seed * 100 + 10 + index as u64;
        callers.push(fixed_caller(&fleet, workspace, rate, &all_hosts, seed));
    }
    let mut report = TrialReport::default();
    let data_centre = seed as usize % 3;
    let faults = async {
        sleep(Duration::from_millis(1_500)).await;
        let inside = fleet.plan.ips_in(data_centre);
        let mut outside = fleet.plan.ips_outside(data_centre);
        outside.push(fleet.plan.log_relay_address.ip());
        let outward = CutRule {
            from: inside.clone(),
            to: outside.clone(),
        };
        let inward = CutRule {
            from: outside,
            to: inside,
        };
        fleet.set_cut_rules(vec![outward.clone()]).await?;
        sleep(Duration::from_millis(3_000)).await;
        fleet.set_cut_rules(vec![outward, inward]).await?;
        sleep(Duration::from_millis(9_000)).await;
        fleet.set_cut_rules(Vec::new()).await?;
        let cut_ended_at = ClockTime::now();
        fleet.wait_ready().await?;
        Ok::<u64, TrialError>(ClockTime::now().since(cut_ended_at))
    };
    let (outcomes, recovery_result) =
        join(run_callers(callers, DC_CUT_LOAD_DURATION_MS), faults).await;
    report.add_figure(
        "time_to_recover",
        recovery_result? as f64,
        "ms after the cut",
    );
    add_wrongful_figures(&mut report, &outcomes, &limits);
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Kills every host at once and starts all of them again at the same addresses.
///
/// Only the log remains; hosts must have every record that they had before.
pub async fn run_fleet_restart(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = host_limits();
    let mut fleet = start_fleet(FleetPlan::new(6, 12, 3, 12), &limits).await?;
    let before = fleet.statuses().await;
    let last_offset = before.iter().map(|status| status.host.next_offset).max();
    let all_hosts = fleet.live_hosts();
    all_hosts.iter().for_each(|index| fleet.kill_host(*index));
    let killed_at = ClockTime::now();
    for index in all_hosts {
        fleet.start_host(index)?;
    }
    fleet.wait_ready().await?;
    let mut report = TrialReport::default();
    report.add_figure(
        "time_to_recover",
        ClockTime::now().since(killed_at) as f64,
        "ms",
    );
    let after = fleet.statuses().await;
    let has_decreased = after
        .iter()
        .any(|status| Some(status.host.next_offset) < last_offset);
    report.require(!has_decreased, "a log offset decreased over the restart");
    sleep(Duration::from_millis(1_000)).await;
    let outcomes = run_callers(host_callers(&fleet, seed), 5_000).await;
    add_wrongful_figures(&mut report, &outcomes, &limits);
    check_and_measure(&fleet, &mut report, &after, &outcomes, &limits).await?;
    Ok(report)
}

/// Kills most shard holders and replaces them at new addresses.
///
/// No host can prove that the killed hosts have ended, so their shards stay unused
/// until an operator declares it.
pub async fn run_holders_replaced(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = host_limits();
    let mut fleet = start_fleet(FleetPlan::new(6, 12, 3, 12), &limits).await?;
    let before = fleet.statuses().await;
    let callers = host_callers(&fleet, seed);
    let mut report = TrialReport::default();
    let faults = async {
        sleep(Duration::from_millis(1_500)).await;
        let killed_incarnations: Vec<String> = before
            .iter()
            .take(4)
            .map(|status| status.host.incarnation.to_string())
            .collect();
        (0..4).for_each(|index| fleet.kill_host(index));
        for data_centre in 0..3 {
            let new_host = fleet.plan.add_host(data_centre);
            fleet.publish_host_list().await?;
            fleet.start_host(new_host)?;
        }
        sleep(Duration::from_millis(MAX_RECOVERY_MS)).await;
        let active_before = active_shards(&fleet).await;
        for incarnation in killed_incarnations {
            fleet.declare_ended(&incarnation).await?;
        }
        let declared_at = ClockTime::now();
        fleet.wait_ready().await?;
        Ok::<(usize, u64), TrialError>((active_before, ClockTime::now().since(declared_at)))
    };
    let (outcomes, recovery_result) = join(run_callers(callers, LOAD_DURATION_MS), faults).await;
    let (active_before, recovery_ms) = recovery_result?;
    report.add_figure(
        "shards_in_use_before_the_word",
        active_before as f64,
        "of 12",
    );
    report.add_figure(
        "time_to_recover",
        recovery_ms as f64,
        "ms after the operator's word",
    );
    add_wrongful_figures(&mut report, &outcomes, &limits);
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

async fn active_shards(fleet: &TrialFleet) -> usize {
    let statuses = fleet.statuses().await;
    statuses.iter().map(|status| status.shards_active).sum()
}
