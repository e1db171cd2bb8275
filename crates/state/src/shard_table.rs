//! Which incarnation holds which shard.
//!
//! The table is a fold of the log: the first valid record wins and every host
//! folds the same table. A record is valid only against the generation that
//! its writer saw, so of two racing claims one is refused everywhere.
//!
//! Two majorities of one table always meet in a holder, because votes count
//! by held shard. An incarnation known to have ended can never again report
//! an old offset, so it counts as having folded everything.

use cranelift_entity::EntityRef;
use cranelift_entity::PrimaryMap;
use cranelift_entity::entity_impl;

use crate::IncarnationId;
use crate::ShardHolder;

/// Shard of the fleet's limits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(u32);
entity_impl!(ShardId, "shard");

/// Random number of one offer to hand a shard over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId(pub u64);

/// State of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardEntry {
    /// Incarnation that holds it.
    pub holder: Option<ShardHolder>,
    /// Number of changes of holder.
    pub generation: u32,
    /// Offset of the record that last changed the holder.
    pub changed_at: u64,
    /// Offer with which the earlier holder handed it over, `None` after any other change.
    pub offer: Option<OfferId>,
}

/// Holder of each shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardTable {
    shards: PrimaryMap<ShardId, ShardEntry>,
}

impl ShardTable {
    /// Table of `count` free shards.
    pub fn new(count: u32) -> Self {
        let shards = (0..count).map(|_| ShardEntry::default()).collect();
        ShardTable { shards }
    }

    /// Table with the given entries.
    pub fn from_entries(entries: Vec<ShardEntry>) -> Self {
        ShardTable {
            shards: entries.into_iter().collect(),
        }
    }

    /// Number of shards.
    pub fn count(&self) -> u32 {
        self.shards.len() as u32
    }

    /// Entry of `shard`, if the table has it.
    pub fn get(&self, shard: ShardId) -> Option<&ShardEntry> {
        self.shards.get(shard)
    }

    /// Holder of `shard`.
    pub fn holder(&self, shard: ShardId) -> Option<&ShardHolder> {
        self.shards.get(shard)?.holder.as_ref()
    }

    /// Every shard with its entry.
    pub fn iter(&self) -> impl Iterator<Item = (ShardId, &ShardEntry)> {
        self.shards.iter()
    }

    /// Shards that `incarnation` holds.
    pub fn held_by(&self, incarnation: IncarnationId) -> Vec<ShardId> {
        self.iter()
            .filter(|(_, entry)| {
                entry
                    .holder
                    .as_ref()
                    .is_some_and(|h| h.incarnation == incarnation)
            })
            .map(|(shard, _)| shard)
            .collect()
    }

    /// Gives `shard` from `from` to `to` if the generation matches; whether it did.
    pub fn change_holder(
        &mut self,
        shard: ShardId,
        generation: u32,
        from: Option<IncarnationId>,
        to: Option<ShardHolder>,
        offer: Option<OfferId>,
        offset: u64,
    ) -> bool {
        if shard.index() >= self.shards.len() {
            return false;
        }
        let entry = &mut self.shards[shard];
        if entry.generation != generation || entry.holder.as_ref().map(|h| h.incarnation) != from {
            return false;
        }
        entry.holder = to;
        entry.generation += 1;
        entry.changed_at = offset;
        entry.offer = offer;
        true
    }

    /// Marks the incarnations as ended that `later` proves to have ended.
    pub fn end_earlier_than(&mut self, later: &ShardHolder) {
        self.end_where(|holder| holder.is_ended_by(later));
    }

    /// Marks `incarnation` as ended; whether it holds a shard.
    pub fn end(&mut self, incarnation: IncarnationId) -> bool {
        self.end_where(|holder| holder.incarnation == incarnation)
    }

    fn end_where(&mut self, matches: impl Fn(&ShardHolder) -> bool) -> bool {
        let mut found = false;
        for holder in self
            .shards
            .values_mut()
            .filter_map(|entry| entry.holder.as_mut())
        {
            if matches(holder) {
                holder.ended = true;
                found = true;
            }
        }
        found
    }

    /// Distinct holders not known to have ended, in shard order.
    pub fn holders(&self) -> Vec<&ShardHolder> {
        let mut holders: Vec<&ShardHolder> = Vec::new();
        for holder in self
            .shards
            .values()
            .filter_map(|entry| entry.holder.as_ref())
        {
            if !holder.ended
                && !holders
                    .iter()
                    .any(|known| known.incarnation == holder.incarnation)
            {
                holders.push(holder);
            }
        }
        holders
    }

    /// The highest value that a majority of the held shards reaches.
    ///
    /// `value` gives the value of a holder. `None` when no shard is held.
    pub fn majority_value<V: Ord + Copy>(&self, value: impl Fn(&ShardHolder) -> V) -> Option<V> {
        let mut values: Vec<V> = self
            .shards
            .values()
            .filter_map(|entry| entry.holder.as_ref())
            .map(value)
            .collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let majority = values.len() / 2 + 1;
        values.get(majority - 1).copied()
    }
}
