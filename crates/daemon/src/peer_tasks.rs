//! Asks the peers, one task for each.

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
use crate::host_list_reader::take_listing;
use crate::host_state::HostState;
use crate::peer_roles::PeerRoles;

const CONNECT_MS: u64 = 300;
const PULL_MS: u64 = 400;
const SNAPSHOT_MS: u64 = 5_000;
const ROLE_INTERVAL_MS: u64 = 200;
const TICK_MS: u64 = 100;
const HURRIED_TICK_MS: u64 = 25;
const RECONNECT_MS: u64 = 250;

type RunningPeers = Rc<RefCell<HashSet<SocketAddr>>>;

/// Keeps one task for each peer and refreshes the roles, for as long as the process runs.
pub(crate) async fn supervise_peers(context: SharedContext) {
    let running = RunningPeers::default();
    loop {
        let now = ClockTime::now();
        let linked = refresh_roles(&context, now);
        for address in linked {
            if running.borrow_mut().insert(address) {
                let task = follow_peer(Rc::clone(&context), address, Rc::clone(&running));
                compio::runtime::spawn(task).detach();
            }
        }
        context.log_changes();
        sleep(Duration::from_millis(ROLE_INTERVAL_MS)).await;
    }
}

fn refresh_roles(context: &HostContext, now: ClockTime) -> HashSet<SocketAddr> {
    let mut state = context.state.borrow_mut();
    state.forget_silent(now);
    let unreadable = std::mem::take(&mut state.unreadable);
    context.metrics.unreadable_records.inc_by(unreadable);
    state.settle(now);
    state.roles = PeerRoles::new(&state, now);
    state.roles.linked.clone()
}

/// Asks the peer at `address` until it is no longer linked.
async fn follow_peer(context: SharedContext, address: SocketAddr, running: RunningPeers) {
    while context.state.borrow().roles.linked.contains(&address) {
        let link =
            PeerConnection::connect(context.source(), address, CONNECT_MS, context.meter.clone())
                .await;
        match link {
            Ok(link) => {
                context
                    .state
                    .borrow_mut()
                    .links
                    .insert(address, link.client());
                ask_until_failure(&context, address, &link).await;
                context.state.borrow_mut().links.remove(&address);
            }
            Err(_) => {
                context.metrics.pull_failures.inc();
            }
        }
        sleep(Duration::from_millis(RECONNECT_MS)).await;
    }
    running.borrow_mut().remove(&address);
}

async fn ask_until_failure(context: &HostContext, address: SocketAddr, link: &PeerConnection) {
    let mut asked_at: Option<ClockTime> = None;
    loop {
        let now = ClockTime::now();
        let Some(plan) = plan_pull(&context.state.borrow(), address, asked_at, now) else {
            return;
        };
        let PullPlan { wait, hurried } = plan;
        if wait > 0 {
            let tick = if hurried { HURRIED_TICK_MS } else { TICK_MS };
            let tick = Box::pin(sleep(Duration::from_millis(tick.min(wait))));
            if let Either::Right(_) = select(tick, link.closed()).await {
                return;
            }
            continue;
        }
        asked_at = Some(now);
        context.state.borrow_mut().doubted.remove(&address);
        if !pull(context, link).await {
            context.metrics.pull_failures.inc();
            return;
        }
    }
}

/// When to ask a peer next.
struct PullPlan {
    wait: u64,
    hurried: bool,
}

/// When to ask the peer at `address`, `None` if it is no longer linked.
///
/// A peer that asked this host lately need not be asked for a sign of life.
fn plan_pull(
    state: &HostState,
    address: SocketAddr,
    asked_at: Option<ClockTime>,
    now: ClockTime,
) -> Option<PullPlan> {
    if !state.roles.linked.contains(&address) {
        return None;
    }
    if state.doubted.contains(&address) {
        return Some(PullPlan {
            wait: 0,
            hurried: false,
        });
    }
    let hurried = state.is_hurrying(now);
    let interval = state.roles.pull_interval(address, hurried);
    let since = match state.directory.at(address) {
        Some(peer) if PeerRoles::is_idle(interval) => asked_at.map(|at| at.max(peer.heard_at)),
        _ => asked_at,
    };
    let wait = since.map_or(0, |since| interval.saturating_sub(now.since(since)));
    Some(PullPlan { wait, hurried })
}

/// Asks once; whether the peer answered.
async fn pull(context: &HostContext, link: &PeerConnection) -> bool {
    let request = context.state.borrow().pull_request();
    let asked_from = request.next_offset;
    let asked_at = ClockTime::now();
    let Ok(answer) = link
        .client()
        .pull(PeerConnection::call_context(PULL_MS), request)
        .await
    else {
        return false;
    };
    if answer.shard_count != context.settings.shard_count {
        warn!(context.logger, "peer folds with another number of shards";
            "peer" => answer.host.peers.to_string(), "shards" => answer.shard_count);
        return false;
    }
    if answer.records.is_none() && answer.next_offset > asked_from {
        fetch_snapshot(context, link).await;
    }
    let listing_age = answer.listing_age;
    let listing_hash = answer.listing_hash;
    context
        .state
        .borrow_mut()
        .take_pull_answer(asked_from, asked_at, answer, ClockTime::now());
    if let Some(age) = listing_age {
        follow_listing(context, link, listing_hash, asked_at.minus(age)).await;
    }
    true
}

/// Fetches the peer's listing of hosts if it is newer and differs.
async fn follow_listing(
    context: &HostContext,
    link: &PeerConnection,
    hash: u64,
    read_at: ClockTime,
) {
    if !context.state.borrow_mut().listed.must_fetch(hash, read_at) {
        return;
    }
    let asked_at = ClockTime::now();
    let Ok(answer) = link
        .client()
        .listing(PeerConnection::call_context(PULL_MS))
        .await
    else {
        return;
    };
    if let Some(age) = answer.age {
        let mut state = context.state.borrow_mut();
        take_listing(&mut state, answer.hosts, asked_at.minus(age));
    }
}

/// Continues from a peer's fold, because the peer no longer keeps the records asked for.
async fn fetch_snapshot(context: &HostContext, link: &PeerConnection) {
    let Ok(answer) = link
        .client()
        .snapshot(PeerConnection::call_context(SNAPSHOT_MS))
        .await
    else {
        return;
    };
    let Ok(fold) = decode_snapshot(&answer.bytes) else {
        context.metrics.pull_failures.inc();
        return;
    };
    if fold.table().count() == context.settings.shard_count {
        let mut state = context.state.borrow_mut();
        state.replace_fold(fold, answer.accepted, ClockTime::now());
    }
}
