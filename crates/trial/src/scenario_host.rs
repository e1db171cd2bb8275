//! Hosts that are killed, stopped, replaced or cut off.

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
const MAX_RECOVERY_MS: u64 = 6_000;
const LOAD_DURATION_MS: u64 = 14_000;
const LONG_SERVICE_MS: u64 = 100;
const DC_CUT_LOAD_DURATION_MS: u64 = 17_000;
const SINGLE_LIMIT: WorkspaceLimit = WorkspaceLimit {
    rate: 30,
    burst: 15,
};

/// Workspaces of one share each, so that some share lies in any data centre.
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

/// Kills hosts; their shares must be back in use within 6 s.
pub async fn run_host_kill(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = host_limits();
    let mut fleet = start_fleet(FleetPlan::new(HOSTS, 12, 3, SHARDS), &limits).await?;
    let before = fleet.statuses().await;
    let callers = host_callers(&fleet, seed);
    let mut report = TrialReport::default();
    let faults = async {
        sleep(Duration::from_millis(1_500)).await;
        let victims = [seed as usize % HOSTS, (seed as usize + 5) % HOSTS];
        victims.iter().for_each(|victim| fleet.kill_host(*victim));
        let killed_at = ClockTime::now();
        wait_all_shards_active(&fleet).await?;
        let to_recover = ClockTime::now().since(killed_at);
        let replacement = fleet.plan.add_host(victims[0] % 3);
        fleet.publish_host_list().await?;
        fleet.start_host(replacement)?;
        Ok::<u64, TrialError>(to_recover)
    };
    let (outcomes, to_recover) = join(run_callers(callers, LOAD_DURATION_MS), faults).await;
    let to_recover = to_recover?;
    report.add_figure("time_to_recover", to_recover as f64, "ms");
    report.check_target(
        to_recover <= MAX_RECOVERY_MS,
        "a dead host's share took more than 6 s to be in use",
    );
    add_wrongful_figures(&mut report, &outcomes, &limits);
    fleet.wait_ready().await?;
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

async fn wait_all_shards_active(fleet: &TrialFleet) -> Result<(), TrialError> {
    fleet
        .wait_for("every shard in use again", async |fleet| {
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

/// Stops hosts in the planned way while callers keep their addresses; nothing may be cut.
///
/// Requests take long, so that some are in progress whenever a host stops.
pub async fn run_host_stop(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = host_limits();
    let mut plan = FleetPlan::new(HOSTS, 12, 3, SHARDS);
    plan.service_ms = LONG_SERVICE_MS;
    let mut fleet = start_fleet(plan, &limits).await?;
    let before = fleet.statuses().await;
    let callers = host_callers(&fleet, seed);
    let mut report = TrialReport::default();
    let worst_gap = Cell::new(0);
    let faults = async {
        let mut gap = 0;
        for round in 0..3 {
            sleep(Duration::from_millis(1_000)).await;
            let leaver = (seed as usize + round * 4) % HOSTS;
            fleet.stop_host(leaver).await?;
            sleep(Duration::from_millis(600)).await;
            let stopped_at = ClockTime::now();
            wait_all_shards_active(&fleet).await?;
            gap = gap.max(600 + ClockTime::now().since(stopped_at));
            while !fleet.has_ended(leaver) {
                sleep(Duration::from_millis(50)).await;
            }
        }
        worst_gap.set(gap);
        Ok::<(), TrialError>(())
    };
    let (outcomes, faulted) = join(run_callers(callers, LOAD_DURATION_MS), faults).await;
    faulted?;
    report.add_figure("time_to_hand_over", worst_gap.get() as f64, "ms");
    add_wrongful_figures(&mut report, &outcomes, &limits);
    let cut = outcomes.iter().filter(|outcome| outcome.is_lost()).count();
    report.require(cut == 0, format!("planned stops cut {cut} requests"));
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Cuts a data centre off, first in one direction and then in both.
///
/// The cut lasts for longer than its shares need to move, while callers press
/// the limits on both sides: a holder that went on spending would be seen.
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
        let onward = CutRule {
            from: inside.clone(),
            to: outside.clone(),
        };
        let back = CutRule {
            from: outside,
            to: inside,
        };
        fleet.set_cut_rules(vec![onward.clone()]).await?;
        sleep(Duration::from_millis(3_000)).await;
        fleet.set_cut_rules(vec![onward, back]).await?;
        sleep(Duration::from_millis(9_000)).await;
        fleet.set_cut_rules(Vec::new()).await?;
        let healed_at = ClockTime::now();
        fleet.wait_ready().await?;
        Ok::<u64, TrialError>(ClockTime::now().since(healed_at))
    };
    let (outcomes, healed) = join(run_callers(callers, DC_CUT_LOAD_DURATION_MS), faults).await;
    report.add_figure("time_to_recover", healed? as f64, "ms after the cut");
    add_wrongful_figures(&mut report, &outcomes, &limits);
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Kills every host at once and starts all again at their addresses.
///
/// Nothing but the log remains; the configuration must be what it was.
pub async fn run_fleet_restart(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = host_limits();
    let mut fleet = start_fleet(FleetPlan::new(6, 12, 3, 12), &limits).await?;
    let before = fleet.statuses().await;
    let last_offset = before.iter().map(|status| status.host.next_offset).max();
    let every = fleet.live_hosts();
    every.iter().for_each(|index| fleet.kill_host(*index));
    let killed_at = ClockTime::now();
    for index in every {
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
    let went_back = after
        .iter()
        .any(|status| Some(status.host.next_offset) < last_offset);
    report.require(!went_back, "an offset went back over the restart");
    sleep(Duration::from_millis(1_000)).await;
    let outcomes = run_callers(host_callers(&fleet, seed), 5_000).await;
    add_wrongful_figures(&mut report, &outcomes, &limits);
    check_and_measure(&fleet, &mut report, &after, &outcomes, &limits).await?;
    Ok(report)
}

/// Kills most shard holders and replaces them at new addresses.
///
/// Nobody can prove their end, so their shards stay out until an operator
/// vouches for it.
pub async fn run_holders_replaced(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = host_limits();
    let mut fleet = start_fleet(FleetPlan::new(6, 12, 3, 12), &limits).await?;
    let before = fleet.statuses().await;
    let callers = host_callers(&fleet, seed);
    let mut report = TrialReport::default();
    let faults = async {
        sleep(Duration::from_millis(1_500)).await;
        let dead: Vec<String> = before
            .iter()
            .take(4)
            .map(|status| status.host.incarnation.to_string())
            .collect();
        (0..4).for_each(|index| fleet.kill_host(index));
        for data_centre in 0..3 {
            let newcomer = fleet.plan.add_host(data_centre);
            fleet.publish_host_list().await?;
            fleet.start_host(newcomer)?;
        }
        sleep(Duration::from_millis(MAX_RECOVERY_MS)).await;
        let active = active_shards(&fleet).await;
        for incarnation in dead {
            fleet.declare_ended(&incarnation).await?;
        }
        let vouched_at = ClockTime::now();
        fleet.wait_ready().await?;
        Ok::<(usize, u64), TrialError>((active, ClockTime::now().since(vouched_at)))
    };
    let (outcomes, recovered) = join(run_callers(callers, LOAD_DURATION_MS), faults).await;
    let (active, to_recover) = recovered?;
    report.add_figure("shards_in_use_before_the_word", active as f64, "of 12");
    report.add_figure(
        "time_to_recover",
        to_recover as f64,
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
