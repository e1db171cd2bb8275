//! Simulation of a fleet without a network: hosts, hubs and the near-full
//! records in the store.

use std::net::SocketAddr;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_policy::GateDecision;
use crocushoist_policy::HubAggregator;
use crocushoist_policy::NearFullRecords;
use crocushoist_policy::NearFullWorkspaces;
use crocushoist_policy::ReporterId;
use crocushoist_policy::WindowLimit;
use crocushoist_policy::WorkspaceCounts;
use crocushoist_policy::WorkspaceGate;
use crocushoist_policy::aged_share;
use crocushoist_state::ClockTime;

pub(crate) const DATA_CENTRES: usize = 3;
pub(crate) const HOSTS: usize = 42;
pub(crate) const STEP_MS: u64 = 10;
pub(crate) const REPORT_INTERVAL_MS: u64 = 60;
pub(crate) const SUMMARY_INTERVAL_MS: u64 = 120;
pub(crate) const RUN_MS: u64 = 30_000;
pub(crate) const WINDOW_MS: u64 = 5_000;
pub(crate) const WORKSPACE: u32 = 7;

/// Boot clock in milliseconds at the start of a run; hosts have been up for longer than a
/// window.
pub(crate) const BOOT_MS: u64 = 100_000;

/// Number of admissions in each step of `STEP_MS`, and the total of refused requests.
pub(crate) struct SimulatedRun {
    pub(crate) admitted: Vec<u32>,
    pub(crate) refused: u32,
}

pub(crate) fn limit_of(rate: f64, burst: f64) -> WindowLimit {
    WindowLimit {
        rate,
        burst,
        slack: 20.0,
        is_recorded: true,
    }
}

fn reporter(number: usize) -> ReporterId {
    ReporterId {
        peer_address: SocketAddr::from(([10, 0, 0, number as u8], 7000)),
        incarnation: 1,
        is_counted: true,
        has_all_counts: true,
    }
}

pub(crate) fn counts_of(gate: &WorkspaceGate) -> [WorkspaceCounts; 1] {
    [WorkspaceCounts {
        workspace: WORKSPACE,
        admitted: gate.admitted,
        refused: gate.refused,
        in_window: None,
    }]
}

/// Simulates a run; `demand` returns the requests a second at a time in milliseconds.
pub(crate) fn simulate(limit: WindowLimit, seed: u64, demand: impl Fn(u64) -> f64) -> SimulatedRun {
    simulate_with(limit, seed, demand, &Disruption::default())
}

/// Simulates a run in which all hosts stop at `restart_ms` and restart `downtime_ms` later.
pub(crate) fn simulate_with_restart(
    limit: WindowLimit,
    seed: u64,
    demand: impl Fn(u64) -> f64,
    restart_ms: u64,
    downtime_ms: u64,
) -> SimulatedRun {
    let disruption = Disruption {
        restart_ms: Some(restart_ms),
        downtime_ms,
        ..Disruption::default()
    };
    simulate_with(limit, seed, demand, &disruption)
}

/// Failures injected into a run, with times in milliseconds since its start.
#[derive(Debug, Default)]
pub(crate) struct Disruption {
    /// Time at which all hosts stop. The data centres restart one after another within 0.3 s,
    /// as hosts do in practice; the near-full records in the store persist.
    pub(crate) restart_ms: Option<u64>,
    /// Milliseconds until the first data centre restarts.
    pub(crate) downtime_ms: u64,
    /// Time during which the first `isolated_hosts` hosts of each data centre, hubs excluded,
    /// can reach no other host.
    pub(crate) isolation: Range<u64>,
    pub(crate) isolated_hosts: usize,
    /// Time during which the first data centre and the others cannot reach each other.
    pub(crate) partition: Range<u64>,
}

