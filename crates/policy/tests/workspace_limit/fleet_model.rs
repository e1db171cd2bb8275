//! The fleet without a network: hosts, hubs and the marks in the store.

use std::net::SocketAddr;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_policy::GateDecision;
use crocushoist_policy::HubLedger;
use crocushoist_policy::MarkedWorkspaces;
use crocushoist_policy::PaceLimit;
use crocushoist_policy::TellerId;
use crocushoist_policy::WindowMarks;
use crocushoist_policy::WorkspaceGate;
use crocushoist_policy::WorkspaceUse;
use crocushoist_state::ClockTime;

pub(crate) const CENTRES: usize = 3;
pub(crate) const HOSTS: usize = 42;
pub(crate) const STEP_MS: u64 = 10;
pub(crate) const REPORT_EVERY_MS: u64 = 60;
pub(crate) const SUMMARY_EVERY_MS: u64 = 120;
pub(crate) const DAY_MS: u64 = 30_000;
pub(crate) const WINDOW_MS: u64 = 5_000;
pub(crate) const WORKSPACE: u32 = 7;

/// Milliseconds that a told share holds at a host.
pub(crate) const TOLD_MS: u64 = 1_000;

/// Boot clock at the start of the day; machines run longer than a window.
pub(crate) const BOOT_MS: u64 = 100_000;

/// Admissions by step, and requests that were refused.
pub(crate) struct PlayedDay {
    pub(crate) admitted: Vec<u32>,
    pub(crate) refused: u32,
}

pub(crate) fn limit_of(rate: f64, burst: f64) -> PaceLimit {
    PaceLimit {
        rate,
        burst,
        slack: 20.0,
    }
}

fn teller(number: usize) -> TellerId {
    TellerId {
        peers: SocketAddr::from(([10, 0, 0, number as u8], 7000)),
        incarnation: 1,
        is_counted: true,
    }
}

fn use_of(gate: &WorkspaceGate) -> [WorkspaceUse; 1] {
    [WorkspaceUse {
        workspace: WORKSPACE,
        admitted: gate.admitted,
        refused: gate.refused,
        in_window: None,
    }]
}

/// Plays a day in which `demand` gives the requests a second at a time in milliseconds.
pub(crate) fn play(limit: PaceLimit, seed: u64, demand: impl Fn(u64) -> f64) -> PlayedDay {
    play_with(limit, seed, demand, &DayTrouble::default())
}

/// Plays a day in which all hosts end at `restart_ms` and are back `away_ms` later.
pub(crate) fn play_with_restart(
    limit: PaceLimit,
    seed: u64,
    demand: impl Fn(u64) -> f64,
    restart_ms: u64,
    away_ms: u64,
) -> PlayedDay {
    let trouble = DayTrouble {
        restart_ms: Some(restart_ms),
        away_ms,
        ..DayTrouble::default()
    };
    play_with(limit, seed, demand, &trouble)
}

/// What happens to the fleet on a day.
#[derive(Debug, Default)]
pub(crate) struct DayTrouble {
    /// When all hosts end. The data centres are back one after the other, as hosts
    /// start within 0.3 s; the marks of the hubs outlive them.
    pub(crate) restart_ms: Option<u64>,
    /// For how long they are away.
    pub(crate) away_ms: u64,
    /// When the first `cut_hosts` hosts of each data centre that are not hubs hear nobody.
    pub(crate) cut: Range<u64>,
    pub(crate) cut_hosts: usize,
    /// When the first data centre and the others do not hear each other.
    pub(crate) split: Range<u64>,
}

