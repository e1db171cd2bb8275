//! Runs one seed: callers, troubles, recovery, verdict.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;

use crocushoist_platform_standin::InstanceFault;

use crate::BrokenPromise;
use crate::CallEnd;
use crate::PlannedTrouble;
use crate::SoakError;
use crate::SoakPlan;
use crate::SoakSize;
use crate::TroubleKind;
use crate::caller_load::run_caller;
use crate::check_promises;
use crate::link_proxy::LinkState;
use crate::promise_check::LAST_MS;
use crate::promise_check::LIMITED;
use crate::promise_check::RECOVERY_MS;
use crate::soak_fleet::SoakFleet;
use crate::soak_fleet::WITHDRAWN;

/// Milliseconds that a host which was asked to stop may take; its grace is 6 s.
const STOP_MS: u64 = 7_000;

/// Milliseconds between looks at a host that stops, and at the recovery.
const LOOK_EVERY_MS: u64 = 100;

/// Milliseconds between the versions of a storm.
const STORM_EVERY_MS: u64 = 120;

/// Milliseconds by which a slow instance or a delayed link is late.
const SLOW_MS: u64 = 700;
const DELAY_MS: u64 = 150;

/// Share of the last calls that are served in a fleet that has recovered early.
const CALM_SHARE: f64 = 0.95;

/// Milliseconds for calls under way to end.
const DRAIN_MS: u64 = 2_500;

/// What came of a run.
#[derive(Clone, Debug)]
pub struct SoakVerdict {
    /// Seed.
    pub seed: u64,
    /// The troubles.
    pub plan: SoakPlan,
    /// Calls, calls that were served, and runs.
    pub counts: (usize, usize, usize),
    /// Promises that were broken.
    pub broken: Vec<BrokenPromise>,
}

/// Runs `seed` in the loopback net `net`; keeps the logs in `logs` if a promise is broken.
pub async fn run_seed(
    seed: u64,
    size: SoakSize,
    net: u8,
    logs: &Path,
) -> Result<SoakVerdict, SoakError> {
    let plan = SoakPlan::draw(seed, size);
    let fleet = SoakFleet::start(net, size).await?;
    compio::runtime::spawn(Rc::clone(&fleet).watch_hosts()).detach();
    for index in 0..size.callers {
        compio::runtime::spawn(run_caller(Rc::clone(&fleet), seed, index)).detach();
    }
    let began_ms = fleet.now_ms();
    let troubles: Vec<_> = plan
        .troubles
        .iter()
        .map(|trouble| compio::runtime::spawn(play(Rc::clone(&fleet), *trouble, began_ms)))
        .collect();
    for trouble in troubles {
        match trouble.await {
            Ok(outcome) => outcome?,
            Err(_) => eprintln!("a trouble ended early"),
        }
    }
    wait_for_recovery(&fleet).await;
    fleet.is_over.set(true);
    sleep(Duration::from_millis(DRAIN_MS)).await;
    fleet.collect_runs();
    let ledger = fleet.ledger.borrow();
    let served = ledger.calls.iter().filter(|call| is_served(&call.end));
    let verdict = SoakVerdict {
        seed,
        plan,
        counts: (ledger.calls.len(), served.count(), ledger.ran.len()),
        broken: check_promises(&ledger),
    };
    if !verdict.broken.is_empty() {
        fleet.keep_logs(&logs.join(format!("seed-{seed}")))?;
    }
    Ok(verdict)
}

fn is_served(end: &CallEnd) -> bool {
    matches!(end, CallEnd::Answered { status: 200, .. })
}

/// Waits until nearly all calls are served, for the time of recovery at most.
async fn wait_for_recovery(fleet: &SoakFleet) {
    let calm_ms = fleet.now_ms();
    loop {
        let from_ms = fleet.now_ms();
        sleep(Duration::from_millis(LAST_MS)).await;
        let mut ledger = fleet.ledger.borrow_mut();
        ledger.last_from_ms = from_ms;
        let withdrawn = ledger.withdrawn.map(|(workspace, _)| workspace);
        let last = ledger.calls.iter().filter(|call| {
            let is_owed = call.workspace != LIMITED && Some(call.workspace) != withdrawn;
            is_owed && call.sent_ms >= from_ms
        });
        let (mut count, mut served) = (0, 0);
        for call in last {
            count += 1;
            served += usize::from(is_served(&call.end));
        }
        let has_recovered = count > 0 && served as f64 >= f64::from(count) * CALM_SHARE;
        if has_recovered || from_ms > calm_ms + RECOVERY_MS {
            return;
        }
    }
}

