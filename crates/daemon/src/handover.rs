//! Hands a shard to another host together with its tokens.
//!
//! A handover starts only while the log can be read. This host stops spending
//! from the shard, then offers the token amounts to the receiver, then appends
//! a record that names the offer. The receiver starts to spend as soon as it
//! has applied the record, without the fence delay.
//!
//! If the receiver does not accept the offer, no record is appended and this
//! host resumes spending. A record that was sent may take effect at any time,
//! so from then on this host stays stopped and sends the same record again
//! until it is applied.

use crocushoist_coordination::LogRecord;
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

/// Timeout of an offer to the receiver, in milliseconds.
const OFFER_TIMEOUT_MS: u64 = 400;
/// Maximum number of appends of one record in a row.
const MAX_APPEND_ATTEMPTS: u32 = 4;

/// Hands `shard` to `receiver`; returns whether the record was appended.
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
    let prepared = prepare_offer(context, shard, receiver, ClockTime::now());
    let Some((offer, claim)) = prepared else {
        return false;
    };
    if !offer_to(context, receiver, offer).await {
        let mut state = context.state.borrow_mut();
        state.shard_buckets.resume_shard(shard, ClockTime::now());
        return false;
    }
    context
        .state
        .borrow_mut()
        .pending_handovers
        .insert(shard, claim.clone());
    append_claim(context, claim).await
}

/// Sends the records of pending handovers again; returns whether there were any.
pub(crate) async fn resend_handovers(context: &HostContext) -> bool {
    let claims: Vec<ShardClaim> = context
        .state
        .borrow()
        .pending_handovers
        .values()
        .cloned()
        .collect();
    let any = !claims.is_empty();
    for claim in claims {
        append_claim(context, claim).await;
    }
    any
}

/// Sends the offer; returns whether the receiver accepted it.
async fn offer_to(context: &HostContext, receiver: &ShardHolder, offer: OfferRequest) -> bool {
    let client = context
        .state
        .borrow()
        .peer_clients
        .get(&receiver.address.peers)
        .cloned();
    match client {
        Some(client) => client
            .offer(PeerConnection::call_context(OFFER_TIMEOUT_MS), offer)
            .await
            .unwrap_or(false),
        None => false,
    }
}

/// Stops spending from `shard` and returns the offer with the claim to append.
///
/// `None` if a handover of the shard is pending or the shard is not active here.
fn prepare_offer(
    context: &HostContext,
    shard: ShardId,
    receiver: &ShardHolder,
    now: ClockTime,
) -> Option<(OfferRequest, ShardClaim)> {
    let mut state = context.state.borrow_mut();
    let generation = state.replayed.table().get(shard)?.generation;
    if state.pending_handovers.contains_key(&shard) {
        return None;
    }
    let id = OfferId(rand::random());
    let offer = state.shard_buckets.stop_shard(shard, id, now)?;
    let claim = ShardClaim {
        shard,
        generation,
        from: Some(state.own.incarnation),
        to: Some(receiver.clone()),
        offer: Some(id),
    };
    Some((offer_request(&state, offer), claim))
}

/// Request that offers the token amounts in `offer`, with workspaces by name.
fn offer_request(state: &HostState, offer: ShardOffer) -> OfferRequest {
    let config = state.replayed.config();
    let amounts = offer
        .amounts
        .iter()
        .map(|amounts| OfferedAmounts {
            workspace: config.workspace(amounts.workspace).name.clone(),
            level: amounts.available_micros,
            open: amounts.granted_micros,
        })
        .collect();
    OfferRequest {
        id: offer.id.0,
        shard: offer.shard.as_u32(),
        generation: offer.generation,
        next_offset: state.replayed.next_offset(),
        amounts,
    }
}

/// Appends `claim` and reads the log; returns whether the append succeeded.
async fn append_claim(context: &HostContext, claim: ShardClaim) -> bool {
    let record = LogRecord::Claim(claim);
    for _ in 0..MAX_APPEND_ATTEMPTS {
        if context.append_record(&record).await.is_ok() {
            let _ = read_to_tail(context, &mut context.log_client()).await;
            return true;
        }
        context.metrics.log_failures.inc();
    }
    false
}
