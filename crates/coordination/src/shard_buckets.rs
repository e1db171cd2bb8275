//! Token buckets of the shards that this host holds.
//!
//! This host grants tokens of a shard only while the shard table names this
//! incarnation as its holder, and only once the shard is active. The first
//! holder of a shard is active at once. A later holder becomes active
//! [`timing::FENCE_DELAY_MS`] after it learnt that its claim was accepted, or at once
//! if the earlier holder stopped and handed its amounts over. The claim record
//! of a handover carries the id of the offer; a claim that only has the same
//! generation must wait for the fence delay. A bucket starts empty at the time
//! its shard became active.

use std::collections::HashMap;

use crocushoist_state::ClockTime;
use crocushoist_state::GrantId;
use crocushoist_state::IncarnationId;
use crocushoist_state::OfferId;
use crocushoist_state::ShardId;
use crocushoist_state::ShardTable;
use crocushoist_state::ShareLimit;
use crocushoist_state::TokenBucket;
use crocushoist_state::WorkspaceId;
use crocushoist_state::breach;
use crocushoist_state::breach::BreachKind;

use crate::timing;

/// Why no token is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDenial {
    /// The bucket is empty.
    Empty {
        /// Milliseconds until the bucket has a token.
        wait_millis: u64,
    },
    /// This host does not hold the shard, or the shard is not active.
    NotActive,
}

/// Amounts of one bucket in a handover, in millionths of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketAmounts {
    /// Workspace of the bucket.
    pub workspace: WorkspaceId,
    /// Tokens in the bucket that may be granted.
    pub available_micros: u64,
    /// Granted tokens whose use has not been reported and that may still be spent.
    pub granted_micros: u64,
}

/// Offer of a shard and the amounts of its buckets to the next holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOffer {
    /// Id of the offer, which the claim record of the handover carries.
    pub id: OfferId,
    /// Shard that is handed over.
    pub shard: ShardId,
    /// Generation of the shard after the handover.
    pub generation: u32,
    /// Amounts of its buckets.
    pub amounts: Vec<BucketAmounts>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShardPhase {
    /// Waits for the fence delay; `accepted_at` is when this host learnt of the claim's acceptance.
    Fenced {
        accepted_at: Option<ClockTime>,
    },
    Active {
        since: ClockTime,
    },
    /// Offered to another host; grants nothing.
    Stopped,
}

#[derive(Clone, Debug)]
struct HeldShard {
    generation: u32,
    claim_offset: u64,
    phase: ShardPhase,
    buckets: HashMap<WorkspaceId, TokenBucket>,
}

/// Token buckets of the shards that this host holds.
#[derive(Clone, Debug)]
pub struct ShardBuckets {
    own: IncarnationId,
    held: HashMap<ShardId, HeldShard>,
    /// Offers to this host, each with the time of its arrival.
    offers: HashMap<ShardId, (ShardOffer, ClockTime)>,
}

impl ShardBuckets {
    /// Buckets of an incarnation that holds no shard yet.
    pub fn new(own: IncarnationId) -> Self {
        ShardBuckets {
            own,
            held: HashMap::new(),
            offers: HashMap::new(),
        }
    }

    /// Updates the held shards to `table` and activates those whose fence delay has passed.
    ///
    /// Every record below the offset `accepted` is known to be accepted.
    pub fn reconcile(&mut self, table: &ShardTable, accepted: u64, now: ClockTime) {
        let own = self.own;
        self.held.retain(|shard, held| {
            let entry = table.get(*shard);
            entry.is_some_and(|entry| {
                let is_holder = entry
                    .holder
                    .as_ref()
                    .is_some_and(|holder| holder.incarnation == own);
                is_holder && entry.generation == held.generation
            })
        });
        for shard in table.held_by(own) {
            self.start_holding(shard, table, now);
            self.activate_after_fence(shard, accepted, now);
        }
    }

    /// Grants a token of `workspace`, which may be spent for [`timing::DRAWN_TOKEN_LIFETIME_MS`].
    ///
    /// # Errors
    ///
    /// [`TokenDenial`] if the shard is not active here or the bucket is empty.
    pub fn grant(
        &mut self,
        shard: ShardId,
        workspace: WorkspaceId,
        limit: ShareLimit,
        now: ClockTime,
    ) -> Result<GrantId, TokenDenial> {
        let expires = now.plus(timing::DRAWN_TOKEN_LIFETIME_MS);
        let bucket = self.bucket(shard, workspace, limit, now)?;
        bucket
            .grant(now, expires)
            .map_err(|wait_millis| TokenDenial::Empty { wait_millis })
    }

    /// Closes a grant: a token that was not `spent` returns to the bucket.
    pub fn finish_grant(
        &mut self,
        shard: ShardId,
        workspace: WorkspaceId,
        grant: GrantId,
        spent: bool,
        now: ClockTime,
    ) {
        let held = self.held.get_mut(&shard);
        let Some(bucket) = held.and_then(|held| held.buckets.get_mut(&workspace)) else {
            return;
        };
        if spent {
            bucket.settle(grant, now);
        } else {
            bucket.return_grant(grant, now);
        }
    }

