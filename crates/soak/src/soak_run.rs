//! Runs one seed: starts the fleet and its load, injects the planned faults,
//! waits until the fleet has recovered and checks the promises.
//!
//! Every fault is a task of its own, so that faults overlap as planned. A fault
//! that kills, stops or pauses a host records the outage, which excuses the
//! host for some missing responses.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;

use crocushoist_platform_standin::InstanceFault;

use crate::BrokenPromise;
use crate::CallOutcome;
use crate::FaultKind;
use crate::PlannedFault;
use crate::SoakError;
use crate::SoakMode;
use crate::SoakPlan;
use crate::SoakSize;
use crate::caller_load::run_caller;
use crate::check_promises;
use crate::drill_faults::hold_instances;
use crate::drill_faults::leave_instances;
use crate::drill_faults::restore_store;
use crate::lasting_callers::run_lasting_caller;
use crate::need_faults::limit_instances;
use crate::path_faults::cut_hosts;
use crate::path_faults::send_without_end;
use crate::promise_check::LIMITED_WORKSPACE;
use crate::promise_check::RECOVERY_MS;
use crate::promise_check::RECOVERY_WINDOW_MS;
use crate::series_faults::inject_series_fault;
use crate::soak_fleet::REVOCABLE_WORKSPACE;
use crate::soak_fleet::SoakFleet;
use crate::stop_check::GRACE_MS;
use crocushoist_platform_standin::LinkState;

/// Milliseconds between checks whether a stopping host has exited.
const EXIT_POLL_MS: u64 = 20;

/// Milliseconds between two configuration versions of `ConfigStorm`.
const CONFIG_STORM_INTERVAL_MS: u64 = 120;

/// Milliseconds by which a slow instance delays each response.
const SLOW_INSTANCE_MS: u64 = 700;

/// Milliseconds by which a delayed link delays bytes.
const LINK_DELAY_MS: u64 = 150;

/// Share of served calls at which the wait for recovery ends early.
const FULL_RECOVERY_SHARE: f64 = 0.95;

/// Milliseconds in which calls in flight may end; longer than a caller's timeout.
const DRAIN_MS: u64 = 2_500;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Faults of the run.
    pub plan: SoakPlan,
    /// Numbers of calls sent, of calls served with status 200, and of executions by instances.
    pub counts: (usize, usize, usize),
    /// Numbers of responses that said that an instance leaves, or that it wants no requests.
    pub notice_counts: (usize, usize),
    /// Promises that were broken; empty if all were kept.
    pub broken: Vec<BrokenPromise>,
}

