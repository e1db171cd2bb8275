//! Planned stop, during which no request is cut off.
//!
//! The host stops being advertised to callers and hands over its shards, while
//! it still serves requests. Once every address that it advertised has
//! expired, it accepts no more connections. It closes those that are idle
//! somewhat later, because a caller that just connected still sends a request,
//! and waits for the requests in progress.

use std::time::Duration;

use compio::time::sleep;
use slog::info;

use crocushoist_state::ClockTime;
use crocushoist_state::SettingName;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;

use crate::handover::hand_over;
use crate::host_context::HostContext;
use crate::host_state::MAX_SILENCE_MS;

/// Milliseconds between two checks whether the host may go on with the stop.
const DRAIN_CHECK_MS: u64 = 50;
/// Longest wait for requests in progress, in milliseconds.
const MAX_DRAIN_MS: u64 = 60_000;
/// Milliseconds from the end of the acceptance of connections until idle ones are closed.
const LAST_REQUEST_MS: u64 = 500;
/// Milliseconds for peers to learn that this host is stopping.
const ANNOUNCEMENT_MS: u64 = 300;

/// Stops the host; returns when no caller is connected or the drain time is over.
pub(crate) async fn stop_host(context: &HostContext) {
    info!(context.logger, "stopping");
    let stop_started_at = ClockTime::now();
    context.state.borrow_mut().is_stopping = true;
    sleep(Duration::from_millis(ANNOUNCEMENT_MS)).await;
    hand_over_all_shards(context).await;
    let ttl = {
        let state = context.state.borrow();
        state
            .replayed
            .config()
            .default_value(SettingName::AddressTtlMs)
    };
    while ClockTime::now().since(stop_started_at) < u64::from(ttl) + ANNOUNCEMENT_MS {
        sleep(Duration::from_millis(DRAIN_CHECK_MS)).await;
    }
    context.stop.close_listener();
    sleep(Duration::from_millis(LAST_REQUEST_MS)).await;
    context.stop.close_connections();
    let drain_started_at = ClockTime::now();
    while !context.stop.has_ended() && ClockTime::now().since(drain_started_at) < MAX_DRAIN_MS {
        sleep(Duration::from_millis(DRAIN_CHECK_MS)).await;
    }
    info!(context.logger, "stopped"; "connections_left" => context.stop.open_connections());
}

async fn hand_over_all_shards(context: &HostContext) {
    let shards = {
        let state = context.state.borrow();
        state.replayed.table().held_by(state.own.incarnation)
    };
    for shard in shards {
        let Some(receiver) = receiver_for(context, shard) else {
            return;
        };
        hand_over(context, shard, &receiver).await;
    }
}

/// The live host that holds the fewest shards.
fn receiver_for(context: &HostContext, shard: ShardId) -> Option<ShardHolder> {
    let state = context.state.borrow();
    let table = state.replayed.table();
    state
        .directory
        .reachable_peers(ClockTime::now(), MAX_SILENCE_MS)
        .map(|(incarnation, peer)| ShardHolder {
            incarnation,
            address: peer.address.clone(),
            start_offset: peer.start_offset,
            ended: false,
        })
        .min_by_key(|holder| {
            let held = table.held_by(holder.incarnation).len();
            (held, holder.incarnation.0 ^ u64::from(shard.as_u32()))
        })
}