    /// Whether this host grants tokens of `shard`.
    pub fn is_active(&self, shard: ShardId) -> bool {
        self.held
            .get(&shard)
            .is_some_and(|held| matches!(held.phase, ShardPhase::Active { .. }))
    }

    /// Number of held shards, and of the active ones among them.
    pub fn held_and_active_counts(&self) -> (usize, usize) {
        let active = self
            .held
            .keys()
            .filter(|shard| self.is_active(**shard))
            .count();
        (self.held.len(), active)
    }

    /// Stops granting tokens of `shard` and returns the offer for the next holder.
    ///
    /// Returns `None` if this host does not hold the shard or still waits for the fence delay.
    pub fn stop_shard(
        &mut self,
        shard: ShardId,
        id: OfferId,
        now: ClockTime,
    ) -> Option<ShardOffer> {
        let held = self.held.get_mut(&shard)?;
        if matches!(held.phase, ShardPhase::Fenced { .. }) {
            return None;
        }
        held.phase = ShardPhase::Stopped;
        let amounts = held
            .buckets
            .iter_mut()
            .map(|(workspace, bucket)| {
                let (available_micros, granted_micros) = bucket.handover_amounts(now);
                BucketAmounts {
                    workspace: *workspace,
                    available_micros,
                    granted_micros,
                }
            })
            .collect();
        Some(ShardOffer {
            id,
            shard,
            generation: held.generation + 1,
            amounts,
        })
    }

    /// Grants tokens of `shard` again after a handover whose claim record was never sent.
    ///
    /// Must not be called once the record was sent, because it may still take effect
    /// whatever the response was.
    pub fn resume_shard(&mut self, shard: ShardId, now: ClockTime) {
        if let Some(held) = self.held.get_mut(&shard)
            && held.phase == ShardPhase::Stopped
        {
            held.phase = ShardPhase::Active { since: now };
        }
    }

    /// Stores an offer to this host until the claim record of the shard is replayed.
    pub fn store_offer(&mut self, offer: ShardOffer, now: ClockTime) {
        self.offers.insert(offer.shard, (offer, now));
    }

    /// Empties every bucket and discards all offers.
    ///
    /// Called after the replayed state was replaced, because workspace ids changed.
    pub fn reset_buckets(&mut self, now: ClockTime) {
        self.offers.clear();
        for held in self.held.values_mut() {
            held.buckets.clear();
            if let ShardPhase::Active { since } = &mut held.phase {
                *since = now;
            }
        }
    }

    fn start_holding(&mut self, shard: ShardId, table: &ShardTable, now: ClockTime) {
        if self.held.contains_key(&shard) {
            return;
        }
        let Some(entry) = table.get(shard) else {
            return;
        };
        let offer = self.offers.remove(&shard).filter(|(offer, _)| {
            offer.generation == entry.generation && Some(offer.id) == entry.offer
        });
        let phase = if entry.generation == 1 || offer.is_some() {
            ShardPhase::Active { since: now }
        } else {
            ShardPhase::Fenced { accepted_at: None }
        };
        let held = HeldShard {
            generation: entry.generation,
            claim_offset: entry.changed_offset,
            phase,
            buckets: offer
                .map(|(offer, received_at)| buckets_from_offer(&offer, received_at))
                .unwrap_or_default(),
        };
        self.held.insert(shard, held);
    }

    /// Activates `shard` once its claim has been accepted for the fence delay.
    fn activate_after_fence(&mut self, shard: ShardId, accepted: u64, now: ClockTime) {
        let Some(held) = self.held.get_mut(&shard) else {
            return;
        };
        let ShardPhase::Fenced { accepted_at } = &mut held.phase else {
            return;
        };
        if accepted <= held.claim_offset {
            return;
        }
        let since = *accepted_at.get_or_insert(now);
        if now.since(since) >= timing::FENCE_DELAY_MS {
            held.phase = ShardPhase::Active { since: now };
        }
    }

    fn bucket(
        &mut self,
        shard: ShardId,
        workspace: WorkspaceId,
        limit: ShareLimit,
        now: ClockTime,
    ) -> Result<&mut TokenBucket, TokenDenial> {
        let held = self.held.get_mut(&shard).ok_or(TokenDenial::NotActive)?;
        let ShardPhase::Active { since } = held.phase else {
            return Err(TokenDenial::NotActive);
        };
        breach::require(held.generation > 0, BreachKind::ForeignShard);
        let bucket = held
            .buckets
            .entry(workspace)
            .or_insert_with(|| TokenBucket::new(limit, since));
        bucket.change_limit(limit, now);
        Ok(bucket)
    }
}

/// Buckets with the amounts of an offer that arrived at `received_at`.
fn buckets_from_offer(
    offer: &ShardOffer,
    received_at: ClockTime,
) -> HashMap<WorkspaceId, TokenBucket> {
    let expires = received_at.plus(timing::DRAWN_TOKEN_LIFETIME_MS);
    offer
        .amounts
        .iter()
        .map(|amounts| {
            let bucket = TokenBucket::from_handover(
                received_at,
                amounts.available_micros,
                amounts.granted_micros,
                expires,
            );
            (amounts.workspace, bucket)
        })
        .collect()
}
