//! Scenarios of gray failures: instances that are slow, or fail for a part of their requests.
//!
//! Four workspaces send requests from every data centre. The faults are set
//! after a warm-up, so that hosts know how healthy instances behave.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join;

use crocushoist_standin::CutRule;
use crocushoist_standin::ExecutedRequest;
use crocushoist_standin::InstanceFaults;
use crocushoist_state::ClockTime;

use crate::fleet_plan::FleetPlan;
use crate::promise_check::LimitTable;
use crate::scenario_catalogue::TrialOptions;
use crate::service_figures::add_service_figures;
use crate::trial_caller::CallerPlan;
use crate::trial_caller::run_callers;
use crate::trial_error::TrialError;
use crate::trial_fleet::TrialFleet;
use crate::trial_report::TrialReport;
use crate::trial_setup::check_and_measure;
use crate::trial_setup::limit_table;
use crate::trial_setup::start_fleet;
use crate::trial_setup::steered_caller;

const HOSTS: usize = 40;
const INSTANCES: usize = 20;
/// Time under load before faults are set.
pub(crate) const WARM_UP_MS: u64 = 3_500;
pub(crate) const LOAD_DURATION_MS: u64 = 13_000;
/// Target for the time until an instance that hangs or sends broken responses gets no more
/// requests.
const MAX_HARD_FAULT_DETECTION_MS: u64 = 1_000;
/// Target for the time until a slow instance gets no more requests.
const MAX_SLOW_FAULT_DETECTION_MS: u64 = 3_000;
const MAX_EXTRA_ATTEMPTS_PERCENT: f64 = 10.0;
/// Multiple of an instance's usual gap between requests from which it counts as out of use.
const QUIET_GAP_FACTOR: f64 = 8.0;
/// Index of the instance that is given a fault.
pub(crate) const FAULTY_INSTANCE: usize = 4;

pub(crate) fn gray_limits() -> LimitTable {
    limit_table(&[
        ("depot", 300, 150),
        ("installer", 300, 150),
        ("audit", 120, 60),
        ("verifier", 60, 40),
    ])
}

pub(crate) fn gray_callers(fleet: &TrialFleet, seed: u64) -> Vec<CallerPlan> {
    let mut callers = Vec::new();
    for data_centre in 0..3 {
        for (index, (workspace, rate)) in [
            ("depot", 65.0),
            ("installer", 65.0),
            ("audit", 25.0),
            ("verifier", 10.0),
        ]
        .into_iter()
        .enumerate()
        {
            let seed = seed * 1_000 + data_centre as u64 * 10 + index as u64;
            callers.push(steered_caller(fleet, workspace, rate, data_centre, seed));
        }
    }
    callers
}

/// Which instances are faulty, and how soon hosts must stop using them.
struct ExpectedDetection {
    /// Indexes of the faulty instances.
    faulty_instances: Vec<usize>,
    /// Target in milliseconds for the time until they get no more requests, if there is one.
    max_detection_ms: Option<u64>,
}

pub(crate) async fn start_gray_fleet(
    options: &TrialOptions,
    plan: FleetPlan,
) -> Result<(TrialFleet, LimitTable), TrialError> {
    let limits = gray_limits();
    let plan = FleetPlan {
        policy: options.policy.clone(),
        ..plan
    };
    Ok((start_fleet(plan, &limits).await?, limits))
}

pub(crate) fn gray_plan() -> FleetPlan {
    FleetPlan::new(HOSTS, INSTANCES, 3, HOSTS as u32)
}

