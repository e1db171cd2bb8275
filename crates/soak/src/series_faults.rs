//! Faults of the series mode: signals, stops and restarts that follow each other and overlap.

use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_platform_standin::InstanceFault;

use crate::FaultKind;
use crate::SoakError;
use crate::soak_fleet::SoakFleet;
use crate::soak_run::instance_fault;
use crate::soak_run::kill_hosts;
use crate::soak_run::pause_host;
use crate::soak_run::sleep_until;
use crate::soak_run::stop_host;

/// Longest time in milliseconds between two signals to a stopping host.
const MAX_SIGNAL_GAP_MS: u64 = 700;

/// Milliseconds between two stops of whichever host runs longest.
const MIN_STOP_GAP_MS: u64 = 50;

/// Milliseconds for which instances go on failing after all hosts have restarted.
const FAULT_AFTER_RESTART_MS: u64 = 4_000;

/// Asks a host to read its settings again, if its process handles the signal already.
fn reload_host(fleet: &SoakFleet, host: usize) -> std::io::Result<()> {
    let mut process = fleet.hosts[host].process.borrow_mut();
    if process.handles_signals() {
        process.request_reload()?;
    }
    Ok(())
}

/// Injects a fault that only the series mode has; does nothing for any other.
pub(crate) async fn inject_series_fault(
    fleet: &Rc<SoakFleet>,
    kind: FaultKind,
    end_ms: u64,
) -> Result<(), SoakError> {
    match kind {
        FaultKind::StopSeries(host, gap_seed) => {
            let signals = compio::runtime::spawn(signal_until_exit(
                Rc::clone(fleet),
                host,
                u64::from(gap_seed),
            ));
            stop_host(fleet, host, end_ms).await?;
            // The series ends with the process, or at the latest with the grace period.
            let _ = signals.await;
        }
        FaultKind::ReloadSeries(host, max_gap_ms) => {
            let mut rng = ChaCha8Rng::seed_from_u64(max_gap_ms);
            while fleet.now_ms() < end_ms {
                reload_host(fleet, host)?;
                sleep(Duration::from_millis(rng.random_range(0..=max_gap_ms))).await;
            }
        }
        FaultKind::RollingStop(gap_ms) => {
            let mut stops = Vec::new();
            for host in 0..fleet.size.hosts {
                let fleet = Rc::clone(fleet);
                let stop = async move { stop_host(&fleet, host, 0).await };
                stops.push(compio::runtime::spawn(stop));
                sleep(Duration::from_millis(gap_ms)).await;
            }
            join_stops(stops).await?;
        }
        FaultKind::StopDuringStart(host, delay_ms) => {
            kill_hosts(fleet, &[host], 0).await?;
            sleep(Duration::from_millis(delay_ms)).await;
            stop_host(fleet, host, end_ms).await?;
        }
        FaultKind::StopThenKilled(host, delay_ms) => {
            let stopping = Rc::clone(fleet);
            let stop = async move { stop_host(&stopping, host, end_ms).await };
            let stop = compio::runtime::spawn(stop);
            sleep(Duration::from_millis(delay_ms)).await;
            kill_hosts(fleet, &[host], end_ms).await?;
            join_stops(vec![stop]).await?;
        }
        FaultKind::StopThenPaused(host, delay_ms) => {
            let stopping = Rc::clone(fleet);
            let stop = async move { stop_host(&stopping, host, end_ms).await };
            let stop = compio::runtime::spawn(stop);
            sleep(Duration::from_millis(delay_ms)).await;
            pause_host(fleet, host, fleet.now_ms() + delay_ms).await?;
            join_stops(vec![stop]).await?;
        }
        FaultKind::OldestStopped => {
            while fleet.now_ms() < end_ms {
                let running =
                    (0..fleet.size.hosts).filter(|host| fleet.hosts[*host].down_count.get() == 0);
                let oldest = running.min_by_key(|host| fleet.hosts[*host].started_ms.get());
                if let Some(oldest) = oldest {
                    stop_host(fleet, oldest, 0).await?;
                }
                sleep(Duration::from_millis(MIN_STOP_GAP_MS)).await;
            }
        }
        FaultKind::InstancesFault(choice) => {
            let half = fleet.size.instances.div_ceil(2);
            set_instance_faults(fleet, half, instance_fault(choice));
            sleep_until(fleet, end_ms).await;
            set_instance_faults(fleet, half, InstanceFault::Healthy);
        }
        FaultKind::AllRestarted(choice, is_killed) => {
            let all = fleet.size.instances;
            set_instance_faults(fleet, all, instance_fault(choice));
            if is_killed {
                let hosts: Vec<usize> = (0..fleet.size.hosts).collect();
                kill_hosts(fleet, &hosts, 0).await?;
            } else {
                let stops = (0..fleet.size.hosts).map(|host| {
                    let fleet = Rc::clone(fleet);
                    compio::runtime::spawn(async move { stop_host(&fleet, host, 0).await })
                });
                join_stops(stops.collect()).await?;
            }
            sleep(Duration::from_millis(FAULT_AFTER_RESTART_MS)).await;
            set_instance_faults(fleet, all, InstanceFault::Healthy);
        }
        _ => {}
    }
    Ok(())
}

fn set_instance_faults(fleet: &SoakFleet, count: usize, fault: InstanceFault) {
    for instance in &fleet.instances[..count] {
        instance.fault.set(fault);
    }
}

/// Sends SIGTERM and SIGHUP in random order to a stopping host until its process exits.
async fn signal_until_exit(fleet: Rc<SoakFleet>, host: usize, gap_seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(gap_seed);
    // The stop itself sends the first SIGTERM.
    sleep(Duration::from_millis(1)).await;
    while fleet.hosts[host].stop_asked_ms.get().is_some() {
        sleep(Duration::from_millis(
            rng.random_range(0..MAX_SIGNAL_GAP_MS),
        ))
        .await;
        let mut process = fleet.hosts[host].process.borrow_mut();
        if process.has_ended() || fleet.hosts[host].stop_asked_ms.get().is_none() {
            return;
        }
        let sent = if rng.random_bool(0.5) {
            process.request_stop()
        } else {
            process.request_reload()
        };
        if let Err(error) = sent {
            eprintln!("host {host} could not be signalled: {error}");
        }
    }
}

async fn join_stops(
    stops: Vec<compio::runtime::JoinHandle<Result<(), SoakError>>>,
) -> Result<(), SoakError> {
    for stop in stops {
        match stop.await {
            Ok(stopped) => stopped?,
            Err(_) => eprintln!("a stop ended without a result"),
        }
    }
    Ok(())
}
