//! Claims free shards, reclaims shards of dead holders and evens out the
//! shards.
//!
//! Every change goes through the log. A record is valid only for the shard
//! generation that its writer saw, so hosts that race for a shard do no harm.
//! This host claims nothing without current evidence.

use std::time::Duration;

use compio::time::sleep;
use slog::info;

use crocushoist_coordination::HolderWatch;
use crocushoist_coordination::LogRecord;
use crocushoist_coordination::ShardClaim;
use crocushoist_coordination::timing;
use crocushoist_protocol::PeerServiceClient;
use crocushoist_state::ClockTime;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;
use crocushoist_transport::PeerConnection;

use crate::handover::hand_over;
use crate::handover::resend_handovers;
use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_state::HostState;
use crate::host_state::MAX_SILENCE_MS;
use crate::log_reader::read_to_tail;

/// Milliseconds between two rounds.
const ROUND_INTERVAL_MS: u64 = 200;
/// Milliseconds that the evidence must have been current before this host manages shards.
const FRESH_BEFORE_CLAIM_MS: u64 = 1_200;
/// Maximum number of hosts asked whether a suspected holder is reachable.
const MAX_WITNESSES: usize = 4;
/// Timeout of a question to such a host, in milliseconds.
const WITNESS_TIMEOUT_MS: u64 = 200;
const MAX_CLAIMS_PER_ROUND: usize = 8;

/// Runs a round of shard management at every interval, until the host stops.
pub(crate) async fn manage_shards(context: SharedContext) {
    let mut fresh_since: Option<ClockTime> = None;
    loop {
        sleep(Duration::from_millis(ROUND_INTERVAL_MS)).await;
        let now = ClockTime::now();
        if context.state.borrow().is_stopping {
            return;
        }
        if !context.state.borrow().is_fresh(now) {
            fresh_since = None;
            continue;
        }
        let since = *fresh_since.get_or_insert(now);
        if now.since(since) < FRESH_BEFORE_CLAIM_MS {
            continue;
        }
        manage_round(&context, now).await;
    }
}

