//! Assignment of shards to incarnations of hosts.
//!
//! The table is built by replaying the log, so all hosts compute the same
//! table. A record is valid only if it names the current generation of its
//! shard; of two concurrent claims, every host accepts the first in the log
//! and rejects the other.
//!
//! Votes are counted by held shard, so any two majorities of one table have a
//! holder in common. An incarnation that is known to have ended can never
//! again report an old offset, so it counts as having replayed the whole log.

use cranelift_entity::EntityRef;
use cranelift_entity::PrimaryMap;
use cranelift_entity::entity_impl;

use crate::IncarnationId;
use crate::ShardHolder;

/// Number of a shard, the unit in which rate limits are assigned to hosts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(u32);
entity_impl!(ShardId, "shard");

/// Random number that identifies one offer to hand a shard over to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId(pub u64);

/// State of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardEntry {
    /// Incarnation that holds the shard, `None` if the shard is free.
    pub holder: Option<ShardHolder>,
    /// Number of times that the holder changed.
    pub generation: u32,
    /// Offset of the log record that last changed the holder.
    pub changed_offset: u64,
    /// Offer by which the previous holder handed the shard over, `None` after any other change.
    pub offer: Option<OfferId>,
}

/// State of all shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardTable {
    shards: PrimaryMap<ShardId, ShardEntry>,
}

impl ShardTable {
    /// Creates a table of `count` free shards.
    pub fn new(count: u32) -> Self {
        let shards = (0..count).map(|_| ShardEntry::default()).collect();
        ShardTable { shards }
    }

    /// Creates a table with the given entries, in shard order.
    pub fn from_entries(entries: Vec<ShardEntry>) -> Self {
        ShardTable {
            shards: entries.into_iter().collect(),
        }
    }

    /// Number of shards.
    pub fn count(&self) -> u32 {
        self.shards.len() as u32
    }

    /// Returns the entry of `shard`, if the table has one.
    pub fn get(&self, shard: ShardId) -> Option<&ShardEntry> {
        self.shards.get(shard)
    }

    /// Returns the holder of `shard`, if it has one.
    pub fn holder(&self, shard: ShardId) -> Option<&ShardHolder> {
        self.shards.get(shard)?.holder.as_ref()
    }

    /// Iterates over all shards with their entries.
    pub fn iter(&self) -> impl Iterator<Item = (ShardId, &ShardEntry)> {
        self.shards.iter()
    }

    /// Returns the shards that `incarnation` holds.
    pub fn held_by(&self, incarnation: IncarnationId) -> Vec<ShardId> {
        self.iter()
            .filter(|(_, entry)| {
                entry
                    .holder
                    .as_ref()
                    .is_some_and(|holder| holder.incarnation == incarnation)
            })
            .map(|(shard, _)| shard)
            .collect()
    }

    /// Changes the holder of `shard` from `from` to `to` and returns whether it did.
    ///
    /// Does nothing unless `generation` and `from` are current.
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
        if entry.generation != generation
            || entry.holder.as_ref().map(|holder| holder.incarnation) != from
        {
            return false;
        }
        entry.holder = to;
        entry.generation += 1;
        entry.changed_offset = offset;
        entry.offer = offer;
        true
    }

    /// Marks all holders as ended that `later` has superseded.
    pub fn mark_superseded_by(&mut self, later: &ShardHolder) {
        self.mark_ended_where(|holder| holder.is_superseded_by(later));
    }

    /// Marks `incarnation` as ended and returns whether it holds a shard.
    pub fn mark_ended(&mut self, incarnation: IncarnationId) -> bool {
        self.mark_ended_where(|holder| holder.incarnation == incarnation)
    }

    /// Marks the matching holders as ended and returns whether there was one.
    fn mark_ended_where(&mut self, matches: impl Fn(&ShardHolder) -> bool) -> bool {
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

    /// Returns the distinct holders that are not known to have ended, in shard order.
    pub fn live_holders(&self) -> Vec<&ShardHolder> {
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

    /// Returns the highest value that the holders of a majority of the held shards reach.
    ///
    /// `value` returns the value of a holder. Returns `None` if no shard is held.
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
