//! Polls the peers, with one task for each peer.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use futures_util::future::Either;
use futures_util::future::select;
use slog::warn;

use crocushoist_protocol::decode_snapshot;
use crocushoist_state::ClockTime;
use crocushoist_transport::PeerConnection;

use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_list_reader::apply_listing;
use crate::host_state::HostState;
use crate::peer_roles::PeerRoles;

const CONNECT_TIMEOUT_MS: u64 = 300;
const PULL_TIMEOUT_MS: u64 = 400;
const SNAPSHOT_TIMEOUT_MS: u64 = 5_000;
/// Milliseconds between two updates of the roles.
const ROLE_INTERVAL_MS: u64 = 200;
/// Longest wait, in milliseconds, before the polling interval is checked again.
const TICK_MS: u64 = 100;
/// Same limit, in milliseconds, while a record waits for acceptance.
const URGENT_TICK_MS: u64 = 25;
const RECONNECT_DELAY_MS: u64 = 250;

type ActivePeers = Rc<RefCell<HashSet<SocketAddr>>>;

/// Updates the roles and runs one task per peer, for as long as the process runs.
pub(crate) async fn supervise_peers(context: SharedContext) {
    let active_peers = ActivePeers::default();
    loop {
        let now = ClockTime::now();
        let to_connect = refresh_roles(&context, now);
        for address in to_connect {
            if active_peers.borrow_mut().insert(address) {
                let task = poll_peer(Rc::clone(&context), address, Rc::clone(&active_peers));
                compio::runtime::spawn(task).detach();
            }
        }
        context.log_changes();
        sleep(Duration::from_millis(ROLE_INTERVAL_MS)).await;
    }
}

/// Updates the roles and returns the peers to connect to.
fn refresh_roles(context: &HostContext, now: ClockTime) -> HashSet<SocketAddr> {
    let mut state = context.state.borrow_mut();
    state.remove_silent(now);
    let uncounted_unreadable = std::mem::take(&mut state.uncounted_unreadable);
    context
        .metrics
        .unreadable_records
        .inc_by(uncounted_unreadable);
    state.update_derived_state(now);
    state.roles = PeerRoles::new(&state, now);
    state.roles.to_connect.clone()
}

/// Connects to the peer at `address` and polls it, while the roles name it.
async fn poll_peer(context: SharedContext, address: SocketAddr, active_peers: ActivePeers) {
    while context.state.borrow().roles.to_connect.contains(&address) {
        let connection = PeerConnection::connect(
            context.local_ip(),
            address,
            CONNECT_TIMEOUT_MS,
            context.meter.clone(),
        )
        .await;
        match connection {
            Ok(connection) => {
                context
                    .state
                    .borrow_mut()
                    .peer_clients
                    .insert(address, connection.client());
                poll_until_failure(&context, address, &connection).await;
                context.state.borrow_mut().peer_clients.remove(&address);
            }
            Err(_) => {
                context.metrics.pull_failures.inc();
            }
        }
        sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
    }
    active_peers.borrow_mut().remove(&address);
}

/// Polls the peer until a pull fails, the connection closes or the roles drop the peer.
async fn poll_until_failure(
    context: &HostContext,
    address: SocketAddr,
    connection: &PeerConnection,
) {
    let mut last_pull_at: Option<ClockTime> = None;
    loop {
        let now = ClockTime::now();
        let Some(plan) = next_pull(&context.state.borrow(), address, last_pull_at, now) else {
            return;
        };
        let PullPlan { wait_ms, is_urgent } = plan;
        if wait_ms > 0 {
            let tick = if is_urgent { URGENT_TICK_MS } else { TICK_MS };
            let tick = Box::pin(sleep(Duration::from_millis(tick.min(wait_ms))));
            if let Either::Right(_) = select(tick, connection.closed()).await {
                return;
            }
            continue;
        }
        last_pull_at = Some(now);
        context
            .state
            .borrow_mut()
            .unconfirmed_peers
            .remove(&address);
        if !pull(context, connection).await {
            context.metrics.pull_failures.inc();
            return;
        }
    }
}