/// Runs `seed` in the loopback network 127.`net`.0.0/16.
///
/// If a promise is broken, copies the hosts' files to a folder in `logs`. Fails
/// if the fleet does not start or a host process cannot be controlled.
pub async fn run_seed(
    seed: u64,
    mode: SoakMode,
    size: SoakSize,
    net: u8,
    logs: &Path,
) -> Result<SoakReport, SoakError> {
    let plan = match mode {
        SoakMode::Single => SoakPlan::draw(seed, size),
        SoakMode::Series => SoakPlan::draw_series(seed, size),
        SoakMode::Drill => SoakPlan::draw_drill(seed, size),
        SoakMode::Paths => SoakPlan::draw_paths(seed, size),
        SoakMode::Needs => SoakPlan::draw_needs(seed, size),
    };
    let fleet = SoakFleet::start(net, mode, size).await?;
    compio::runtime::spawn(Rc::clone(&fleet).watch_hosts()).detach();
    for host in 0..size.hosts {
        compio::runtime::spawn(Rc::clone(&fleet).probe_host(host)).detach();
    }
    for caller_index in 0..size.callers {
        let fleet = Rc::clone(&fleet);
        match mode {
            SoakMode::Single => compio::runtime::spawn(run_caller(fleet, seed, caller_index)),
            SoakMode::Series | SoakMode::Drill | SoakMode::Paths | SoakMode::Needs => {
                compio::runtime::spawn(run_lasting_caller(fleet, seed, caller_index))
            }
        }
        .detach();
    }
    let load_start_ms = fleet.now_ms();
    let fault_tasks: Vec<_> = plan
        .faults
        .iter()
        .map(|fault| compio::runtime::spawn(inject_fault(Rc::clone(&fleet), *fault, load_start_ms)))
        .collect();
    for fault_task in fault_tasks {
        match fault_task.await {
            Ok(injected) => injected?,
            Err(_) => eprintln!("the task of a fault ended without a result"),
        }
    }
    wait_for_recovery(&fleet).await;
    fleet.is_over.set(true);
    sleep(Duration::from_millis(DRAIN_MS)).await;
    fleet.collect_executions();
    let history = fleet.history.borrow();
    let served = history.calls.iter().filter(|call| is_served(&call.outcome));
    let departures = history
        .calls
        .iter()
        .filter(|call| call.leaving_instance.is_some());
    let report = SoakReport {
        seed,
        plan,
        counts: (
            history.calls.len(),
            served.count(),
            history.executions.len(),
        ),
        notice_counts: (departures.count(), history.holds.len()),
        broken: check_promises(&history),
    };
    if !report.broken.is_empty() {
        let name = match mode {
            SoakMode::Single => format!("seed-{seed}"),
            SoakMode::Series => format!("series-{seed}"),
            SoakMode::Drill => format!("drill-{seed}"),
            SoakMode::Paths => format!("paths-{seed}"),
            SoakMode::Needs => format!("needs-{seed}"),
        };
        fleet.copy_host_files(&logs.join(name))?;
    }
    Ok(report)
}

fn is_served(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Responded { status: 200, .. })
}

/// Waits until nearly all calls of a window are served, or until the time for recovery is over.
///
/// Records the start of the last window. Calls of the limited workspace and with
/// the revoked key are left out, as hosts may refuse them.
async fn wait_for_recovery(fleet: &SoakFleet) {
    let faults_end_ms = fleet.now_ms();
    loop {
        let window_start_ms = fleet.now_ms();
        sleep(Duration::from_millis(RECOVERY_WINDOW_MS)).await;
        let mut history = fleet.history.borrow_mut();
        history.recovery_from_ms = window_start_ms;
        let revoked = history.revoked_key.map(|(workspace, _)| workspace);
        let window_calls = history.calls.iter().filter(|call| {
            let must_be_served =
                call.workspace != LIMITED_WORKSPACE && Some(call.workspace) != revoked;
            must_be_served && call.sent_ms >= window_start_ms
        });
        let (mut count, mut served) = (0, 0);
        for call in window_calls {
            count += 1;
            served += usize::from(is_served(&call.outcome));
        }
        let has_recovered = count > 0 && served as f64 >= f64::from(count) * FULL_RECOVERY_SHARE;
        if has_recovered || window_start_ms > faults_end_ms + RECOVERY_MS {
            return;
        }
    }
}

