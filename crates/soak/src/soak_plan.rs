//! Plan of the faults of a run, drawn from its seed.
//!
//! A fault is any event that disturbs the fleet: a killed process or a broken
//! link, but also a traffic peak, a reload or a change of the configuration.
//! Faults may overlap. The plan depends only on the seed and the size of the
//! fleet, so the order of the random draws must not change: a seed that once
//! broke a promise must draw the same plan again.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::path_faults::CUT_MS;

/// Milliseconds after the start of the load by which all faults have begun.
pub(crate) const MAX_START_MS: u64 = 10_000;

/// Milliseconds after the start of the load before the first fault.
const MIN_START_MS: u64 = 300;

/// Lower bound of a fault's duration in milliseconds.
const MIN_DURATION_MS: u64 = 300;

/// Upper bound, exclusive, of a fault's duration in milliseconds.
const MAX_DURATION_MS: u64 = 4_000;

/// Smallest number of faults in a run.
const MIN_FAULTS: usize = 3;

/// Largest number of faults in a run.
const MAX_FAULTS: usize = 9;

/// Random stream of the faults of the series mode; that of the other faults is 0.
const SERIES_STREAM: u64 = 1;

/// Random stream of the faults that only the drill mode has.
const DRILL_STREAM: u64 = 2;

/// Random stream of the faults that only the paths mode has.
const PATHS_STREAM: u64 = 3;

/// Random stream of the faults that only the needs mode has.
const NEEDS_STREAM: u64 = 4;

/// Bounds of the number of faults that only the needs mode has.
const NEEDS_FAULTS: std::ops::RangeInclusive<usize> = 2..=4;

/// Bounds of the milliseconds for which instances are in need.
const NEED_MS: std::ops::Range<u64> = 4_000..14_000;

/// Bounds of the number of cuts in the paths mode.
const PATH_CUTS: std::ops::RangeInclusive<usize> = 1..=3;

/// Largest number of faults of instances that send without end.
const MAX_ENDLESS: usize = 2;

/// Bounds of the number of faults of each kind that only the drill mode has.
const DRILL_FAULTS: std::ops::RangeInclusive<usize> = 2..=4;

/// Bounds of the number of faults that only the series mode has.
const SERIES_FAULTS: std::ops::RangeInclusive<usize> = 4..=8;

/// Largest number of other faults in the series mode.
const MAX_OTHER_FAULTS: usize = 3;

/// Upper bound, exclusive, of the duration of a fault of the series mode, in milliseconds.
const MAX_SERIES_MS: u64 = 6_000;

/// Upper bound, exclusive, of the milliseconds for which the store is away before a restore.
const MAX_AWAY_MS: u64 = 1_500;

/// Lower bound of the age of a restored copy, in milliseconds.
const MIN_COPY_MS: u64 = 500;

/// Upper bound, exclusive, of the age of a restored copy, in milliseconds.
const MAX_COPY_MS: u64 = 8_000;

/// Milliseconds in which a rolling stop asks all hosts to stop, at most.
const MAX_ROLLING_MS: u64 = 12_000;

/// Which faults and which callers a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakMode {
    /// Faults of all kinds, each signal sent once.
    Single,
    /// Signals, stops and restarts in series, and callers that use connections until they close.
    Series,
    /// The series mode, with instances that leave or want no requests, and a store that comes back
    /// from older copies.
    Drill,
    /// The drill mode, with hosts that lose their path to all instances and instances that send
    /// bytes without end.
    Paths,
    /// The series mode, with instances that name limits and hosts that lose their path to them.
    Needs,
}

impl SoakMode {
    /// Whether instances say what they want and the store tells its era.
    pub(crate) fn has_drills(self) -> bool {
        matches!(self, SoakMode::Drill | SoakMode::Paths)
    }
}

/// Size of the fleet and its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakSize {
    /// Number of host processes.
    pub hosts: usize,
    /// Number of instances.
    pub instances: usize,
    /// Number of callers, each with a connection of its own.
    pub callers: usize,
}

