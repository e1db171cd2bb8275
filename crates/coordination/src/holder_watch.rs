//! Failure detection for shard holders.
//!
//! For each shard, a hash ranks the hosts, and the first few of them watch the
//! shard's holder. If the holder stops responding, they reclaim the shard, each
//! watcher waiting longer than the one ranked before it. Suspecting a live
//! holder cannot exceed a limit, because a reclaim takes effect only after the
//! fence delay. It does make the shard's tokens unavailable for that long, so
//! the daemon first asks other hosts whether they still reach the holder.

use std::collections::HashMap;

use crocushoist_state::ClockTime;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardId;

use crate::timing;

/// Number of hosts that watch each shard.
const WATCHERS_PER_SHARD: usize = 3;

/// Milliseconds that each watcher waits longer than the one ranked before it.
const RANK_DELAY_MS: u64 = 400;

/// Milliseconds between two checks from which this host counts as having been paused.
const PAUSE_THRESHOLD_MS: u64 = 400;

/// Tracks when this host last had contact with the holders that it watches.
#[derive(Clone, Debug, Default)]
pub struct HolderWatch {
    /// Time of the last contact, or of the first check without one.
    last_contact: HashMap<IncarnationId, ClockTime>,
    checked_at: ClockTime,
}

impl HolderWatch {
    /// Rank of `own` among `hosts` as a watcher of `shard`, from zero.
    ///
    /// Returns `None` if `own` does not watch the shard.
    pub fn rank(own: IncarnationId, hosts: &[IncarnationId], shard: ShardId) -> Option<usize> {
        let own_score = score(own, shard);
        let rank = hosts
            .iter()
            .filter(|host| score(**host, shard) > own_score)
            .count();
        (rank < WATCHERS_PER_SHARD).then_some(rank)
    }

    /// Records that a check runs at `now`, and restarts all timers if this host itself was paused.
    ///
    /// A paused host receives nothing, which says nothing about the holders.
    pub fn record_check(&mut self, now: ClockTime) {
        if now.since(self.checked_at) > PAUSE_THRESHOLD_MS {
            self.last_contact.clear();
        }
        self.checked_at = now;
    }

    /// Whether the watcher of rank `rank` may reclaim shards from `holder`.
    pub fn is_suspect(
        &mut self,
        holder: IncarnationId,
        last_seen_at: Option<ClockTime>,
        rank: usize,
        now: ClockTime,
    ) -> bool {
        let last_contact = self.last_contact.entry(holder).or_insert(now);
        if let Some(last_seen_at) = last_seen_at {
            *last_contact = last_seen_at.max(*last_contact);
        }
        now.since(*last_contact) >= timing::SUSPECT_AFTER_MS + RANK_DELAY_MS * rank as u64
    }

    /// Removes the timers of incarnations for which `is_holder` is false.
    pub fn retain(&mut self, is_holder: impl Fn(IncarnationId) -> bool) {
        self.last_contact.retain(|holder, _| is_holder(*holder));
    }
}

/// Pseudo-random score that orders the hosts differently for each shard.
fn score(host: IncarnationId, shard: ShardId) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (host.0 ^ (u64::from(shard.as_u32()) + 1).wrapping_mul(MULTIPLIER))
        .wrapping_mul(MULTIPLIER);
    (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER)
}
