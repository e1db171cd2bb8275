//! Acquires the rate-limit token that a keyed request needs.
//!
//! Shares held by this host are tried first, then shares of other hosts in
//! placement order. A share that recently was empty is not asked again before
//! it can have a token. The lifetime of a token drawn from another host starts
//! when the draw is sent, so that network delay never extends it.

use std::net::SocketAddr;
use std::time::Duration;

use compio::time::sleep;

use crocushoist_coordination::TokenDenial;
use crocushoist_coordination::timing;
use crocushoist_protocol::ClosedGrant;
use crocushoist_protocol::DrawRequest;
use crocushoist_protocol::DrawResponse;
use crocushoist_protocol::RefusalReason;
use crocushoist_state::ClockTime;
use crocushoist_state::GrantId;
use crocushoist_state::ShardId;
use crocushoist_state::SharePlan;
use crocushoist_state::WorkspaceId;
use crocushoist_transport::PeerConnection;

use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_state::HostState;
use crate::refusal::Refusal;

/// Timeout of a draw, and of a report of closed grants, in milliseconds.
const DRAW_TIMEOUT_MS: u64 = 150;
/// Milliseconds between two reports of closed grants.
const CLOSE_INTERVAL_MS: u64 = 20;
/// Milliseconds without draws from a share whose holder did not respond.
const UNREACHABLE_BACKOFF_MS: u64 = 300;
/// Milliseconds without draws from a share whose holder responded that it cannot grant tokens.
const INACTIVE_BACKOFF_MS: u64 = 100;

/// Rate-limit token acquired for one request.
#[derive(Clone, Copy, Debug)]
pub struct AcquiredToken {
    /// Workspace whose limit the token counts against.
    pub workspace: WorkspaceId,
    /// Epoch of the replayed state in which the workspace id is valid.
    pub epoch: u64,
    /// Time at which the token expires.
    pub expires_at: ClockTime,
    shard: ShardId,
    grant: GrantId,
    remote_holder: Option<SocketAddr>,
}

impl AcquiredToken {
    /// Reports the token to its shard holder as spent or returned unspent.
    ///
    /// Does nothing if the replayed state was replaced since the token was acquired.
    pub fn close(self, context: &HostContext, spent: bool) {
        let mut state = context.state.borrow_mut();
        if state.epoch != self.epoch {
            return;
        }
        let Some(remote_holder) = self.remote_holder else {
            let now = ClockTime::now();
            state
                .shard_buckets
                .finish_grant(self.shard, self.workspace, self.grant, spent, now);
            return;
        };
        let closed = ClosedGrant {
            shard: self.shard.as_u32(),
            workspace: state
                .replayed
                .config()
                .workspace(self.workspace)
                .name
                .clone(),
            grant: self.grant.0,
            spent,
        };
        state
            .closed_grants
            .entry(remote_holder)
            .or_default()
            .push(closed);
    }
}

/// Sends closed grants to the shard holders, for as long as the process runs.
pub async fn send_closed_grants(context: SharedContext) {
    loop {
        sleep(Duration::from_millis(CLOSE_INTERVAL_MS)).await;
        let batches = std::mem::take(&mut context.state.borrow_mut().closed_grants);
        for (remote_holder, grants) in batches {
            let client = context
                .state
                .borrow()
                .peer_clients
                .get(&remote_holder)
                .cloned();
            if let Some(client) = client {
                compio::runtime::spawn(async move {
                    let _ = client
                        .close(PeerConnection::call_context(DRAW_TIMEOUT_MS), grants)
                        .await;
                })
                .detach();
            }
        }
    }
}

/// Summary of the shares that granted no token.
#[derive(Clone, Copy, Debug)]
struct ShareFailures {
    min_wait_ms: u64,
    is_any_empty: bool,
}

impl ShareFailures {
    fn record(&mut self, wait_ms: u64, is_empty: bool) {
        self.min_wait_ms = self.min_wait_ms.min(wait_ms);
        self.is_any_empty |= is_empty;
    }

    fn refusal(self) -> Refusal {
        let reason = if self.is_any_empty {
            RefusalReason::OverRate
        } else {
            RefusalReason::SharesUnreachable
        };
        Refusal::with_retry_after(reason, self.min_wait_ms)
    }
}