/// Kind of a fault, with the index of the host or instance that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A host is killed and restarted.
    HostKilled(usize),
    /// A host is paused and resumed.
    HostPaused(usize),
    /// A host is asked to stop, and restarted.
    HostStopped(usize),
    /// A host is instructed to read its settings file again.
    HostReloaded(usize),
    /// All hosts are killed at once and restarted.
    AllKilled,
    /// The link from a host to the store is closed (0), stalled (1) or one-way (2).
    StoreLink(usize, u8),
    /// The store refuses every call.
    StoreDown,
    /// The store responds this many milliseconds late.
    StoreSlow(u64),
    /// The store executes calls, but does not respond to every second one.
    StoreLosesAnswers,
    /// The store drops its records, except the newest of each key.
    StoreForgets,
    /// The link from all hosts to an instance is closed (0), stalled (1), one-way (2) or
    /// delayed (3).
    InstanceLink(usize, u8),
    /// An instance fails (0), hangs (1), sheds (2), is slow (3) or responds with another
    /// attempt's id (4).
    InstanceFault(usize, u8),
    /// Callers send far more than the limit of one workspace.
    HotWorkspace,
    /// Operators write new configuration versions in quick succession.
    ConfigStorm,
    /// Operators revoke a key.
    KeyWithdrawn,
    /// A host is asked to stop, then again and again, and to reload, at gaps from this seed.
    StopSeries(usize, u32),
    /// A host is instructed to reload again and again, at gaps up to these milliseconds.
    ReloadSeries(usize, u64),
    /// All hosts are asked to stop, one every so many milliseconds, and restarted.
    RollingStop(u64),
    /// A host is killed, restarted and asked to stop this many milliseconds later.
    StopDuringStart(usize, u64),
    /// A host is killed this many milliseconds after it was asked to stop.
    StopThenKilled(usize, u64),
    /// A host is paused for this many milliseconds, as long after it was asked to stop.
    StopThenPaused(usize, u64),
    /// Whichever host runs longest is stopped, again and again.
    OldestStopped,
    /// Half of the instances have the fault with this number, as in `InstanceFault`.
    InstancesFault(u8),
    /// All instances have this fault while all hosts are killed (true) or stopped, and after.
    AllRestarted(u8, bool),
    /// Instances drawn from this seed say that they leave, end, and start anew.
    InstancesLeave(u32),
    /// Instances drawn from this seed reject requests for a time and want none for a longer one,
    /// again and again.
    InstancesHold(u32),
    /// The store is away for the first milliseconds and comes back from a copy that is as old as
    /// the second ones.
    StoreRestored(u64, u64),
    /// Hosts drawn from this seed lose the path to all instances, in the way with this number.
    HostsCut(u32, u8),
    /// Instances drawn from this seed send bytes without end, at the part with this number.
    InstancesEndless(u32, u8),
    /// Instances drawn from this seed name limits.
    InstancesLimited(u32),
}

/// Fault with the time at which it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins, in milliseconds after the start of the load.
    pub start_ms: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Plan of the faults of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// Faults, sorted by their start.
    pub faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// Draws the plan for `seed` in a fleet of this size.
    pub fn draw(seed: u64, size: SoakSize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fault_count = rng.random_range(MIN_FAULTS..=MAX_FAULTS);
        let mut faults: Vec<PlannedFault> = (0..fault_count)
            .map(|_| PlannedFault {
                start_ms: rng.random_range(MIN_START_MS..MAX_START_MS),
                duration_ms: rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS),
                kind: draw_kind(&mut rng, size),
            })
            .collect();
        faults.sort_by_key(|fault| fault.start_ms);
        SoakPlan { faults }
    }

    /// Draws the plan of the series mode for `seed` in a fleet of this size.
    pub fn draw_series(seed: u64, size: SoakSize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(SERIES_STREAM);
        let series_count = rng.random_range(SERIES_FAULTS);
        let mut faults: Vec<PlannedFault> = (0..series_count)
            .map(|_| PlannedFault {
                start_ms: rng.random_range(MIN_START_MS..MAX_START_MS),
                duration_ms: rng.random_range(MIN_DURATION_MS..MAX_SERIES_MS),
                kind: draw_series_kind(&mut rng, size),
            })
            .collect();
        for _ in 0..rng.random_range(0..=MAX_OTHER_FAULTS) {
            faults.push(PlannedFault {
                start_ms: rng.random_range(MIN_START_MS..MAX_START_MS),
                duration_ms: rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS),
                kind: draw_kind(&mut rng, size),
            });
        }
        faults.sort_by_key(|fault| fault.start_ms);
        SoakPlan { faults }
    }

    /// Draws the plan of the drill mode for `seed` in a fleet of this size: that of the series
    /// mode, and further faults beside it.
    pub fn draw_drill(seed: u64, size: SoakSize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(DRILL_STREAM);
        let mut faults = Self::draw_series(seed, size).faults;
        let draws: [fn(&mut ChaCha8Rng) -> FaultKind; 3] = [
            |rng| FaultKind::InstancesLeave(rng.random()),
            |rng| FaultKind::InstancesHold(rng.random()),
            |rng| {
                let away_ms = rng.random_range(0..MAX_AWAY_MS);
                FaultKind::StoreRestored(away_ms, rng.random_range(MIN_COPY_MS..MAX_COPY_MS))
            },
        ];
        for draw_kind in draws {
            for _ in 0..rng.random_range(DRILL_FAULTS) {
                faults.push(PlannedFault {
                    start_ms: rng.random_range(MIN_START_MS..MAX_START_MS),
                    duration_ms: rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS),
                    kind: draw_kind(&mut rng),
                });
            }
        }
        if rng.random_bool(0.5) {
            faults.push(PlannedFault {
                start_ms: rng.random_range(MIN_START_MS..MAX_START_MS),
                duration_ms: 0,
                kind: FaultKind::KeyWithdrawn,
            });
        }
        faults.sort_by_key(|fault| fault.start_ms);
        SoakPlan { faults }
    }

    /// Draws the plan of the paths mode for `seed` in a fleet of this size: that of the series or
    /// the drill mode, or no other faults, and cut paths and bytes without end beside it.
    pub fn draw_paths(seed: u64, size: SoakSize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(PATHS_STREAM);
        let mut faults = match rng.random_range(0..3) {
            0 => Vec::new(),
            1 => Self::draw_series(seed, size).faults,
            _ => Self::draw_drill(seed, size).faults,
        };
        for _ in 0..rng.random_range(PATH_CUTS) {
            faults.push(PlannedFault {
                start_ms: rng.random_range(MIN_START_MS..MAX_START_MS),
                duration_ms: rng.random_range(CUT_MS),
                kind: FaultKind::HostsCut(rng.random(), rng.random()),
            });
        }
        for _ in 0..rng.random_range(0..=MAX_ENDLESS) {
            faults.push(PlannedFault {
                start_ms: rng.random_range(MIN_START_MS..MAX_START_MS),
                duration_ms: rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS),
                kind: FaultKind::InstancesEndless(rng.random(), rng.random()),
            });
        }
        faults.sort_by_key(|fault| fault.start_ms);
        SoakPlan { faults }
    }

    /// Draws the plan of the needs mode for `seed` in a fleet of this size: that of the series mode
    /// or no other faults, and limits and perhaps a cut beside it.
    pub fn draw_needs(seed: u64, size: SoakSize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(NEEDS_STREAM);
        let mut faults = match rng.random_range(0..3) {
            0 => Vec::new(),
            _ => Self::draw_series(seed, size).faults,
        };
        for _ in 0..rng.random_range(NEEDS_FAULTS) {
            faults.push(PlannedFault {
                start_ms: rng.random_range(MIN_START_MS..MAX_START_MS),
                duration_ms: rng.random_range(NEED_MS),
                kind: FaultKind::InstancesLimited(rng.random()),
            });
        }
        if rng.random_bool(0.3) {
            faults.push(PlannedFault {
                start_ms: rng.random_range(MIN_START_MS..MAX_START_MS),
                duration_ms: rng.random_range(CUT_MS),
                kind: FaultKind::HostsCut(rng.random(), rng.random()),
            });
        }
        faults.sort_by_key(|fault| fault.start_ms);
        SoakPlan { faults }
    }

    /// End of the last fault, in milliseconds after the start of the load.
    pub fn end_ms(&self) -> u64 {
        let ends = self.faults.iter();
        let ends = ends.map(|fault| fault.start_ms + fault.duration_ms);
        ends.max().unwrap_or(0)
    }
}

