//! Takes the token that a request needs.
//!
//! Shares held here are tried first, then those of other hosts in placement
//! order. A share that lately had none is not asked again before it can have
//! one. The token's life starts when the draw is sent.

use std::net::SocketAddr;
use std::time::Duration;

use compio::time::sleep;

use crocushoist_coordination::TokenDenial;
use crocushoist_coordination::timing;
use crocushoist_protocol::ClosedGrant;
use crocushoist_protocol::DrawAnswer;
use crocushoist_protocol::DrawRequest;
use crocushoist_protocol::RefusalReason;
use crocushoist_state::ClockTime;
use crocushoist_state::GrantId;
use crocushoist_state::ShardId;
use crocushoist_state::SharePlan;
use crocushoist_state::WorkspaceId;
use crocushoist_transport::PeerLink;

use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_state::HostState;
use crate::refusal::Refusal;

const DRAW_TIMEOUT_MS: u64 = 150;
const CLOSE_INTERVAL_MS: u64 = 20;
const UNREACHABLE_BACKOFF_MS: u64 = 300;
const INACTIVE_BACKOFF_MS: u64 = 100;

/// Token that was taken for a request.
#[derive(Clone, Copy, Debug)]
pub struct AcquiredToken {
    /// Workspace that it was taken for.
    pub workspace: WorkspaceId,
    /// Epoch in which the workspace id holds.
    pub epoch: u64,
    /// Time until which it may be spent.
    pub expires_at: ClockTime,
    shard: ShardId,
    grant: GrantId,
    remote_holder: Option<SocketAddr>,
}

impl AcquiredToken {
    /// Tells the holder that the token was spent, or that it is given back unspent.
    pub fn close(self, context: &HostContext, spent: bool) {
        let mut state = context.state.borrow_mut();
        if state.epoch != self.epoch {
            return;
        }
        let Some(remote_holder) = self.remote_holder else {
            let now = ClockTime::now();
            state
                .ledger
                .close(self.shard, self.workspace, self.grant, spent, now);
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

/// Sends closed grants to their holders, for as long as the process runs.
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
                        .close(PeerLink::context(DRAW_TIMEOUT_MS), grants)
                        .await;
                })
                .detach();
            }
        }
    }
}

/// What is known of the shares that had no token.
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

/// Takes one token of `workspace`.
pub async fn acquire_token(
    context: &HostContext,
    workspace: WorkspaceId,
) -> Result<AcquiredToken, Refusal> {
    let (plan, epoch) = {
        let state = context.state.borrow();
        (state.share_plan(workspace), state.epoch)
    };
    let mut failures = ShareFailures {
        min_wait_ms: timing::FENCE_MS,
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

fn acquire_local(
    context: &HostContext,
    plan: &SharePlan,
    workspace: WorkspaceId,
    failures: &mut ShareFailures,
) -> Option<AcquiredToken> {
    let now = ClockTime::now();
    let mut state = context.state.borrow_mut();
    for (shard, limit) in plan.shares() {
        match state.ledger.grant(*shard, workspace, *limit, now) {
            Ok(grant) => {
                return Some(AcquiredToken {
                    workspace,
                    epoch: state.epoch,
                    expires_at: now.plus(timing::DRAWN_TOKEN_MS),
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
        if let Some(wait) = state.empty_shares.wait(workspace, shard, sent_at) {
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
    let answer = match client {
        Some(client) => client
            .draw(PeerLink::context(DRAW_TIMEOUT_MS), request)
            .await
            .ok(),
        None => None,
    };
    let now = ClockTime::now();
    let (wait_ms, is_empty) = match answer {
        Some(DrawAnswer::Granted { grant }) => {
            return Some(AcquiredToken {
                workspace,
                epoch,
                expires_at: sent_at.plus(timing::DRAWN_TOKEN_MS),
                shard,
                grant: GrantId(grant),
                remote_holder: Some(holder),
            });
        }
        Some(DrawAnswer::Empty { wait_millis }) => (wait_millis, true),
        Some(DrawAnswer::NotActive) => (INACTIVE_BACKOFF_MS, false),
        None => {
            context.metrics.draw_failures.inc();
            (UNREACHABLE_BACKOFF_MS, false)
        }
    };
    failures.record(wait_ms, is_empty);
    let mut state = context.state.borrow_mut();
    if answer.is_none() {
        state.unconfirmed_peers.insert(holder);
    }
    if state.epoch == epoch {
        state
            .empty_shares
            .note(workspace, shard, now.plus(wait_ms), now);
    }
    None
}

/// Address of the holder of `shard`, unless it is this host or has ended.
fn live_remote_holder(state: &HostState, shard: ShardId) -> Option<SocketAddr> {
    let holder = state.replayed.table().holder(shard)?;
    let is_other = holder.incarnation != state.own.incarnation && !holder.ended;
    is_other.then_some(holder.address.peers)
}