/// When to pull from a peer next.
struct PullPlan {
    wait_ms: u64,
    is_urgent: bool,
}

/// Time of the next pull from the peer at `address`, `None` if the roles dropped it.
///
/// A call from the peer shows that it is alive, so it postpones a poll that only detects failures.
fn next_pull(
    state: &HostState,
    address: SocketAddr,
    last_pull_at: Option<ClockTime>,
    now: ClockTime,
) -> Option<PullPlan> {
    if !state.roles.to_connect.contains(&address) {
        return None;
    }
    if state.unconfirmed_peers.contains(&address) {
        return Some(PullPlan {
            wait_ms: 0,
            is_urgent: false,
        });
    }
    let is_urgent = state.is_polling_urgently(now);
    let interval = state.roles.pull_interval(address, is_urgent);
    let since = match state.directory.peer_at(address) {
        Some(peer) if PeerRoles::is_liveness_only(interval) => {
            last_pull_at.map(|at| at.max(peer.last_seen_at))
        }
        _ => last_pull_at,
    };
    let wait_ms = since.map_or(0, |since| interval.saturating_sub(now.since(since)));
    Some(PullPlan { wait_ms, is_urgent })
}

/// Pulls once; returns whether the peer gave a usable response.
async fn pull(context: &HostContext, connection: &PeerConnection) -> bool {
    let request = context.state.borrow().pull_request();
    let requested_offset = request.next_offset;
    let sent_at = ClockTime::now();
    let Ok(response) = connection
        .client()
        .pull(PeerConnection::call_context(PULL_TIMEOUT_MS), request)
        .await
    else {
        return false;
    };
    if response.shard_count != context.settings.shard_count {
        warn!(context.logger, "peer is configured with a different number of shards";
            "peer" => response.host.peers.to_string(), "shards" => response.shard_count);
        return false;
    }
    if response.records.is_none() && response.next_offset > requested_offset {
        fetch_snapshot(context, connection).await;
    }
    let listing_age = response.listing_age;
    let listing_hash = response.listing_hash;
    context.state.borrow_mut().apply_pull_response(
        requested_offset,
        sent_at,
        response,
        ClockTime::now(),
    );
    if let Some(age) = listing_age {
        sync_listing(context, connection, listing_hash, sent_at.minus(age)).await;
    }
    true
}

/// Fetches the peer's host list if it is newer than the known one and differs.
async fn sync_listing(
    context: &HostContext,
    connection: &PeerConnection,
    hash: u64,
    read_at: ClockTime,
) {
    if !context
        .state
        .borrow_mut()
        .host_list
        .must_fetch(hash, read_at)
    {
        return;
    }
    let sent_at = ClockTime::now();
    let Ok(response) = connection
        .client()
        .listing(PeerConnection::call_context(PULL_TIMEOUT_MS))
        .await
    else {
        return;
    };
    if let Some(age) = response.age {
        let mut state = context.state.borrow_mut();
        apply_listing(&mut state, response.hosts, sent_at.minus(age));
    }
}

/// Replaces the replayed state by that of a peer that no longer keeps the requested records.
async fn fetch_snapshot(context: &HostContext, connection: &PeerConnection) {
    let Ok(response) = connection
        .client()
        .snapshot(PeerConnection::call_context(SNAPSHOT_TIMEOUT_MS))
        .await
    else {
        return;
    };
    let Ok(replayed) = decode_snapshot(&response.bytes) else {
        context.metrics.pull_failures.inc();
        return;
    };
    if replayed.table().count() == context.settings.shard_count {
        let mut state = context.state.borrow_mut();
        state.replace_replayed_state(replayed, response.accepted, ClockTime::now());
    }
}