/// Simulates a run with the failures of `disruption`.
pub(crate) fn simulate_with(
    limit: WindowLimit,
    seed: u64,
    demand: impl Fn(u64) -> f64,
    disruption: &Disruption,
) -> SimulatedRun {
    let (restart_ms, downtime_ms) = (disruption.restart_ms, disruption.downtime_ms);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = ClockTime::from_millis(BOOT_MS);
    let mut gates = vec![WorkspaceGate::new(start); HOSTS];
    let mut assigned = vec![Some((1.0, start)); HOSTS];
    let mut hubs: Vec<HubAggregator> = (0..DATA_CENTRES)
        .map(|_| HubAggregator::default())
        .collect();
    for hub in &mut hubs {
        hub.near_full_records = read_records(&[], start);
    }
    for (host, gate) in gates.iter().enumerate() {
        hubs[host % DATA_CENTRES].apply_report(reporter(host), None, &counts_of(gate), start);
    }
    let limit_of_workspace = |_| Some(limit);
    let mut run = SimulatedRun {
        admitted: Vec::new(),
        refused: 0,
    };
    let mut stored = vec![NearFullWorkspaces::new(); DATA_CENTRES];
    for step in 0..RUN_MS / STEP_MS {
        let at_ms = step * STEP_MS;
        let now = ClockTime::from_millis(BOOT_MS + at_ms);
        let is_down = |centre: usize| {
            restart_ms
                .is_some_and(|at| (at..restarted_ms(at, downtime_ms, centre)).contains(&at_ms))
        };
        for (centre, hub) in hubs.iter_mut().enumerate() {
            if restart_ms.is_some_and(|at| restarted_ms(at, downtime_ms, centre) == at_ms) {
                *hub = HubAggregator::default();
                hub.near_full_records = read_records(&stored, now);
                for host in (centre..HOSTS).step_by(DATA_CENTRES) {
                    gates[host] = WorkspaceGate::new(now);
                    assigned[host] = None;
                }
            }
        }
        for (centre, (hub, written)) in hubs.iter_mut().zip(&mut stored).enumerate() {
            let name = centre_name(centre);
            let may_clear = hub.covers_full_window(now);
            if let Some(near_full) = hub.near_full_records.record_to_write(&name, may_clear, now) {
                hub.near_full_records.set_record(&name, near_full.clone());
                *written = near_full;
            }
        }
        let mean = demand(at_ms) * STEP_MS as f64 / 1_000.0;
        let mut admitted = 0;
        for host in 0..HOSTS {
            if rng.random::<f64>() >= mean / HOSTS as f64 || is_down(host % DATA_CENTRES) {
                continue;
            }
            let records = &hubs[host % DATA_CENTRES].near_full_records;
            let share = assigned[host]
                .and_then(|(share, at)| aged_share(share, at, now))
                .or(records.initial_share(WORKSPACE, now));
            match gates[host].decide(limit, share, assigned[host].map(|(_, at)| at), HOSTS, now) {
                GateDecision::Admit => admitted += 1,
                GateDecision::Refuse { .. } => run.refused += 1,
            }
        }
        run.admitted.push(admitted);
        for host in 0..HOSTS {
            let phase_ms = host as u64 * STEP_MS % REPORT_INTERVAL_MS;
            let index_in_centre = host / DATA_CENTRES;
            if disruption.isolation.contains(&at_ms)
                && (1..=disruption.isolated_hosts).contains(&index_in_centre)
            {
                continue;
            }
            if at_ms % REPORT_INTERVAL_MS == phase_ms && !is_down(host % DATA_CENTRES) {
                let hub = &mut hubs[host % DATA_CENTRES];
                hub.apply_report(reporter(host), None, &counts_of(&gates[host]), now);
                hub.update_limiters(limit_of_workspace, now);
                if let Some(shares) = hub.shares(limit_of_workspace, now) {
                    let share = shares.first().map_or(1.0, |(_, share)| *share);
                    assigned[host] = Some((share, now));
                }
            }
        }
        for hub in 0..DATA_CENTRES {
            if at_ms % SUMMARY_INTERVAL_MS == hub as u64 * 40 && !is_down(hub) {
                hubs[hub].update_coverage(HOSTS, now);
                hubs[hub].update_limiters(limit_of_workspace, now);
                let totals = hubs[hub].local_totals();
                let reporters = hubs[hub].reporter_count(now);
                let is_partitioned = |other: usize| {
                    disruption.partition.contains(&at_ms) && (hub == 0) != (other == 0)
                };
                for other in (0..DATA_CENTRES).filter(|other| *other != hub && !is_down(*other)) {
                    if is_partitioned(other) {
                        continue;
                    }
                    hubs[other].apply_summary(reporter(100 + hub), "dc", None, &totals, now);
                    hubs[other].set_hub_load(
                        reporter(100 + hub).peer_address,
                        reporters,
                        Vec::new(),
                    );
                }
            }
        }
    }
    run
}

/// Time at which the hosts of `centre` are up again after they stopped at `restart_ms`.
fn restarted_ms(restart_ms: u64, downtime_ms: u64, centre: usize) -> u64 {
    restart_ms + downtime_ms + centre as u64 * 100
}

pub(crate) fn centre_name(centre: usize) -> String {
    format!("dc{centre}")
}

/// Near-full records as read by a host that starts at `now`.
pub(crate) fn read_records(stored: &[NearFullWorkspaces], now: ClockTime) -> NearFullRecords {
    let mut records = NearFullRecords::default();
    for (centre, near_full) in stored.iter().enumerate() {
        records.set_record(&centre_name(centre), near_full.clone());
    }
    records.set_read_at(now);
    records
}

fn max_in_window(admitted: &[u32]) -> u32 {
    let steps = (WINDOW_MS / STEP_MS) as usize;
    admitted
        .windows(steps)
        .map(|window| window.iter().sum())
        .max()
        .unwrap_or(0)
}

/// Checks with 20 seeds that no window of a run exceeds the bound of the users' platform.
pub(crate) fn assert_within_limit(limit: WindowLimit, simulate: impl Fn(u64) -> SimulatedRun) {
    let window = limit.rate * 5.0 + limit.burst;
    let allowed = window * 1.1 + 20.0;
    for seed in 0..20 {
        let max_count = max_in_window(&simulate(seed).admitted);
        assert!(
            f64::from(max_count) <= allowed,
            "seed {seed}: a window has {max_count} admissions, {allowed} are allowed"
        );
    }
}
