//! Scenarios of overload, of an instance that leaves, and of bookings under many faults.

use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join;

use crocushoist_protocol::WireChange;
use crocushoist_standin::CutRule;
use crocushoist_standin::InstanceFaults;
use crocushoist_state::ClockTime;

use crate::fleet_plan::FleetPlan;
use crate::promise_check::LimitTable;
use crate::promise_check::wrongful_percent;
use crate::scenario_catalogue::TrialOptions;
use crate::scenario_gray::FAULTY_INSTANCE;
use crate::scenario_gray::LOAD_DURATION_MS;
use crate::scenario_gray::WARM_UP_MS;
use crate::scenario_gray::add_ejection_figures;
use crate::scenario_gray::gray_callers;
use crate::scenario_gray::gray_limits;
use crate::scenario_gray::gray_plan;
use crate::scenario_gray::start_gray_fleet;
use crate::service_figures::add_service_figures;
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

/// Target for the share of the worst-served workspace, relative to the best-served.
const MIN_SERVED_SHARE_PERCENT: f64 = 95.0;
/// Target for the time until a leaving instance gets no more requests.
const MAX_WORK_AFTER_LEAVING_MS: u64 = 3_000;
/// Delay after which the host list shows a change.
const HOST_LIST_DELAY_MS: u64 = 1_000;

