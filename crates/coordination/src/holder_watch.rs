//! Which hosts watch which shard holder, and when a holder is suspected.
//!
//! A few hosts, ranked by hash, watch the holder of each shard and reclaim it
//! in the order of their ranks. Suspecting a live holder is harmless to the
//! limits, because a reclaim takes effect only behind the fence; it costs the
//! shard's tokens for that long, so other hosts are asked first.

use std::collections::HashMap;

use crocushoist_state::ClockTime;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardId;

use crate::timing;

const WATCHERS: usize = 3;
const RANK_DELAY_MS: u64 = 400;
const PAUSE_MS: u64 = 400;

/// Suspicions of one host about the holders it watches.
#[derive(Clone, Debug, Default)]
pub struct HolderWatch {
    silent_since: HashMap<IncarnationId, ClockTime>,
    checked_at: ClockTime,
}

impl HolderWatch {
    /// Rank of `own` among `hosts` for `shard`, `None` if it does not watch it.
    pub fn rank(own: IncarnationId, hosts: &[IncarnationId], shard: ShardId) -> Option<usize> {
        let score = score(own, shard);
        let rank = hosts
            .iter()
            .filter(|host| self::score(**host, shard) > score)
            .count();
        (rank < WATCHERS).then_some(rank)
    }

    /// Starts all silences anew if this host itself was paused.
    pub fn note_check(&mut self, now: ClockTime) {
        if now.since(self.checked_at) > PAUSE_MS {
            self.silent_since.clear();
        }
        self.checked_at = now;
    }

    /// Whether the watcher of rank `rank` may reclaim from `holder`, last heard at `heard_at`.
    pub fn is_suspect(
        &mut self,
        holder: IncarnationId,
        heard_at: Option<ClockTime>,
        rank: usize,
        now: ClockTime,
    ) -> bool {
        let since = self.silent_since.entry(holder).or_insert(now);
        if let Some(heard_at) = heard_at {
            *since = heard_at.max(*since);
        }
        now.since(*since) >= timing::SUSPICION_MS + RANK_DELAY_MS * rank as u64
    }

    /// Forgets holders that `is_holder` does not name.
    pub fn retain(&mut self, is_holder: impl Fn(IncarnationId) -> bool) {
        self.silent_since.retain(|holder, _| is_holder(*holder));
    }
}

fn score(host: IncarnationId, shard: ShardId) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (host.0 ^ (u64::from(shard.as_u32()) + 1).wrapping_mul(MULTIPLIER))
        .wrapping_mul(MULTIPLIER);
    (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER)
}
