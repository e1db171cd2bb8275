//! Hands a shard to another host with its tokens.
//!
//! Nothing is done while the log cannot be read. This host stops spending first, then offers the amounts, then appends the
//! record. The receiver starts when it has folded the record, without a
//! fence. If the offer is not taken, nothing was recorded and this host goes
//! on; if the record's fate is unknown, this host stays stopped and tries the
//! same hand-over again.

use crocushoist_coordination::FleetRecord;
use crocushoist_coordination::ShardClaim;
use crocushoist_coordination::ShardOffer;
use crocushoist_protocol::OfferRequest;
use crocushoist_protocol::OfferedAmounts;
use crocushoist_state::ClockTime;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;
use crocushoist_transport::PeerLink;

use crate::host_context::HostContext;
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
    let now = ClockTime::now();
    let prepared = prepare(context, shard, receiver, now);
    let Some((offer, claim)) = prepared else {
        return false;
    };
    let client = context
        .state
        .borrow()
        .links
        .get(&receiver.address.peers)
        .cloned();
    let taken = match client {
        Some(client) => client
            .offer(PeerLink::context(OFFER_MS), offer)
            .await
            .unwrap_or(false),
        None => false,
    };
    if !taken {
        context
            .state
            .borrow_mut()
            .ledger
            .resume(shard, ClockTime::now());
        return false;
    }
    append_claim(context, claim).await
}

fn prepare(
    context: &HostContext,
    shard: ShardId,
    receiver: &ShardHolder,
    now: ClockTime,
) -> Option<(OfferRequest, ShardClaim)> {
    let mut state = context.state.borrow_mut();
    let generation = state.fold.table().get(shard)?.generation;
    let offer = state.ledger.stop(shard, now)?;
    let claim = ShardClaim {
        shard,
        generation,
        from: Some(state.own.incarnation),
        to: Some(receiver.clone()),
    };
    Some((wire_offer(&state, offer), claim))
}

fn wire_offer(state: &crate::host_state::HostState, offer: ShardOffer) -> OfferRequest {
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