/// Sends more requests than the instances can handle, with one workspace at five times its rate.
///
/// The workspaces within their rate must be served about equally.
pub async fn run_overload(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let limits = limit_table(&[
        ("depot", 140, 70),
        ("installer", 140, 70),
        ("audit", 140, 70),
        ("verifier", 140, 70),
        ("noisy", 100, 50),
    ]);
    let mut plan = FleetPlan::new(12, 8, 3, 24);
    plan.policy = options.policy.clone();
    plan.service_ms = 50;
    let fleet = start_fleet(plan, &limits).await?;
    let before = fleet.statuses().await;
    let mut callers = Vec::new();
    for (index, workspace) in ["depot", "installer", "audit", "verifier"]
        .into_iter()
        .enumerate()
    {
        for data_centre in 0..3 {
            let seed = options.seed * 1_000 + index as u64 * 10 + data_centre as u64;
            callers.push(steered_caller(&fleet, workspace, 37.0, data_centre, seed));
        }
    }
    let all_hosts: Vec<usize> = (0..12).collect();
    callers.push(fixed_caller(
        &fleet,
        "noisy",
        500.0,
        &all_hosts,
        options.seed * 1_000 + 90,
    ));
    let outcomes = run_callers(callers, LOAD_DURATION_MS).await;
    let mut report = TrialReport::default();
    let executed_requests = fleet.executed_requests().await?;
    add_ejection_figures(&fleet, &mut report, &[]).await;
    let limits_within_rate: LimitTable = limits
        .iter()
        .filter(|(name, _)| *name != "noisy")
        .map(|(name, limit)| (name.clone(), *limit))
        .collect();
    add_service_figures(
        &mut report,
        &outcomes,
        &executed_requests,
        &limits_within_rate,
    );
    let share = report.value("worst_served_share").unwrap_or(0.0);
    report.check_target(
        share >= MIN_SERVED_SHARE_PERCENT,
        format!(
            "the worst-served workspace got {share:.1}% of the best-served, wanted {MIN_SERVED_SHARE_PERCENT}%"
        ),
    );
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Lists an instance as leaving; it must get no new requests from 3 s after the list shows it.
pub async fn run_leaving(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let (mut fleet, limits) = start_gray_fleet(&options, gray_plan()).await?;
    let before = fleet.statuses().await;
    let callers = gray_callers(&fleet, options.seed);
    let address = fleet.plan.instances[FAULTY_INSTANCE].address;
    let listing_change = async {
        sleep(Duration::from_millis(WARM_UP_MS)).await;
        fleet.plan.instances[FAULTY_INSTANCE].is_leaving = true;
        fleet.publish_host_list().await?;
        Ok::<ClockTime, TrialError>(ClockTime::now().plus(HOST_LIST_DELAY_MS))
    };
    let (outcomes, shown_at) = join(run_callers(callers, LOAD_DURATION_MS), listing_change).await;
    let shown_at = shown_at?;
    let mut report = TrialReport::default();
    let executed_requests = fleet.executed_requests().await?;
    let last_started_at = executed_requests
        .iter()
        .filter(|entry| entry.instance == address)
        .map(|entry| entry.started_at_ms)
        .max()
        .unwrap_or(0);
    let last_after_ms = last_started_at.saturating_sub(shown_at.as_millis());
    report.add_figure("last_work_after_shown", last_after_ms as f64, "ms");
    report.check_target(
        last_after_ms <= MAX_WORK_AFTER_LEAVING_MS,
        "a leaving instance got new requests after 3 s",
    );
    let unserved = outcomes
        .iter()
        .filter(|outcome| !outcome.is_completed())
        .count();
    let lost = outcomes.iter().filter(|outcome| outcome.is_lost()).count();
    report.require(
        lost == 0,
        "a request got a truncated response or none while an instance left",
    );
    report.check_target(
        unserved == 0,
        "a request got no complete response while an instance left",
    );
    add_ejection_figures(&fleet, &mut report, &[]).await;
    add_service_figures(&mut report, &outcomes, &executed_requests, &limits);
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Sends bookings, which are not idempotent, while instances and hosts fail in many ways.
///
/// Each booking must be executed at most once.
pub async fn run_booking_faults(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let limits = gray_limits();
    let mut plan = FleetPlan::new(12, 10, 3, 24);
    plan.policy = options.policy.clone();
    let mut fleet = start_fleet(plan, &limits).await?;
    fleet
        .change(WireChange::SetDefault {
            setting: "deadline-ms".into(),
            value: 1_500,
        })
        .await?;
    let before = fleet.statuses().await;
    let callers: Vec<CallerPlan> = gray_callers(&fleet, options.seed)
        .into_iter()
        .map(|caller| CallerPlan {
            method: "POST",
            ..caller
        })
        .collect();
    let faults = inject_booking_faults(&mut fleet);
    let (outcomes, fault_result) = join(run_callers(callers, 14_000), faults).await;
    fault_result?;
    let mut report = TrialReport::default();
    let executed_requests = fleet.executed_requests().await?;
    add_service_figures(&mut report, &outcomes, &executed_requests, &limits);
    let extra = report.value("extra_attempts").unwrap_or(0.0);
    report.require(extra == 0.0, "a booking was executed more than once");
    let wrongful = wrongful_percent(&outcomes, "depot", limits["depot"]);
    report.add_figure("wrongful_depot", wrongful, "%");
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Sets a different fault on each of five instances, then suspends, cuts off, kills and
/// stops hosts.
async fn inject_booking_faults(fleet: &mut TrialFleet) -> Result<(), TrialError> {
    let faults = [
        InstanceFaults {
            hangs: true,
            ..InstanceFaults::default()
        },
        InstanceFaults {
            truncates_responses: true,
            ..InstanceFaults::default()
        },
        InstanceFaults {
            changes_attempt_id: true,
            ..InstanceFaults::default()
        },
        InstanceFaults {
            error_percent: 30,
            ..InstanceFaults::default()
        },
        InstanceFaults {
            slow_factor: 200,
            ..InstanceFaults::default()
        },
    ];
    sleep(Duration::from_millis(1_500)).await;
    for (index, fault) in faults.into_iter().enumerate() {
        fleet
            .set_instance_faults(fleet.plan.instances[index].address, fault)
            .await?;
    }
    sleep(Duration::from_millis(1_500)).await;
    fleet.freeze_host(2);
    let rule = CutRule {
        from: fleet.plan.ips_in(0),
        to: fleet.plan.ips_outside(0),
    };
    fleet.set_cut_rules(vec![rule]).await?;
    sleep(Duration::from_millis(3_000)).await;
    fleet.resume_host(2);
    fleet.kill_host(4);
    fleet.set_cut_rules(Vec::new()).await?;
    sleep(Duration::from_millis(2_000)).await;
    fleet.stop_host(7).await?;
    Ok(())
}