/// Takes the first step that applies: claim, reclaim, resend handovers, hand over a surplus.
async fn manage_round(context: &SharedContext, now: ClockTime) {
    let claims = claims_on_free_shards(&context.state.borrow(), now);
    if !claims.is_empty() {
        append_claims(context, claims).await;
        return;
    }
    let suspects = reclaimable_shards(context, now);
    let mut reclaims = Vec::new();
    for (shard, holder) in suspects {
        let is_ended = holder.ended || holder.is_superseded_by(&context.state.borrow().own);
        if is_ended || !is_reachable_from_others(context, holder.incarnation).await {
            reclaims.push(claim_on(
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
    if resend_handovers(context).await {
        return;
    }
    let surplus = surplus_shard(&context.state.borrow(), now);
    if let Some((shard, receiver)) = surplus {
        hand_over(context, shard, &receiver).await;
    }
}

/// Number of shards per live host, rounded up.
fn quota(state: &HostState, now: ClockTime) -> usize {
    let hosts = state.live_incarnations(now).len().max(1);
    (state.replayed.table().count() as usize).div_ceil(hosts)
}

/// Claims on the free shards for which this host ranks first.
fn claims_on_free_shards(state: &HostState, now: ClockTime) -> Vec<ShardClaim> {
    let own = state.own.incarnation;
    let table = state.replayed.table();
    let quota = quota(state, now);
    let below_quota: Vec<IncarnationId> = state
        .live_incarnations(now)
        .into_iter()
        .filter(|host| table.held_by(*host).len() < quota)
        .collect();
    let room = quota.saturating_sub(table.held_by(own).len());
    table
        .iter()
        .filter(|(_, entry)| entry.holder.is_none())
        .filter(|(shard, _)| HolderWatch::rank(own, &below_quota, *shard) == Some(0))
        .take(room.min(MAX_CLAIMS_PER_ROUND))
        .filter_map(|(shard, _)| claim_on(state, shard, None))
        .collect()
}

/// Claim of this host on `shard`, taken from holder `from` or, with `None`, free.
fn claim_on(state: &HostState, shard: ShardId, from: Option<IncarnationId>) -> Option<ShardClaim> {
    let entry = state.replayed.table().get(shard)?;
    Some(ShardClaim {
        shard,
        generation: entry.generation,
        from,
        to: Some(state.own.clone()),
        offer: None,
    })
}

/// Shards whose holder has ended, or is suspected and watched by this host.
fn reclaimable_shards(context: &HostContext, now: ClockTime) -> Vec<(ShardId, ShardHolder)> {
    let mut state = context.state.borrow_mut();
    let state = &mut *state;
    let own = state.own.incarnation;
    let live = state.live_incarnations(now);
    let table = state.replayed.table();
    let directory = &state.directory;
    state.holder_watch.record_check(now);
    state.holder_watch.retain(|holder| {
        table
            .live_holders()
            .iter()
            .any(|known| known.incarnation == holder)
    });
    let watch = &mut state.holder_watch;
    table
        .iter()
        .filter_map(|(shard, entry)| Some((shard, entry.holder.as_ref()?)))
        .filter(|(_, holder)| holder.incarnation != own)
        .filter(|(shard, holder)| {
            if holder.is_superseded_by(&state.own) {
                return true;
            }
            let Some(rank) = HolderWatch::rank(own, &live, *shard) else {
                return false;
            };
            let last_seen_at = directory
                .get(holder.incarnation)
                .map(|peer| peer.last_seen_at);
            (holder.ended && rank == 0)
                || watch.is_suspect(holder.incarnation, last_seen_at, rank, now)
        })
        .map(|(shard, holder)| (shard, holder.clone()))
        .take(MAX_CLAIMS_PER_ROUND)
        .collect()
}

/// Whether another host has seen `incarnation` within the suspicion timeout.
async fn is_reachable_from_others(context: &HostContext, incarnation: IncarnationId) -> bool {
    let witnesses = witnesses_for(&context.state.borrow(), incarnation);
    let responses = witnesses.into_iter().map(|witness| async move {
        let response = witness
            .silence(
                PeerConnection::call_context(WITNESS_TIMEOUT_MS),
                incarnation.0,
            )
            .await;
        matches!(response, Ok(Some(silence)) if silence < timing::SUSPECT_AFTER_MS)
    });
    let reachable = futures_util::future::join_all(responses).await;
    reachable.contains(&true)
}

/// Hosts to ask about `incarnation`: first those that watch one of its shards.
fn witnesses_for(state: &HostState, incarnation: IncarnationId) -> Vec<PeerServiceClient> {
    let now = ClockTime::now();
    let live = state.live_incarnations(now);
    let shards = state.replayed.table().held_by(incarnation);
    let watches = |host: IncarnationId| {
        shards
            .iter()
            .any(|shard| HolderWatch::rank(host, &live, *shard).is_some())
    };
    let mut hosts: Vec<IncarnationId> = live
        .iter()
        .copied()
        .filter(|host| *host != state.own.incarnation && *host != incarnation)
        .collect();
    hosts.sort_by_key(|host| !watches(*host));
    hosts
        .into_iter()
        .filter_map(|host| {
            state
                .peer_clients
                .get(&state.directory.get(host)?.address.peers)
                .cloned()
        })
        .take(MAX_WITNESSES)
        .collect()
}

/// A shard above the quota of this host, and the live peer with the fewest shards.
fn surplus_shard(state: &HostState, now: ClockTime) -> Option<(ShardId, ShardHolder)> {
    let table = state.replayed.table();
    let held = table.held_by(state.own.incarnation);
    let (receiver, fewest) = state
        .directory
        .reachable_peers(now, MAX_SILENCE_MS)
        .map(|(incarnation, _)| (incarnation, table.held_by(incarnation).len()))
        .min_by_key(|(incarnation, count)| (*count, *incarnation))?;
    let shard = held
        .iter()
        .copied()
        .find(|shard| state.shard_buckets.is_active(*shard))?;
    let peer = state.directory.get(receiver)?;
    let receiver = ShardHolder {
        incarnation: receiver,
        address: peer.address.clone(),
        start_offset: peer.start_offset,
        ended: false,
    };
    (held.len() > fewest + 1 && held.len() > quota(state, now)).then_some((shard, receiver))
}

/// Appends `claims`, then reads the log.
///
/// A host that has not read the tail of the log since it bound its address only reads.
/// Its claims would lack the offset at which it started.
async fn append_claims(context: &HostContext, claims: Vec<ShardClaim>) {
    if context.state.borrow().own.start_offset == 0 {
        let read = read_to_tail(context, &mut context.log_client()).await;
        if read.is_err() {
            context.metrics.log_failures.inc();
        }
        return;
    }
    for claim in claims {
        let appended = context.append_record(&LogRecord::Claim(claim)).await;
        if appended.is_err() {
            context.metrics.log_failures.inc();
            return;
        }
    }
    context.state.borrow_mut().poll_urgently(ClockTime::now());
    let read = read_to_tail(context, &mut context.log_client()).await;
    if read.is_err() {
        context.metrics.log_failures.inc();
    }
}
