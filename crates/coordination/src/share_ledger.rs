//! Token buckets of the shards that this host holds.
//!
//! A shard is spent from only while the table names this incarnation, and
//! only behind the fence: its first holder starts at once, a later one when
//! its claim has been accepted for [`timing::FENCE_MS`], or at once with the
//! amounts that the earlier holder handed over after it had stopped. The record
//! of a hand-over names its offer: a claim that merely has the same generation
//! does not pass the fence. A bucket
//! starts empty, as of the moment its shard became active.

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

/// Why a token is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDenial {
    /// The bucket has none for this many milliseconds.
    Empty {
        /// Milliseconds until a token accrues.
        wait_millis: u64,
    },
    /// The shard is not held here or not yet behind the fence.
    NotActive,
}

/// Amounts of one bucket that changes hands, in millionths of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketAmounts {
    /// Workspace of the bucket.
    pub workspace: WorkspaceId,
    /// Tokens that may be spent.
    pub level: u64,
    /// Granted tokens that may still be spent.
    pub open: u64,
}

/// Shard that changes hands with its amounts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOffer {
    /// Number of the offer, which the record of the hand-over carries.
    pub id: OfferId,
    /// Shard that changes hands.
    pub shard: ShardId,
    /// Generation that the shard has once it has changed hands.
    pub generation: u32,
    /// Amounts of its buckets.
    pub amounts: Vec<BucketAmounts>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShardPhase {
    Fenced { accepted_at: Option<ClockTime> },
    Active { since: ClockTime },
    Stopped,
}

#[derive(Clone, Debug)]
struct HeldShard {
    generation: u32,
    changed_at: u64,
    phase: ShardPhase,
    buckets: HashMap<WorkspaceId, TokenBucket>,
}

/// Token buckets of the shards that this host holds.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    own: IncarnationId,
    held: HashMap<ShardId, HeldShard>,
    offers: HashMap<ShardId, (ShardOffer, ClockTime)>,
}

impl ShareLedger {
    /// Ledger of an incarnation that holds nothing.
    pub fn new(own: IncarnationId) -> Self {
        ShareLedger {
            own,
            held: HashMap::new(),
            offers: HashMap::new(),
        }
    }

    /// Follows the table: drops shards that moved on and starts those whose fence has passed.
    pub fn reconcile(&mut self, table: &ShardTable, accepted: u64, now: ClockTime) {
        let own = self.own;
        self.held.retain(|shard, held| {
            let entry = table.get(*shard);
            entry.is_some_and(|entry| {
                let holds = entry.holder.as_ref().is_some_and(|h| h.incarnation == own);
                holds && entry.generation == held.generation
            })
        });
        for shard in table.held_by(own) {
            self.start_holding(shard, table, now);
            self.pass_fence(shard, accepted, now);
        }
    }

    /// Grants a token of `workspace`, which may be spent for [`timing::DRAWN_TOKEN_MS`].
    pub fn grant(
        &mut self,
        shard: ShardId,
        workspace: WorkspaceId,
        limit: ShareLimit,
        now: ClockTime,
    ) -> Result<GrantId, TokenDenial> {
        let expires = now.plus(timing::DRAWN_TOKEN_MS);
        let bucket = self.bucket(shard, workspace, limit, now)?;
        bucket
            .grant(now, expires)
            .map_err(|wait_millis| TokenDenial::Empty { wait_millis })
    }

    /// Closes a grant: the token was spent, or is given back unspent.
    pub fn close(
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

    /// Whether `shard` can be spent from here.
    pub fn is_active(&self, shard: ShardId) -> bool {
        self.held
            .get(&shard)
            .is_some_and(|held| matches!(held.phase, ShardPhase::Active { .. }))
    }

    /// Number of held shards, and of those that can be spent from.
    pub fn counts(&self) -> (usize, usize) {
        let active = self
            .held
            .keys()
            .filter(|shard| self.is_active(**shard))
            .count();
        (self.held.len(), active)
    }

    /// Stops spending from `shard` and returns its amounts for the next holder.
    ///
    /// `None` if the shard is not held, or not yet behind the fence.
    pub fn stop(&mut self, shard: ShardId, id: OfferId, now: ClockTime) -> Option<ShardOffer> {
        let held = self.held.get_mut(&shard)?;
        if matches!(held.phase, ShardPhase::Fenced { .. }) {
            return None;
        }
        held.phase = ShardPhase::Stopped;
        let amounts = held
            .buckets
            .iter_mut()
            .map(|(workspace, bucket)| {
                let (level, open) = bucket.handover_amounts(now);
                BucketAmounts {
                    workspace: *workspace,
                    level,
                    open,
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

    /// Spends from `shard` again after a hand-over whose record was never sent.
    ///
    /// A record that was sent may still take effect, whatever became of its reply.
    pub fn resume(&mut self, shard: ShardId, now: ClockTime) {
        if let Some(held) = self.held.get_mut(&shard)
            && held.phase == ShardPhase::Stopped
        {
            held.phase = ShardPhase::Active { since: now };
        }
    }

    /// Keeps an offer until the record that gives the shard is folded.
    pub fn note_offer(&mut self, offer: ShardOffer, now: ClockTime) {
        self.offers.insert(offer.shard, (offer, now));
    }

    /// Empties every bucket, after the fold was replaced and workspace ids changed.
    pub fn restart(&mut self, now: ClockTime) {
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
            changed_at: entry.changed_offset,
            phase,
            buckets: offer
                .map(|(offer, at)| resume_buckets(&offer, at))
                .unwrap_or_default(),
        };
        self.held.insert(shard, held);
    }

    fn pass_fence(&mut self, shard: ShardId, accepted: u64, now: ClockTime) {
        let Some(held) = self.held.get_mut(&shard) else {
            return;
        };
        let ShardPhase::Fenced { accepted_at } = &mut held.phase else {
            return;
        };
        if accepted <= held.changed_at {
            return;
        }
        let since = *accepted_at.get_or_insert(now);
        if now.since(since) >= timing::FENCE_MS {
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

/// Buckets with the amounts of an offer that arrived at `at`.
fn resume_buckets(offer: &ShardOffer, at: ClockTime) -> HashMap<WorkspaceId, TokenBucket> {
    let expires = at.plus(timing::DRAWN_TOKEN_MS);
    offer
        .amounts
        .iter()
        .map(|amounts| {
            let bucket = TokenBucket::from_handover(at, amounts.level, amounts.open, expires);
            (amounts.workspace, bucket)
        })
        .collect()
}
