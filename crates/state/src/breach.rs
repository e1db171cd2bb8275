//! Invariants asserted in every build.
//!
//! A breach adds to a process-wide counter. The first breach of each kind is
//! handed out once by [`take_unlogged`], so that the daemon logs it exactly
//! once; trials fail on any non-zero counter.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Invariant whose breach is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreachKind {
    /// A bucket's level and its drawn tokens exceed the burst.
    BucketOverCap,
    /// The folded offset went back.
    OffsetWentBack,
    /// The shares of a workspace do not sum to its rate and burst.
    SharesUnequal,
    /// A non-idempotent request was about to be written twice.
    SecondWrite,
    /// A caller's key was about to reach an upstream.
    KeyLeak,
    /// A shard was spent from without the table naming this host.
    ForeignShard,
    /// A request was about to be written without current evidence.
    StaleWrite,
    /// Ejections pushed healthy capacity under the floor.
    FloorCrossed,
    /// A snapshot's content does not match its hash.
    SnapshotCorrupt,
}

/// Every kind, in counter order.
pub const ALL_KINDS: [BreachKind; 9] = [
    BreachKind::BucketOverCap,
    BreachKind::OffsetWentBack,
    BreachKind::SharesUnequal,
    BreachKind::SecondWrite,
    BreachKind::KeyLeak,
    BreachKind::ForeignShard,
    BreachKind::StaleWrite,
    BreachKind::FloorCrossed,
    BreachKind::SnapshotCorrupt,
];

static COUNTS: [AtomicU64; ALL_KINDS.len()] = [const { AtomicU64::new(0) }; ALL_KINDS.len()];
static LOGGED: [AtomicU64; ALL_KINDS.len()] = [const { AtomicU64::new(0) }; ALL_KINDS.len()];

impl BreachKind {
    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            BreachKind::BucketOverCap => "bucket_over_cap",
            BreachKind::OffsetWentBack => "offset_went_back",
            BreachKind::SharesUnequal => "shares_unequal",
            BreachKind::SecondWrite => "second_write",
            BreachKind::KeyLeak => "key_leak",
            BreachKind::ForeignShard => "foreign_shard",
            BreachKind::StaleWrite => "stale_write",
            BreachKind::FloorCrossed => "floor_crossed",
            BreachKind::SnapshotCorrupt => "snapshot_corrupt",
        }
    }
}

/// Counts a breach of `kind` unless `holds`; returns `holds`.
pub fn require(holds: bool, kind: BreachKind) -> bool {
    if !holds {
        COUNTS[kind as usize].fetch_add(1, Ordering::Relaxed);
    }
    holds
}

/// Number of breaches of `kind` since start.
pub fn count(kind: BreachKind) -> u64 {
    COUNTS[kind as usize].load(Ordering::Relaxed)
}

/// Kinds breached since start that no earlier call returned.
pub fn take_unlogged() -> Vec<BreachKind> {
    ALL_KINDS
        .into_iter()
        .filter(|kind| count(*kind) > 0)
        .filter(|kind| LOGGED[*kind as usize].swap(1, Ordering::Relaxed) == 0)
        .collect()
}
