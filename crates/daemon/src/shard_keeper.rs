//! Claims free shards, reclaims those of dead holders and evens them out.
//!
//! All of it goes through the log: a record is valid only against the
//! generation that its writer saw, so racing keepers are harmless. Nothing is
//! claimed without current evidence.

use std::time::Duration;

use compio::time::sleep;
use slog::info;

use crocushoist_coordination::FleetRecord;
use crocushoist_coordination::HolderWatch;
use crocushoist_coordination::ShardClaim;
use crocushoist_coordination::timing;
use crocushoist_protocol::PeerServiceClient;
use crocushoist_state::ClockTime;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;
use crocushoist_transport::PeerConnection;

use crate::hand_over::hand_over;
use crate::hand_over::resend_hand_overs;
use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_state::ALIVE_MS;
use crate::host_state::HostState;
use crate::log_reader::read_to_tail;

const KEEP_INTERVAL_MS: u64 = 200;
const SETTLE_MS: u64 = 1_200;
const WITNESSES: usize = 4;
const WITNESS_MS: u64 = 200;
const MAX_CLAIMS_PER_ROUND: usize = 8;

/// Keeps this host's part of the shards, until the host stops.
pub(crate) async fn keep_shards(context: SharedContext) {
    let mut fresh_since: Option<ClockTime> = None;
    loop {
        sleep(Duration::from_millis(KEEP_INTERVAL_MS)).await;
        let now = ClockTime::now();
        if context.state.borrow().stopping {
            return;
        }
        if !context.state.borrow().is_fresh(now) {
            fresh_since = None;
            continue;
        }
        let since = *fresh_since.get_or_insert(now);
        if now.since(since) < SETTLE_MS {
            continue;
        }
        keep_round(&context, now).await;
    }
}

async fn keep_round(context: &SharedContext, now: ClockTime) {
    let claims = claims_of_free(&context.state.borrow(), now);
    if !claims.is_empty() {
        append_claims(context, claims).await;
        return;
    }
    let suspects = suspects_of(context, now);
    let mut reclaims = Vec::new();
    for (shard, holder) in suspects {
        let is_ended = holder.ended || holder.is_superseded_by(&context.state.borrow().own);
        if is_ended || !is_heard_elsewhere(context, holder.incarnation).await {
            reclaims.push(claim_of(
                &context.state.borrow(),
                shard,
                Some(holder.incarnation),
            ));
        }
    }
    if !reclaims.is_empty() {
        context.metrics.reclaims.inc_by(reclaims.len() as u64);
        info!(context.logger, "reclaiming shards"; "count" => reclaims.len());
        append_claims(context, reclaims.into_iter().flatten().collect()).await;
        return;
    }
    if resend_hand_overs(context).await {
        return;
    }
    let surplus = surplus_of(&context.state.borrow(), now);
    if let Some((shard, receiver)) = surplus {
        hand_over(context, shard, &receiver).await;
    }
}

/// Number of shards that each host holds when they are even, rounded up.
fn quota(state: &HostState, now: ClockTime) -> usize {
    let hosts = state.alive_incarnations(now).len().max(1);
    (state.fold.table().count() as usize).div_ceil(hosts)
}

/// Claims of the free shards that fall to this host.
fn claims_of_free(state: &HostState, now: ClockTime) -> Vec<ShardClaim> {
    let own = state.own.incarnation;
    let table = state.fold.table();
    let quota = quota(state, now);
    let open: Vec<IncarnationId> = state
        .alive_incarnations(now)
        .into_iter()
        .filter(|host| table.held_by(*host).len() < quota)
        .collect();
    let room = quota.saturating_sub(table.held_by(own).len());
    table
        .iter()
        .filter(|(_, entry)| entry.holder.is_none())
        .filter(|(shard, _)| HolderWatch::rank(own, &open, *shard) == Some(0))
        .take(room.min(MAX_CLAIMS_PER_ROUND))
        .filter_map(|(shard, _)| claim_of(state, shard, None))
        .collect()
}

fn claim_of(state: &HostState, shard: ShardId, from: Option<IncarnationId>) -> Option<ShardClaim> {
    let entry = state.fold.table().get(shard)?;
    Some(ShardClaim {
        shard,
        generation: entry.generation,
        from,
        to: Some(state.own.clone()),
        offer: None,
    })
}

