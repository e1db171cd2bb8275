//! The troubles of a run, drawn from its seed.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Milliseconds of a run in which troubles begin.
pub(crate) const TROUBLED_MS: u64 = 10_000;

/// Milliseconds before the first trouble.
const FIRST_MS: u64 = 300;

/// Milliseconds that a trouble lasts: the shortest and the longest.
const SHORTEST_MS: u64 = 300;
const LONGEST_MS: u64 = 4_000;

/// Troubles of a run: the fewest and the most.
const FEWEST: usize = 3;
const MOST: usize = 9;

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakSize {
    /// Host processes.
    pub hosts: usize,
    /// Instances.
    pub instances: usize,
    /// Callers, each with a connection of its own.
    pub callers: usize,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TroubleKind {
    /// A host is killed and started again.
    HostKilled(usize),
    /// A host is frozen and wakes again.
    HostPaused(usize),
    /// A host is asked to stop and started again.
    HostStopped(usize),
    /// A host is told that its settings file changed.
    HostReloaded(usize),
    /// All hosts are killed at once and started again.
    AllKilled,
    /// The link of a host to the store is cut: reset, silent or one way.
    StoreLink(usize, u8),
    /// The store refuses every call.
    StoreDown,
    /// The store answers late.
    StoreSlow(u64),
    /// The store executes calls and loses answers.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreForgets,
    /// The link of all hosts to an instance: delayed, reset, silent or one way.
    InstanceLink(usize, u8),
    /// An instance fails, hangs, sheds, is slow or answers for another attempt.
    InstanceFault(usize, u8),
    /// One workspace is asked for many times its limit.
    HotWorkspace,
    /// Operators change the configuration some times in a row.
    ConfigStorm,
    /// Operators withdraw a key.
    KeyWithdrawn,
}

/// A trouble and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedTrouble {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// What goes wrong.
    pub kind: TroubleKind,
}

/// The troubles of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// Troubles by their begin.
    pub troubles: Vec<PlannedTrouble>,
}

impl SoakPlan {
    /// Draws the plan of `seed`.
    pub fn draw(seed: u64, size: SoakSize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(FEWEST..=MOST);
        let mut troubles: Vec<PlannedTrouble> = (0..count)
            .map(|_| PlannedTrouble {
                at_ms: rng.random_range(FIRST_MS..TROUBLED_MS),
                for_ms: rng.random_range(SHORTEST_MS..LONGEST_MS),
                kind: draw_kind(&mut rng, size),
            })
            .collect();
        troubles.sort_by_key(|trouble| trouble.at_ms);
        SoakPlan { troubles }
    }

    /// When the last trouble ends, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        let ends = self.troubles.iter();
        let ends = ends.map(|trouble| trouble.at_ms + trouble.for_ms);
        ends.max().unwrap_or(0)
    }
}

fn draw_kind(rng: &mut ChaCha8Rng, size: SoakSize) -> TroubleKind {
    let host = rng.random_range(0..size.hosts);
    let instance = rng.random_range(0..size.instances);
    match rng.random_range(0..16) {
        0 | 1 => TroubleKind::HostKilled(host),
        2 => TroubleKind::HostPaused(host),
        3 => TroubleKind::HostStopped(host),
        4 => TroubleKind::HostReloaded(host),
        5 => TroubleKind::AllKilled,
        6 => TroubleKind::StoreLink(host, rng.random_range(0..3)),
        7 => TroubleKind::StoreDown,
        8 => TroubleKind::StoreSlow(rng.random_range(50..600)),
        9 => TroubleKind::StoreLosesAnswers,
        10 => TroubleKind::StoreForgets,
        11 => TroubleKind::InstanceLink(instance, rng.random_range(0..4)),
        12 | 13 => TroubleKind::InstanceFault(instance, rng.random_range(0..5)),
        14 => TroubleKind::HotWorkspace,
        _ if rng.random_bool(0.5) => TroubleKind::ConfigStorm,
        _ => TroubleKind::KeyWithdrawn,
    }
}
