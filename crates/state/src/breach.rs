//! Invariants that are checked in every build.
//!
//! A violated invariant does not panic: it increments a process-wide counter
//! of its kind. [`take_unlogged`] returns each kind once after its first
//! breach, so that the daemon logs it exactly once. Trials fail on any
//! non-zero counter.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Kind of invariant whose breaches are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreachKind {
    /// The level and the open grants of a token bucket together exceed its burst.
    BucketOverCap,
    /// The offset up to which the log was replayed decreased.
    OffsetWentBack,
    /// The shares of a workspace do not add up to its rate and burst.
    SharesUnequal,
    /// A non-idempotent request was about to be sent to an upstream a second time.
    SecondWrite,
    /// A request to an upstream was about to contain a caller's key.
    KeyLeak,
    /// Tokens were granted from a shard that the shard table does not assign to this host.
    ForeignShard,
    /// A request was about to be sent without current evidence that no configuration was missed.
    StaleWrite,
    /// Ejections or backoffs left fewer healthy instances than the floor.
    FloorCrossed,
    /// A snapshot's content does not match its hash.
    SnapshotCorrupt,
}

/// All kinds, in the order of their counters.
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
static TAKEN: [AtomicU64; ALL_KINDS.len()] = [const { AtomicU64::new(0) }; ALL_KINDS.len()];

impl BreachKind {
    /// Name of the kind in logs and metrics.
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

/// Counts a breach of `kind` unless `holds` is true, and returns `holds`.
pub fn require(holds: bool, kind: BreachKind) -> bool {
    if !holds {
        COUNTS[kind as usize].fetch_add(1, Ordering::Relaxed);
    }
    holds
}

/// Number of breaches of `kind` since the process started.
pub fn count(kind: BreachKind) -> u64 {
    COUNTS[kind as usize].load(Ordering::Relaxed)
}

/// Kinds with at least one breach that no earlier call returned.
pub fn take_unlogged() -> Vec<BreachKind> {
    ALL_KINDS
        .into_iter()
        .filter(|kind| count(*kind) > 0)
        .filter(|kind| TAKEN[*kind as usize].swap(1, Ordering::Relaxed) == 0)
        .collect()
}