/// Acquires one token of `workspace`, or returns why no share granted one.
pub async fn acquire_token(
    context: &HostContext,
    workspace: WorkspaceId,
) -> Result<AcquiredToken, Refusal> {
    let (plan, epoch) = {
        let state = context.state.borrow();
        (state.share_plan(workspace), state.epoch)
    };
    let mut failures = ShareFailures {
        min_wait_ms: timing::FENCE_DELAY_MS,
        is_any_empty: false,
    };
    if let Some(token) = acquire_local(context, &plan, workspace, &mut failures) {
        return Ok(token);
    }
    for (shard, _) in plan.shares() {
        if context.state.borrow().epoch != epoch {
            break;
        }
        if let Some(token) =
            draw_from_holder(context, *shard, workspace, epoch, &mut failures).await
        {
            return Ok(token);
        }
    }
    Err(failures.refusal())
}

/// Acquires a token from a share that this host holds.
fn acquire_local(
    context: &HostContext,
    plan: &SharePlan,
    workspace: WorkspaceId,
    failures: &mut ShareFailures,
) -> Option<AcquiredToken> {
    let now = ClockTime::now();
    let mut state = context.state.borrow_mut();
    for (shard, limit) in plan.shares() {
        match state.shard_buckets.grant(*shard, workspace, *limit, now) {
            Ok(grant) => {
                return Some(AcquiredToken {
                    workspace,
                    epoch: state.epoch,
                    expires_at: now.plus(timing::DRAWN_TOKEN_LIFETIME_MS),
                    shard: *shard,
                    grant,
                    remote_holder: None,
                });
            }
            Err(TokenDenial::Empty { wait_millis }) => failures.record(wait_millis, true),
            Err(TokenDenial::NotActive) => {}
        }
    }
    None
}

/// Draws a token from the holder of `shard`, unless the share is known to be empty.
async fn draw_from_holder(
    context: &HostContext,
    shard: ShardId,
    workspace: WorkspaceId,
    epoch: u64,
    failures: &mut ShareFailures,
) -> Option<AcquiredToken> {
    let sent_at = ClockTime::now();
    let (holder, request) = {
        let state = context.state.borrow();
        if let Some(wait) = state.empty_shares.remaining_ms(workspace, shard, sent_at) {
            failures.record(wait, true);
            return None;
        }
        let holder = live_remote_holder(&state, shard)?;
        let request = DrawRequest {
            shard: shard.as_u32(),
            workspace: state.replayed.config().workspace(workspace).name.clone(),
        };
        (holder, request)
    };
    context.metrics.draws.inc();
    let client = context.state.borrow().peer_clients.get(&holder).cloned();
    let response = match client {
        Some(client) => client
            .draw(PeerConnection::call_context(DRAW_TIMEOUT_MS), request)
            .await
            .ok(),
        None => None,
    };
    let now = ClockTime::now();
    let (wait_ms, is_empty) = match response {
        Some(DrawResponse::Granted { grant }) => {
            return Some(AcquiredToken {
                workspace,
                epoch,
                expires_at: sent_at.plus(timing::DRAWN_TOKEN_LIFETIME_MS),
                shard,
                grant: GrantId(grant),
                remote_holder: Some(holder),
            });
        }
        Some(DrawResponse::Empty { wait_millis }) => (wait_millis, true),
        Some(DrawResponse::NotActive) => (INACTIVE_BACKOFF_MS, false),
        None => {
            context.metrics.draw_failures.inc();
            (UNREACHABLE_BACKOFF_MS, false)
        }
    };
    failures.record(wait_ms, is_empty);
    let mut state = context.state.borrow_mut();
    if response.is_none() {
        state.unconfirmed_peers.insert(holder);
    }
    if state.epoch == epoch {
        state
            .empty_shares
            .back_off_until(workspace, shard, now.plus(wait_ms), now);
    }
    None
}

/// Peer address of the holder of `shard`, unless it is this host or has ended.
fn live_remote_holder(state: &HostState, shard: ShardId) -> Option<SocketAddr> {
    let holder = state.replayed.table().holder(shard)?;
    let is_other = holder.incarnation != state.own.incarnation && !holder.ended;
    is_other.then_some(holder.address.peers)
}