/// Sets the faults after a warm-up, under load, and adds the figures of all gray failures.
async fn run_with_faults(
    options: TrialOptions,
    faults: Vec<(usize, InstanceFaults)>,
    expected: ExpectedDetection,
) -> Result<TrialReport, TrialError> {
    let (fleet, limits) = start_gray_fleet(&options, gray_plan()).await?;
    let before = fleet.statuses().await;
    let callers = gray_callers(&fleet, options.seed);
    let fault_changes = async {
        sleep(Duration::from_millis(WARM_UP_MS)).await;
        for (instance, fault) in faults {
            fleet
                .set_instance_faults(fleet.plan.instances[instance].address, fault)
                .await?;
        }
        Ok::<ClockTime, TrialError>(ClockTime::now())
    };
    let (outcomes, faulted_at) = join(run_callers(callers, LOAD_DURATION_MS), fault_changes).await;
    let faulted_at = faulted_at?;
    let mut report = TrialReport::default();
    let executed_requests = fleet.executed_requests().await?;
    add_detection_figure(
        &fleet,
        &mut report,
        &executed_requests,
        &expected,
        faulted_at,
    );
    add_ejection_figures(&fleet, &mut report, &expected.faulty_instances).await;
    add_service_figures(&mut report, &outcomes, &executed_requests, &limits);
    require_attempts_within_budget(&mut report);
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// Adds the longest time until a faulty instance got no more requests.
///
/// An instance counts as out of use from the first gap between its requests that
/// is longer than `QUIET_GAP_FACTOR` times its usual gap during the warm-up.
fn add_detection_figure(
    fleet: &TrialFleet,
    report: &mut TrialReport,
    executed_requests: &[ExecutedRequest],
    expected: &ExpectedDetection,
    faulted_at: ClockTime,
) {
    let mut longest_ms: f64 = 0.0;
    for index in &expected.faulty_instances {
        let address = fleet.plan.instances[*index].address;
        let mut starts: Vec<u64> = executed_requests
            .iter()
            .filter(|entry| entry.instance == address)
            .map(|entry| entry.started_at_ms)
            .collect();
        starts.sort_unstable();
        let warm_up_count = starts
            .iter()
            .filter(|at| **at < faulted_at.as_millis())
            .count()
            .max(1);
        let usual_gap_ms = WARM_UP_MS as f64 / warm_up_count as f64;
        let fault_starts: Vec<u64> = starts
            .into_iter()
            .filter(|at| *at >= faulted_at.as_millis())
            .collect();
        let quiet_from = fault_starts
            .windows(2)
            .find(|pair| (pair[1] - pair[0]) as f64 > usual_gap_ms * QUIET_GAP_FACTOR)
            .map(|pair| pair[0])
            .or(fault_starts.last().copied())
            .unwrap_or(faulted_at.as_millis());
        longest_ms = longest_ms.max(quiet_from.saturating_sub(faulted_at.as_millis()) as f64);
    }
    if expected.faulty_instances.is_empty() {
        return;
    }
    report.add_figure("time_to_detect", longest_ms, "ms");
    if let Some(target) = expected.max_detection_ms {
        report.check_target(
            longest_ms <= target as f64,
            format!("a faulty instance got requests for {longest_ms} ms, allowed {target} ms"),
        );
    }
}

/// Adds the counts of ejections of faulty and of healthy instances; the latter shall be none.
pub(crate) async fn add_ejection_figures(
    fleet: &TrialFleet,
    report: &mut TrialReport,
    faulty: &[usize],
) {
    let faulty: HashSet<SocketAddr> = faulty
        .iter()
        .map(|index| fleet.plan.instances[*index].listed_address)
        .collect();
    let mut faulty_ejections = 0;
    let mut false_ejections: HashMap<SocketAddr, String> = HashMap::new();
    for status in fleet.statuses().await {
        for ejection in status.ejections {
            if faulty.contains(&ejection.address) {
                faulty_ejections += ejection.count;
            } else {
                false_ejections.insert(ejection.address, ejection.reason.to_string());
            }
        }
    }
    report.add_figure("ejections", faulty_ejections as f64, "of faulty instances");
    report.add_figure("false_ejections", false_ejections.len() as f64, "instances");
    report.check_target(
        false_ejections.is_empty(),
        format!("healthy instances were ejected: {false_ejections:?}"),
    );
}

fn require_attempts_within_budget(report: &mut TrialReport) {
    let extra = report.value("extra_attempts").unwrap_or(0.0);
    report.require(
        extra < MAX_EXTRA_ATTEMPTS_PERCENT,
        format!("{extra:.1}% extra attempts, allowed {MAX_EXTRA_ATTEMPTS_PERCENT}%"),
    );
}

/// One instance takes five times as long.
pub async fn run_slow_one(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let fault = InstanceFaults {
        slow_factor: 5,
        ..InstanceFaults::default()
    };
    let expected = ExpectedDetection {
        faulty_instances: vec![FAULTY_INSTANCE],
        max_detection_ms: Some(MAX_SLOW_FAULT_DETECTION_MS),
    };
    run_with_faults(options, vec![(FAULTY_INSTANCE, fault)], expected).await
}

/// One instance takes ten times as long for a fifth of its requests.
pub async fn run_slow_some(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let fault = InstanceFaults {
        slow_factor: 10,
        slow_percent: 20,
        ..InstanceFaults::default()
    };
    let expected = ExpectedDetection {
        faulty_instances: vec![FAULTY_INSTANCE],
        max_detection_ms: None,
    };
    run_with_faults(options, vec![(FAULTY_INSTANCE, fault)], expected).await
}

/// One instance fails for a third of its requests.
pub async fn run_error_part(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let fault = InstanceFaults {
        error_percent: 33,
        ..InstanceFaults::default()
    };
    let expected = ExpectedDetection {
        faulty_instances: vec![FAULTY_INSTANCE],
        max_detection_ms: None,
    };
    run_with_faults(options, vec![(FAULTY_INSTANCE, fault)], expected).await
}

/// One instance hangs after it accepted a request.
pub async fn run_hang(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let fault = InstanceFaults {
        hangs: true,
        ..InstanceFaults::default()
    };
    let expected = ExpectedDetection {
        faulty_instances: vec![FAULTY_INSTANCE],
        max_detection_ms: Some(MAX_HARD_FAULT_DETECTION_MS),
    };
    run_with_faults(options, vec![(FAULTY_INSTANCE, fault)], expected).await
}

/// One instance truncates its responses, and another changes their attempt IDs.
pub async fn run_wrong_answer(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let truncating = InstanceFaults {
        truncates_responses: true,
        ..InstanceFaults::default()
    };
    let changing_ids = InstanceFaults {
        changes_attempt_id: true,
        ..InstanceFaults::default()
    };
    let expected = ExpectedDetection {
        faulty_instances: vec![FAULTY_INSTANCE, FAULTY_INSTANCE + 1],
        max_detection_ms: Some(MAX_HARD_FAULT_DETECTION_MS),
    };
    run_with_faults(
        options,
        vec![
            (FAULTY_INSTANCE, truncating),
            (FAULTY_INSTANCE + 1, changing_ids),
        ],
        expected,
    )
    .await
}

/// Three instances respond late and then truncate the response.
///
/// Little time is left for a second attempt. However that one ends, a refusal must
/// not state that the request was not executed, as the first attempt executed it.
pub async fn run_late_failure(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let fault = InstanceFaults {
        slow_factor: 200,
        truncates_responses: true,
        ..InstanceFaults::default()
    };
    let faulty = vec![FAULTY_INSTANCE, FAULTY_INSTANCE + 1, FAULTY_INSTANCE + 2];
    let faults = faulty.iter().map(|instance| (*instance, fault)).collect();
    let expected = ExpectedDetection {
        faulty_instances: faulty,
        max_detection_ms: None,
    };
    run_with_faults(options, faults, expected).await
}

/// Every instance takes five times as long; none may be ejected.
pub async fn run_all_slow(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let fault = InstanceFaults {
        slow_factor: 5,
        ..InstanceFaults::default()
    };
    let expected = ExpectedDetection {
        faulty_instances: Vec::new(),
        max_detection_ms: None,
    };
    let faults = (0..INSTANCES).map(|instance| (instance, fault)).collect();
    run_with_faults(options, faults, expected).await
}

/// One instance fails for two seconds in every five.
pub async fn run_flap(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let (fleet, limits) = start_gray_fleet(&options, gray_plan()).await?;
    let before = fleet.statuses().await;
    let callers = gray_callers(&fleet, options.seed);
    let address = fleet.plan.instances[FAULTY_INSTANCE].address;
    let failing = InstanceFaults {
        error_percent: 100,
        ..InstanceFaults::default()
    };
    let fault_changes = async {
        for _ in 0..4 {
            sleep(Duration::from_millis(3_000)).await;
            fleet.set_instance_faults(address, failing).await?;
            sleep(Duration::from_millis(2_000)).await;
            fleet
                .set_instance_faults(address, InstanceFaults::default())
                .await?;
        }
        Ok::<(), TrialError>(())
    };
    let (outcomes, fault_result) = join(run_callers(callers, 20_000), fault_changes).await;
    fault_result?;
    let mut report = TrialReport::default();
    let executed_requests = fleet.executed_requests().await?;
    add_ejection_figures(&fleet, &mut report, &[FAULTY_INSTANCE]).await;
    add_service_figures(&mut report, &outcomes, &executed_requests, &limits);
    require_attempts_within_budget(&mut report);
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

/// One data centre cannot reach one instance; the other data centres must go on using it.
pub async fn run_path_cut(options: TrialOptions) -> Result<TrialReport, TrialError> {
    let mut plan = gray_plan();
    plan.relay_instance(FAULTY_INSTANCE);
    let (fleet, limits) = start_gray_fleet(&options, plan).await?;
    let before = fleet.statuses().await;
    let callers = gray_callers(&fleet, options.seed);
    let fault_changes = async {
        sleep(Duration::from_millis(WARM_UP_MS)).await;
        let rule = CutRule {
            from: fleet.plan.ips_in(0),
            to: vec![fleet.plan.instances[FAULTY_INSTANCE].listed_address.ip()],
        };
        fleet.set_cut_rules(vec![rule]).await?;
        Ok::<ClockTime, TrialError>(ClockTime::now())
    };
    let (outcomes, cut_at) = join(run_callers(callers, LOAD_DURATION_MS), fault_changes).await;
    let cut_at = cut_at?.as_millis();
    let mut report = TrialReport::default();
    let executed_requests = fleet.executed_requests().await?;
    let address = fleet.plan.instances[FAULTY_INSTANCE].address;
    let executed_after_cut = executed_requests
        .iter()
        .filter(|entry| entry.instance == address && entry.started_at_ms > cut_at + 4_000)
        .count();
    report.add_figure(
        "served_by_the_cut_instance_elsewhere",
        executed_after_cut as f64,
        "requests",
    );
    add_ejection_figures(&fleet, &mut report, &[]).await;
    add_service_figures(&mut report, &outcomes, &executed_requests, &limits);
    require_attempts_within_budget(&mut report);
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}
