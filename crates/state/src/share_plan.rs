//! Splits the rate limit of a workspace into shares and assigns them to shards.
//!
//! A workspace with a small burst has one share, a larger one up to
//! [`MAX_SHARES`]. The shares add up to exactly the rate and burst of the
//! workspace. Each share is on a different shard, chosen by rendezvous
//! hashing, so that all hosts compute the same assignment without
//! communicating.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::MICROS_PER_TOKEN;
use crate::ShardId;
use crate::WorkspaceLimit;
use crate::breach;
use crate::breach::BreachKind;

/// Minimum burst of a share, in requests, for a workspace with more than one.
const MIN_SHARE_BURST: u32 = 10;
/// Maximum number of shares of a workspace.
const MAX_SHARES: u32 = 8;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Rate limit of one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareLimit {
    /// Accrual in millionths of a token per millisecond.
    pub rate: u64,
    /// Capacity in millionths of a token.
    pub burst: u64,
}

/// Shares of one workspace, each with its shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharePlan {
    shares: Vec<(ShardId, ShareLimit)>,
}

impl SharePlan {
    /// Splits `limit` of the workspace `name` into shares on some of `shard_count` shards.
    pub fn new(name: &str, limit: WorkspaceLimit, shard_count: u32) -> Self {
        let count = (limit.burst / MIN_SHARE_BURST).clamp(1, MAX_SHARES.min(shard_count));
        let rate = u64::from(limit.rate) * MICROS_PER_TOKEN / MILLIS_PER_SECOND;
        let burst = u64::from(limit.burst) * MICROS_PER_TOKEN;
        let shares: Vec<_> = choose_shards(name, count, shard_count)
            .into_iter()
            .enumerate()
            .map(|(index, shard)| {
                let limit = ShareLimit {
                    rate: split_part(rate, u64::from(count), index as u64),
                    burst: split_part(burst, u64::from(count), index as u64),
                };
                (shard, limit)
            })
            .collect();
        let rate_sum: u64 = shares.iter().map(|(_, limit)| limit.rate).sum();
        let burst_sum: u64 = shares.iter().map(|(_, limit)| limit.burst).sum();
        breach::require(
            rate_sum == rate && burst_sum == burst,
            BreachKind::SharesUnequal,
        );
        SharePlan { shares }
    }

    /// Shares in descending order of their hash.
    pub fn shares(&self) -> &[(ShardId, ShareLimit)] {
        &self.shares
    }

    /// Limit of the share on `shard`, if there is one.
    pub fn limit_on(&self, shard: ShardId) -> Option<ShareLimit> {
        self.shares
            .iter()
            .find(|(other, _)| *other == shard)
            .map(|(_, limit)| *limit)
    }
}

/// Returns part `index` of `total` split into `count` parts that differ by one at most.
fn split_part(total: u64, count: u64, index: u64) -> u64 {
    total / count + u64::from(index < total % count)
}

/// Returns the `count` shards with the highest rendezvous hashes for `name`.
fn choose_shards(name: &str, count: u32, shard_count: u32) -> Vec<ShardId> {
    let mut hashed: Vec<(u64, u32)> = (0..shard_count)
        .map(|shard| (xxh3_64_with_seed(name.as_bytes(), u64::from(shard)), shard))
        .collect();
    hashed.sort_unstable_by(|a, b| b.cmp(a));
    hashed
        .into_iter()
        .take(count as usize)
        .map(|(_, shard)| ShardId::from_u32(shard))
        .collect()
}
