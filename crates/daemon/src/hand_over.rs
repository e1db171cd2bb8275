//! Hands a shard to another host with its tokens.
//!
//! Nothing is done while the log cannot be read. This host stops spending
//! first, then offers the amounts, then appends the record, which names the
//! offer. The receiver starts when it has folded the record, without a fence.
//! If the offer is not taken, no record is sent and this host goes on. Once
//! the record was sent it may take effect at any time, so this host stays
//! stopped and sends the same record again until it is folded.

use crocushoist_coordination::FleetRecord;
use crocushoist_coordination::ShardClaim;
use crocushoist_coordination::ShardOffer;
use crocushoist_protocol::OfferRequest;
use crocushoist_protocol::OfferedAmounts;
use crocushoist_state::ClockTime;
use crocushoist_state::OfferId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;
use crocushoist_transport::PeerConnection;

use crate::host_context::HostContext;
use crate::host_state::HostState;
use crate::log_reader::read_to_tail;

const OFFER_MS: u64 = 400;
const APPEND_TRIES: u32 = 4;

/// Hands `shard` to `receiver`; whether the record was appended.
pub(crate) async fn hand_over(
    context: &HostContext,
    shard: ShardId,
    receiver: &ShardHolder,
) -> bool {
    if read_to_tail(context, &mut context.log_client())
        .await
        .is_err()
    {
        return false;
    }
    let prepared = prepare(context, shard, receiver, ClockTime::now());
    let Some((offer, claim)) = prepared else {
        return false;
    };
    if !offer_to(context, receiver, offer).await {
        let mut state = context.state.borrow_mut();
        state.ledger.resume(shard, ClockTime::now());
        return false;
    }
    context
        .state
        .borrow_mut()
        .hand_overs
        .insert(shard, claim.clone());
    append_claim(context, claim).await
}

/// Sends the records of unfinished hand-overs again; whether there were any.
pub(crate) async fn resend_hand_overs(context: &HostContext) -> bool {
    let claims: Vec<ShardClaim> = context
        .state
        .borrow()
        .hand_overs
        .values()
        .cloned()
        .collect();
    let any = !claims.is_empty();
    for claim in claims {
        append_claim(context, claim).await;
    }
    any
}

async fn offer_to(context: &HostContext, receiver: &ShardHolder, offer: OfferRequest) -> bool {
    let client = context
        .state
        .borrow()
        .links
        .get(&receiver.address.peers)
        .cloned();
    match client {
        Some(client) => client
            .offer(PeerConnection::call_context(OFFER_MS), offer)
            .await
            .unwrap_or(false),
        None => false,
    }
}

fn prepare(
    context: &HostContext,
    shard: ShardId,
    receiver: &ShardHolder,
    now: ClockTime,
) -> Option<(OfferRequest, ShardClaim)> {
    let mut state = context.state.borrow_mut();
    let generation = state.fold.table().get(shard)?.generation;
    if state.hand_overs.contains_key(&shard) {
        return None;
    }
    let id = OfferId(rand::random());
    let offer = state.ledger.stop(shard, id, now)?;
    let claim = ShardClaim {
        shard,
        generation,
        from: Some(state.own.incarnation),
        to: Some(receiver.clone()),
        offer: Some(id),
    };
    Some((wire_offer(&state, offer), claim))
}

fn wire_offer(state: &HostState, offer: ShardOffer) -> OfferRequest {
    let config = state.fold.config();
    let amounts = offer
        .amounts
        .iter()
        .map(|amounts| OfferedAmounts {
            workspace: config.workspace(amounts.workspace).name.clone(),
            level: amounts.level,
            open: amounts.open,
        })
        .collect();
    OfferRequest {
        id: offer.id.0,
        shard: offer.shard.as_u32(),
        generation: offer.generation,
        next_offset: state.fold.next_offset(),
        amounts,
    }
}

async fn append_claim(context: &HostContext, claim: ShardClaim) -> bool {
    let record = FleetRecord::Claim(claim);
    for _ in 0..APPEND_TRIES {
        if context.append(&record).await.is_ok() {
            let _ = read_to_tail(context, &mut context.log_client()).await;
            return true;
        }
        context.metrics.log_failures.inc();
    }
    false
}