/// Waits for the start of a fault, injects it, and ends it after its duration.
async fn inject_fault(
    fleet: Rc<SoakFleet>,
    fault: PlannedFault,
    load_start_ms: u64,
) -> Result<(), SoakError> {
    sleep_until(&fleet, load_start_ms + fault.start_ms).await;
    let end_ms = fleet.now_ms() + fault.duration_ms;
    match fault.kind {
        FaultKind::HostKilled(host) => kill_hosts(&fleet, &[host], end_ms).await?,
        FaultKind::AllKilled => {
            let all_hosts: Vec<usize> = (0..fleet.size.hosts).collect();
            kill_hosts(&fleet, &all_hosts, end_ms).await?;
        }
        FaultKind::HostPaused(host) => pause_host(&fleet, host, end_ms).await?,
        FaultKind::HostStopped(host) => stop_host(&fleet, host, end_ms).await?,
        FaultKind::HostReloaded(host) => {
            fleet.hosts[host].process.borrow_mut().request_reload()?;
        }
        FaultKind::StoreLink(host, choice) => {
            let store_link = &fleet.store_links[host];
            store_link.state.set(link_state(choice));
            sleep_until(&fleet, end_ms).await;
            store_link.state.set(LinkState::Open);
        }
        FaultKind::StoreDown => {
            fleet.store.set_unavailable(true);
            sleep_until(&fleet, end_ms).await;
            fleet.store.set_unavailable(false);
        }
        FaultKind::StoreSlow(delay_ms) => {
            fleet.store.set_delay_ms(delay_ms);
            sleep_until(&fleet, end_ms).await;
            fleet.store.set_delay_ms(0);
        }
        FaultKind::StoreLosesAnswers => {
            fleet.store.set_withholds_responses(true);
            sleep_until(&fleet, end_ms).await;
            fleet.store.set_withholds_responses(false);
        }
        FaultKind::StoreForgets => {
            fleet.store.discard_history();
        }
        FaultKind::InstanceLink(instance, choice) => {
            let instance_link = &fleet.instance_links[instance];
            let start_ms = fleet.now_ms();
            instance_link.state.set(link_state(choice));
            sleep_until(&fleet, end_ms).await;
            instance_link.state.set(LinkState::Open);
            let cut = (instance, start_ms..fleet.now_ms());
            let mut history = fleet.history.borrow_mut();
            match link_state(choice) {
                LinkState::Closed => {
                    history.instance_cuts.push(cut.clone());
                    history.instance_silences.push(cut);
                }
                LinkState::Stalled | LinkState::OneWay => history.instance_silences.push(cut),
                LinkState::Open
                | LinkState::Delayed(_)
                | LinkState::Endless(_)
                | LinkState::CutAfter(_)
                | LinkState::EarlierRefusal(_)
                | LinkState::EarlyEnd(_)
                | LinkState::WithoutLength
                | LinkState::OddHead(_) => {}
            }
        }
        FaultKind::InstanceFault(instance, choice) => {
            let instance = &fleet.instances[instance];
            instance.fault.set(instance_fault(choice));
            sleep_until(&fleet, end_ms).await;
            instance.fault.set(InstanceFault::Healthy);
        }
        FaultKind::HotWorkspace => {
            fleet.is_workspace_hot.set(true);
            sleep_until(&fleet, end_ms).await;
            fleet.is_workspace_hot.set(false);
        }
        FaultKind::ConfigStorm => {
            while fleet.now_ms() < end_ms {
                fleet.write_unrevoked_config();
                sleep(Duration::from_millis(CONFIG_STORM_INTERVAL_MS)).await;
            }
        }
        FaultKind::KeyWithdrawn => {
            fleet.write_next_config(false);
            let now_ms = fleet.now_ms();
            let mut history = fleet.history.borrow_mut();
            history
                .revoked_key
                .get_or_insert((REVOCABLE_WORKSPACE, now_ms));
        }
        FaultKind::InstancesLeave(seed) => leave_instances(&fleet, seed, end_ms).await,
        FaultKind::InstancesHold(seed) => hold_instances(&fleet, seed, end_ms).await,
        FaultKind::StoreRestored(away_ms, age_ms) => {
            restore_store(&fleet, away_ms, age_ms).await;
        }
        FaultKind::InstancesLimited(seed) => limit_instances(&fleet, seed, end_ms).await,
        FaultKind::HostsCut(seed, choice) => cut_hosts(&fleet, seed, choice, end_ms).await?,
        FaultKind::InstancesEndless(seed, choice) => {
            send_without_end(&fleet, seed, choice, end_ms).await;
        }
        series_fault => inject_series_fault(&fleet, series_fault, end_ms).await?,
    }
    Ok(())
}