/// Plays a day with `trouble`.
pub(crate) fn play_with(
    limit: PaceLimit,
    seed: u64,
    demand: impl Fn(u64) -> f64,
    trouble: &DayTrouble,
) -> PlayedDay {
    let (restart_ms, away_ms) = (trouble.restart_ms, trouble.away_ms);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = ClockTime::from_millis(BOOT_MS);
    let mut gates = vec![WorkspaceGate::new(start); HOSTS];
    let mut told = vec![Some(1.0); HOSTS];
    let mut hubs: Vec<HubLedger> = (0..CENTRES).map(|_| HubLedger::default()).collect();
    for hub in &mut hubs {
        hub.marks = read_marks(&[], start);
    }
    for (host, gate) in gates.iter().enumerate() {
        hubs[host % CENTRES].take_report(teller(host), None, &use_of(gate), start);
    }
    let find_limit = |_| Some(limit);
    let mut day = PlayedDay {
        admitted: Vec::new(),
        refused: 0,
    };
    let mut stored = vec![MarkedWorkspaces::new(); CENTRES];
    for step in 0..DAY_MS / STEP_MS {
        let at_ms = step * STEP_MS;
        let now = ClockTime::from_millis(BOOT_MS + at_ms);
        let is_away = |centre: usize| {
            restart_ms.is_some_and(|at| (at..back_ms(at, away_ms, centre)).contains(&at_ms))
        };
        for (centre, hub) in hubs.iter_mut().enumerate() {
            if restart_ms.is_some_and(|at| back_ms(at, away_ms, centre) == at_ms) {
                *hub = HubLedger::default();
                hub.marks = read_marks(&stored, now);
                for host in (centre..HOSTS).step_by(CENTRES) {
                    gates[host] = WorkspaceGate::new(now);
                    told[host] = None;
                }
            }
        }
        for (centre, (hub, written)) in hubs.iter_mut().zip(&mut stored).enumerate() {
            let name = centre_name(centre);
            let may_clear = hub.heard_whole_window(now);
            if let Some(marked) = hub.marks.due(&name, may_clear, now) {
                hub.marks.take(&name, marked.clone());
                *written = marked;
            }
        }
        let mean = demand(at_ms) * STEP_MS as f64 / 1_000.0;
        let mut admitted = 0;
        for host in 0..HOSTS {
            if rng.random::<f64>() >= mean / HOSTS as f64 || is_away(host % CENTRES) {
                continue;
            }
            let marks = &hubs[host % CENTRES].marks;
            let share = told[host].or(marks.share_before_told(WORKSPACE, now));
            match gates[host].decide(limit, share, HOSTS, now) {
                GateDecision::Admit => admitted += 1,
                GateDecision::Refuse { .. } => day.refused += 1,
            }
        }
        day.admitted.push(admitted);
        for host in 0..HOSTS {
            let phase_ms = host as u64 * STEP_MS % REPORT_EVERY_MS;
            let row = host / CENTRES;
            if trouble.cut.contains(&at_ms) && (1..=trouble.cut_hosts).contains(&row) {
                if at_ms > trouble.cut.start + TOLD_MS {
                    told[host] = None;
                }
                continue;
            }
            if at_ms % REPORT_EVERY_MS == phase_ms && !is_away(host % CENTRES) {
                let hub = &mut hubs[host % CENTRES];
                hub.take_report(teller(host), None, &use_of(&gates[host]), now);
                hub.advance(find_limit, now);
                if let Some(shares) = hub.shares(find_limit, now) {
                    told[host] = Some(shares.first().map_or(1.0, |(_, share)| *share));
                }
            }
        }
        for hub in 0..CENTRES {
            if at_ms % SUMMARY_EVERY_MS == hub as u64 * 40 && !is_away(hub) {
                hubs[hub].note_coverage(HOSTS, now);
                hubs[hub].advance(find_limit, now);
                let totals = hubs[hub].own_totals();
                let reporters = hubs[hub].reporter_count(now);
                let is_split =
                    |other: usize| trouble.split.contains(&at_ms) && (hub == 0) != (other == 0);
                for other in (0..CENTRES).filter(|other| *other != hub && !is_away(*other)) {
                    if is_split(other) {
                        continue;
                    }
                    hubs[other].take_summary(teller(100 + hub), "dc", None, &totals, now);
                    hubs[other].take_hub_load(teller(100 + hub).peers, reporters, Vec::new());
                }
            }
        }
    }
    day
}

/// When the hosts of `centre` are back that ended at `restart_ms`.
fn back_ms(restart_ms: u64, away_ms: u64, centre: usize) -> u64 {
    restart_ms + away_ms + centre as u64 * 100
}

fn centre_name(centre: usize) -> String {
    format!("dc{centre}")
}

/// Marks as a host reads them that starts at `now`.
fn read_marks(stored: &[MarkedWorkspaces], now: ClockTime) -> WindowMarks {
    let mut marks = WindowMarks::default();
    for (centre, marked) in stored.iter().enumerate() {
        marks.take(&centre_name(centre), marked.clone());
    }
    marks.note_read(now);
    marks
}

fn most_in_window(admitted: &[u32]) -> u32 {
    let steps = (WINDOW_MS / STEP_MS) as usize;
    admitted
        .windows(steps)
        .map(|window| window.iter().sum())
        .max()
        .unwrap_or(0)
}

/// Checks with 20 seeds that no window of a day holds more than the platform allows.
pub(crate) fn assert_one_window(limit: PaceLimit, play: impl Fn(u64) -> PlayedDay) {
    let window = limit.rate * 5.0 + limit.burst;
    let allowed = window * 1.1 + 20.0;
    for seed in 0..20 {
        let most = most_in_window(&play(seed).admitted);
        assert!(
            f64::from(most) <= allowed,
            "seed {seed}: {most} of {allowed}"
        );
    }
}
