//! A planned stop, which cuts no request.
//!
//! The host first stops being named to callers and hands its shards over,
//! while it goes on serving. Once every address that it gave out has expired,
//! it ends the idle connections and waits for the requests in progress.

use std::time::Duration;

use compio::time::sleep;
use slog::info;

use crocushoist_state::ClockTime;
use crocushoist_state::SettingName;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;

use crate::hand_over::hand_over;
use crate::host_context::HostContext;
use crate::host_state::ALIVE_MS;

const DRAIN_CHECK_MS: u64 = 50;
const MAX_DRAIN_MS: u64 = 60_000;
const ANNOUNCE_MS: u64 = 300;

/// Stops the host; returns when no request is in progress.
pub(crate) async fn stop_host(context: &HostContext) {
    info!(context.logger, "stopping");
    let began = ClockTime::now();
    context.state.borrow_mut().stopping = true;
    sleep(Duration::from_millis(ANNOUNCE_MS)).await;
    hand_over_all(context).await;
    let ttl = {
        let state = context.state.borrow();
        state.fold.config().default_value(SettingName::AddressTtlMs)
    };
    while ClockTime::now().since(began) < u64::from(ttl) + ANNOUNCE_MS {
        sleep(Duration::from_millis(DRAIN_CHECK_MS)).await;
    }
    context.stop.raise();
    let drain_from = ClockTime::now();
    while context.stop.open_connections() > 0 && ClockTime::now().since(drain_from) < MAX_DRAIN_MS {
        sleep(Duration::from_millis(DRAIN_CHECK_MS)).await;
    }
    info!(context.logger, "stopped"; "connections_left" => context.stop.open_connections());
}

async fn hand_over_all(context: &HostContext) {
    let shards = {
        let state = context.state.borrow();
        state.fold.table().held_by(state.own.incarnation)
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
    let table = state.fold.table();
    state
        .directory
        .alive(ClockTime::now(), ALIVE_MS)
        .map(|(incarnation, peer)| ShardHolder {
            incarnation,
            address: peer.address.clone(),
            start_offset: peer.born,
            ended: false,
        })
        .min_by_key(|holder| {
            let held = table.held_by(holder.incarnation).len();
            (held, holder.incarnation.0 ^ u64::from(shard.as_u32()))
        })
}
