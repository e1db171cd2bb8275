//! Cuts the limit of a workspace into shares and places them on shards.
//!
//! A small workspace has one share, a larger one up to [`MAX_SHARES`]. The
//! shares sum to exactly the workspace's rate and burst. Each share lies on
//! its own shard, chosen by rendezvous hashing, so that every host computes
//! the same placement without a message.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ShardId;
use crate::TOKEN_MICROS;
use crate::WorkspaceLimit;
use crate::breach;
use crate::breach::BreachKind;

const MIN_SHARE_BURST: u32 = 10;
const MAX_SHARES: u32 = 8;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Limit of one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareLimit {
    /// Millionths of a token that accrue in a millisecond.
    pub rate: u64,
    /// Millionths of a token that the share may hold.
    pub burst: u64,
}

/// Shares of one workspace, with the shard of each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharePlan {
    shares: Vec<(ShardId, ShareLimit)>,
}

impl SharePlan {
    /// Plans the shares of the workspace `name` over `shard_count` shards.
    pub fn new(name: &str, limit: WorkspaceLimit, shard_count: u32) -> Self {
        let count = (limit.burst / MIN_SHARE_BURST).clamp(1, MAX_SHARES.min(shard_count));
        let rate = u64::from(limit.rate) * TOKEN_MICROS / MILLIS_PER_SECOND;
        let burst = u64::from(limit.burst) * TOKEN_MICROS;
        let shares: Vec<_> = place(name, count, shard_count)
            .into_iter()
            .enumerate()
            .map(|(index, shard)| {
                let limit = ShareLimit {
                    rate: cut(rate, u64::from(count), index as u64),
                    burst: cut(burst, u64::from(count), index as u64),
                };
                (shard, limit)
            })
            .collect();
        let rates: u64 = shares.iter().map(|(_, limit)| limit.rate).sum();
        let bursts: u64 = shares.iter().map(|(_, limit)| limit.burst).sum();
        breach::require(rates == rate && bursts == burst, BreachKind::SharesUnequal);
        SharePlan { shares }
    }

    /// Shares in placement order.
    pub fn shares(&self) -> &[(ShardId, ShareLimit)] {
        &self.shares
    }

    /// Limit of the share on `shard`, if one lies there.
    pub fn limit_on(&self, shard: ShardId) -> Option<ShareLimit> {
        self.shares
            .iter()
            .find(|(placed, _)| *placed == shard)
            .map(|(_, limit)| *limit)
    }
}

/// Part `index` of `total` cut into `count` nearly equal parts.
fn cut(total: u64, count: u64, index: u64) -> u64 {
    total / count + u64::from(index < total % count)
}

/// The `count` shards with the highest scores for `name`.
fn place(name: &str, count: u32, shard_count: u32) -> Vec<ShardId> {
    let mut scored: Vec<(u64, u32)> = (0..shard_count)
        .map(|shard| (xxh3_64_with_seed(name.as_bytes(), u64::from(shard)), shard))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored
        .into_iter()
        .take(count as usize)
        .map(|(_, shard)| ShardId::from_u32(shard))
        .collect()
}