/// Shards whose holders this host watches and may reclaim from.
fn suspects_of(context: &HostContext, now: ClockTime) -> Vec<(ShardId, ShardHolder)> {
    let mut state = context.state.borrow_mut();
    let state = &mut *state;
    let own = state.own.incarnation;
    let alive = state.alive_incarnations(now);
    let table = state.fold.table();
    let directory = &state.directory;
    state.watch.note_check(now);
    state.watch.retain(|holder| {
        table
            .live_holders()
            .iter()
            .any(|known| known.incarnation == holder)
    });
    let watch = &mut state.watch;
    table
        .iter()
        .filter_map(|(shard, entry)| Some((shard, entry.holder.as_ref()?)))
        .filter(|(_, holder)| holder.incarnation != own)
        .filter(|(shard, holder)| {
            if holder.is_superseded_by(&state.own) {
                return true;
            }
            let Some(rank) = HolderWatch::rank(own, &alive, *shard) else {
                return false;
            };
            let heard_at = directory.get(holder.incarnation).map(|peer| peer.heard_at);
            (holder.ended && rank == 0) || watch.is_suspect(holder.incarnation, heard_at, rank, now)
        })
        .map(|(shard, holder)| (shard, holder.clone()))
        .take(MAX_CLAIMS_PER_ROUND)
        .collect()
}

/// Whether another host heard `incarnation` within the time of suspicion.
async fn is_heard_elsewhere(context: &HostContext, incarnation: IncarnationId) -> bool {
    let witnesses = witnesses_for(&context.state.borrow(), incarnation);
    let answers = witnesses.into_iter().map(|witness| async move {
        let answer = witness
            .silence(PeerConnection::call_context(WITNESS_MS), incarnation.0)
            .await;
        matches!(answer, Ok(Some(silence)) if silence < timing::SUSPICION_MS)
    });
    let heard = futures_util::future::join_all(answers).await;
    heard.contains(&true)
}

/// Hosts that watch a shard of `incarnation` or are near in the order of incarnations.
fn witnesses_for(state: &HostState, incarnation: IncarnationId) -> Vec<PeerServiceClient> {
    let now = ClockTime::now();
    let alive = state.alive_incarnations(now);
    let shards = state.fold.table().held_by(incarnation);
    let watches = |host: IncarnationId| {
        shards
            .iter()
            .any(|shard| HolderWatch::rank(host, &alive, *shard).is_some())
    };
    let mut hosts: Vec<IncarnationId> = alive
        .iter()
        .copied()
        .filter(|host| *host != state.own.incarnation && *host != incarnation)
        .collect();
    hosts.sort_by_key(|host| !watches(*host));
    hosts
        .into_iter()
        .filter_map(|host| {
            state
                .links
                .get(&state.directory.get(host)?.address.peers)
                .cloned()
        })
        .take(WITNESSES)
        .collect()
}

/// A shard that this host has too many of, and who should have it.
fn surplus_of(state: &HostState, now: ClockTime) -> Option<(ShardId, ShardHolder)> {
    let table = state.fold.table();
    let held = table.held_by(state.own.incarnation);
    let (receiver, fewest) = state
        .directory
        .alive(now, ALIVE_MS)
        .map(|(incarnation, _)| (incarnation, table.held_by(incarnation).len()))
        .min_by_key(|(incarnation, count)| (*count, *incarnation))?;
    let shard = held
        .iter()
        .copied()
        .find(|shard| state.ledger.is_active(*shard))?;
    let peer = state.directory.get(receiver)?;
    let receiver = ShardHolder {
        incarnation: receiver,
        address: peer.address.clone(),
        start_offset: peer.born,
        ended: false,
    };
    (held.len() > fewest + 1 && held.len() > quota(state, now)).then_some((shard, receiver))
}

/// Appends claims, once this host has read the log's tail after it was bound to its address.
async fn append_claims(context: &HostContext, claims: Vec<ShardClaim>) {
    if context.state.borrow().own.start_offset == 0 {
        let read = read_to_tail(context, &mut context.log_client()).await;
        if read.is_err() {
            context.metrics.log_failures.inc();
        }
        return;
    }
    for claim in claims {
        let appended = context.append(&FleetRecord::Claim(claim)).await;
        if appended.is_err() {
            context.metrics.log_failures.inc();
            return;
        }
    }
    context.state.borrow_mut().hurry(ClockTime::now());
    let read = read_to_tail(context, &mut context.log_client()).await;
    if read.is_err() {
        context.metrics.log_failures.inc();
    }
}