/// Plays one trouble, from `began_ms` on.
async fn play(
    fleet: Rc<SoakFleet>,
    trouble: PlannedTrouble,
    began_ms: u64,
) -> Result<(), SoakError> {
    sleep_until(&fleet, began_ms + trouble.at_ms).await;
    let until_ms = fleet.now_ms() + trouble.for_ms;
    match trouble.kind {
        TroubleKind::HostKilled(host) => kill_hosts(&fleet, &[host], until_ms).await?,
        TroubleKind::AllKilled => {
            let all: Vec<usize> = (0..fleet.size.hosts).collect();
            kill_hosts(&fleet, &all, until_ms).await?;
        }
        TroubleKind::HostPaused(host) => pause_host(&fleet, host, until_ms).await?,
        TroubleKind::HostStopped(host) => stop_host(&fleet, host, until_ms).await?,
        TroubleKind::HostReloaded(host) => {
            fleet.hosts[host].process.borrow_mut().request_reload()?;
        }
        TroubleKind::StoreLink(host, way) => {
            let link = &fleet.store_links[host];
            link.state.set(link_state(way));
            sleep_until(&fleet, until_ms).await;
            link.state.set(LinkState::Open);
        }
        TroubleKind::StoreDown => {
            fleet.store.set_unavailable(true);
            sleep_until(&fleet, until_ms).await;
            fleet.store.set_unavailable(false);
        }
        TroubleKind::StoreSlow(millis) => {
            fleet.store.set_delay_ms(millis);
            sleep_until(&fleet, until_ms).await;
            fleet.store.set_delay_ms(0);
        }
        TroubleKind::StoreLosesAnswers => {
            fleet.store.set_withholds_responses(true);
            sleep_until(&fleet, until_ms).await;
            fleet.store.set_withholds_responses(false);
        }
        TroubleKind::StoreForgets => {
            fleet.store.discard_history();
        }
        TroubleKind::InstanceLink(instance, way) => {
            let link = &fleet.instance_links[instance];
            link.state.set(link_state(way));
            sleep_until(&fleet, until_ms).await;
            link.state.set(LinkState::Open);
        }
        TroubleKind::InstanceFault(instance, fault) => {
            let instance = &fleet.instances[instance];
            instance.fault.set(instance_fault(fault));
            sleep_until(&fleet, until_ms).await;
            instance.fault.set(InstanceFault::Healthy);
        }
        TroubleKind::HotWorkspace => {
            fleet.is_hot.set(true);
            sleep_until(&fleet, until_ms).await;
            fleet.is_hot.set(false);
        }
        TroubleKind::ConfigStorm => {
            while fleet.now_ms() < until_ms {
                let is_withdrawn = fleet.ledger.borrow().withdrawn.is_some();
                fleet.write_next_version(!is_withdrawn);
                sleep(Duration::from_millis(STORM_EVERY_MS)).await;
            }
        }
        TroubleKind::KeyWithdrawn => {
            fleet.write_next_version(false);
            let now_ms = fleet.now_ms();
            let mut ledger = fleet.ledger.borrow_mut();
            ledger.withdrawn.get_or_insert((WITHDRAWN, now_ms));
        }
    }
    Ok(())
}

async fn kill_hosts(fleet: &SoakFleet, hosts: &[usize], until_ms: u64) -> Result<(), SoakError> {
    let from_ms = fleet.now_ms();
    for host in hosts {
        hold_down(fleet, *host);
        fleet.hosts[*host].process.borrow_mut().kill()?;
    }
    sleep_until(fleet, until_ms).await;
    for host in hosts {
        fleet.excuse(*host, from_ms, false);
        bring_back(fleet, *host)?;
    }
    Ok(())
}

async fn pause_host(fleet: &SoakFleet, host: usize, until_ms: u64) -> Result<(), SoakError> {
    let from_ms = fleet.now_ms();
    fleet.hosts[host].process.borrow_mut().pause()?;
    sleep_until(fleet, until_ms).await;
    fleet.hosts[host].process.borrow_mut().resume()?;
    fleet.excuse(host, from_ms, false);
    Ok(())
}

async fn stop_host(fleet: &SoakFleet, host: usize, until_ms: u64) -> Result<(), SoakError> {
    let from_ms = fleet.now_ms();
    hold_down(fleet, host);
    fleet.hosts[host].process.borrow_mut().request_stop()?;
    while !fleet.hosts[host].process.borrow_mut().has_ended() {
        if fleet.now_ms() > from_ms + STOP_MS {
            fleet.hosts[host].process.borrow_mut().kill()?;
            break;
        }
        sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
    }
    sleep_until(fleet, until_ms).await;
    fleet.excuse(host, from_ms, true);
    bring_back(fleet, host)
}

fn hold_down(fleet: &SoakFleet, host: usize) {
    let held = &fleet.hosts[host].held_down;
    held.set(held.get() + 1);
}

/// Starts a host again, unless another trouble keeps it down or did so.
fn bring_back(fleet: &SoakFleet, host: usize) -> Result<(), SoakError> {
    let host = &fleet.hosts[host];
    host.held_down.set(host.held_down.get() - 1);
    let mut process = host.process.borrow_mut();
    if host.held_down.get() == 0 && process.has_ended() {
        process.restart()?;
    }
    Ok(())
}

fn link_state(way: u8) -> LinkState {
    match way {
        0 => LinkState::Reset,
        1 => LinkState::Silent,
        2 => LinkState::OneWay,
        _ => LinkState::Delayed(DELAY_MS),
    }
}

fn instance_fault(fault: u8) -> InstanceFault {
    match fault {
        0 => InstanceFault::Failing,
        1 => InstanceFault::Hanging,
        2 => InstanceFault::Shedding,
        3 => InstanceFault::Slow(SLOW_MS),
        _ => InstanceFault::WrongAttempt,
    }
}

async fn sleep_until(fleet: &SoakFleet, at_ms: u64) {
    let millis = at_ms.saturating_sub(fleet.now_ms());
    sleep(Duration::from_millis(millis)).await;
}