/// Kills `hosts` and restarts them at `end_ms`, or at once if that is over.
pub(crate) async fn kill_hosts(
    fleet: &SoakFleet,
    hosts: &[usize],
    end_ms: u64,
) -> Result<(), SoakError> {
    let start_ms = fleet.now_ms();
    for host in hosts {
        begin_downtime(fleet, *host);
        // A process that had ended before stopped as planned.
        fleet.record_stop(*host);
        fleet.hosts[*host].process.borrow_mut().kill()?;
        fleet.record_stop(*host);
    }
    sleep_until(fleet, end_ms).await;
    for host in hosts {
        fleet.record_outage(*host, start_ms);
        end_downtime(fleet, *host)?;
    }
    Ok(())
}

/// Pauses a host until `end_ms`.
pub(crate) async fn pause_host(
    fleet: &SoakFleet,
    host: usize,
    end_ms: u64,
) -> Result<(), SoakError> {
    let start_ms = fleet.now_ms();
    fleet.hosts[host].process.borrow_mut().pause()?;
    sleep_until(fleet, end_ms).await;
    fleet.hosts[host].process.borrow_mut().resume()?;
    fleet.record_outage(host, start_ms);
    Ok(())
}

/// Asks a host to stop, kills it after the grace period, and restarts it at `end_ms` or later.
pub(crate) async fn stop_host(
    fleet: &SoakFleet,
    host: usize,
    end_ms: u64,
) -> Result<(), SoakError> {
    begin_downtime(fleet, host);
    fleet.request_stop(host)?;
    while !fleet.hosts[host].process.borrow_mut().has_ended() {
        let asked_ms = fleet.hosts[host].stop_asked_ms.get();
        if asked_ms.is_some_and(|asked_ms| fleet.now_ms() > asked_ms + GRACE_MS) {
            fleet.hosts[host].process.borrow_mut().kill()?;
            break;
        }
        sleep(Duration::from_millis(EXIT_POLL_MS)).await;
    }
    fleet.record_stop(host);
    sleep_until(fleet, end_ms).await;
    end_downtime(fleet, host)
}

/// Marks a host as down on purpose, so that its exit is not recorded as unexpected.
fn begin_downtime(fleet: &SoakFleet, host: usize) {
    let down_count = &fleet.hosts[host].down_count;
    down_count.set(down_count.get() + 1);
}

/// Restarts a host, unless another fault still keeps it down or it runs already.
fn end_downtime(fleet: &SoakFleet, host: usize) -> Result<(), SoakError> {
    let down_count = &fleet.hosts[host].down_count;
    down_count.set(down_count.get() - 1);
    let has_ended = fleet.hosts[host].process.borrow_mut().has_ended();
    if down_count.get() == 0 && has_ended {
        fleet.restart_host(host)?;
    }
    Ok(())
}

/// Link state for the number that a `StoreLink` or `InstanceLink` fault carries.
fn link_state(choice: u8) -> LinkState {
    match choice {
        0 => LinkState::Closed,
        1 => LinkState::Stalled,
        2 => LinkState::OneWay,
        _ => LinkState::Delayed(LINK_DELAY_MS),
    }
}

/// Instance fault for the number that an `InstanceFault` carries.
pub(crate) fn instance_fault(choice: u8) -> InstanceFault {
    match choice {
        0 => InstanceFault::Failing,
        1 => InstanceFault::Hanging,
        2 => InstanceFault::Shedding,
        3 => InstanceFault::Slow(SLOW_INSTANCE_MS),
        _ => InstanceFault::WrongAttempt,
    }
}

/// Sleeps until the fleet's clock, `SoakFleet::now_ms`, reads `time_ms`.
pub(crate) async fn sleep_until(fleet: &SoakFleet, time_ms: u64) {
    let remaining_ms = time_ms.saturating_sub(fleet.now_ms());
    sleep(Duration::from_millis(remaining_ms)).await;
}