fn draw_kind(rng: &mut ChaCha8Rng, size: SoakSize) -> FaultKind {
    let host = rng.random_range(0..size.hosts);
    let instance = rng.random_range(0..size.instances);
    match rng.random_range(0..16) {
        0 | 1 => FaultKind::HostKilled(host),
        2 => FaultKind::HostPaused(host),
        3 => FaultKind::HostStopped(host),
        4 => FaultKind::HostReloaded(host),
        5 => FaultKind::AllKilled,
        6 => FaultKind::StoreLink(host, rng.random_range(0..3)),
        7 => FaultKind::StoreDown,
        8 => FaultKind::StoreSlow(rng.random_range(50..600)),
        9 => FaultKind::StoreLosesAnswers,
        10 => FaultKind::StoreForgets,
        11 => FaultKind::InstanceLink(instance, rng.random_range(0..4)),
        12 | 13 => FaultKind::InstanceFault(instance, rng.random_range(0..5)),
        14 => FaultKind::HotWorkspace,
        _ if rng.random_bool(0.5) => FaultKind::ConfigStorm,
        _ => FaultKind::KeyWithdrawn,
    }
}

fn draw_series_kind(rng: &mut ChaCha8Rng, size: SoakSize) -> FaultKind {
    let host = rng.random_range(0..size.hosts);
    let max_gap_ms = MAX_ROLLING_MS / size.hosts as u64;
    match rng.random_range(0..13) {
        0..=2 => FaultKind::StopSeries(host, rng.random()),
        3 => FaultKind::ReloadSeries(host, rng.random_range(0..30)),
        4 | 5 => FaultKind::RollingStop(rng.random_range(0..max_gap_ms)),
        6 => FaultKind::StopDuringStart(host, rng.random_range(0..2_000)),
        7 => FaultKind::StopThenKilled(host, rng.random_range(0..6_000)),
        8 => FaultKind::StopThenPaused(host, rng.random_range(0..2_500)),
        9 => FaultKind::OldestStopped,
        10 => FaultKind::InstancesFault(rng.random_range(0..4)),
        11 => FaultKind::AllRestarted(rng.random_range(0..4), rng.random_bool(0.5)),
        _ => FaultKind::ConfigStorm,
    }
}
