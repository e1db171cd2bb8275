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
use crocushoist_transport::PeerConnection;

use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_state::HostState;
use crate::refusal::Refusal;

const DRAW_MS: u64 = 150;
const CLOSE_INTERVAL_MS: u64 = 20;
const UNREACHABLE_MS: u64 = 300;
const INACTIVE_MS: u64 = 100;

/// Token that was taken for a request.
#[derive(Clone, Copy, Debug)]
pub struct TakenToken {
    /// Workspace that it was taken for.
    pub workspace: WorkspaceId,
    /// Epoch in which the workspace id holds.
    pub epoch: u64,
    /// Time until which it may be spent.
    pub expires: ClockTime,
    shard: ShardId,
    grant: GrantId,
    lender: Option<SocketAddr>,
}

impl TakenToken {
    /// Tells the holder that the token was spent, or that it is given back unspent.
    pub fn close(self, context: &HostContext, spent: bool) {
        let mut state = context.state.borrow_mut();
        if state.epoch != self.epoch {
            return;
        }
        let Some(lender) = self.lender else {
            let now = ClockTime::now();
            state
                .ledger
                .close(self.shard, self.workspace, self.grant, spent, now);
            return;
        };
        let closed = ClosedGrant {
            shard: self.shard.as_u32(),
            workspace: state.fold.config().workspace(self.workspace).name.clone(),
            grant: self.grant.0,
            spent,
        };
        state.closed.entry(lender).or_default().push(closed);
    }
}

/// Sends closed grants to their holders, for as long as the process runs.
pub async fn send_closed_grants(context: SharedContext) {
    loop {
        sleep(Duration::from_millis(CLOSE_INTERVAL_MS)).await;
        let batches = std::mem::take(&mut context.state.borrow_mut().closed);
        for (lender, grants) in batches {
            let client = context.state.borrow().links.get(&lender).cloned();
            if let Some(client) = client {
                compio::runtime::spawn(async move {
                    let _ = client
                        .close(PeerConnection::call_context(DRAW_MS), grants)
                        .await;
                })
                .detach();
            }
        }
    }
}

/// What is known of the shares that had no token.
#[derive(Clone, Copy, Debug)]
struct DryReport {
    wait_millis: u64,
    any_empty: bool,
}

impl DryReport {
    fn note(&mut self, wait_millis: u64, is_empty: bool) {
        self.wait_millis = self.wait_millis.min(wait_millis);
        self.any_empty |= is_empty;
    }

    fn refusal(self) -> Refusal {
        let reason = if self.any_empty {
            RefusalReason::OverRate
        } else {
            RefusalReason::SharesUnreachable
        };
        Refusal::after(reason, self.wait_millis)
    }
}

/// Takes one token of `workspace`.
pub async fn take_token(
    context: &HostContext,
    workspace: WorkspaceId,
) -> Result<TakenToken, Refusal> {
    let (plan, epoch) = {
        let state = context.state.borrow();
        (state.plan_of(workspace), state.epoch)
    };
    let mut report = DryReport {
        wait_millis: timing::FENCE_MS,
        any_empty: false,
    };
    if let Some(token) = take_own(context, &plan, workspace, &mut report) {
        return Ok(token);
    }
    for (shard, _) in plan.shares() {
        if context.state.borrow().epoch != epoch {
            break;
        }
        if let Some(token) = draw_from(context, *shard, workspace, epoch, &mut report).await {
            return Ok(token);
        }
    }
    Err(report.refusal())
}

fn take_own(
    context: &HostContext,
    plan: &SharePlan,
    workspace: WorkspaceId,
    report: &mut DryReport,
) -> Option<TakenToken> {
    let now = ClockTime::now();
    let mut state = context.state.borrow_mut();
    for (shard, limit) in plan.shares() {
        match state.ledger.grant(*shard, workspace, *limit, now) {
            Ok(grant) => {
                return Some(TakenToken {
                    workspace,
                    epoch: state.epoch,
                    expires: now.plus(timing::DRAWN_TOKEN_MS),
                    shard: *shard,
                    grant,
                    lender: None,
                });
            }
            Err(TokenDenial::Empty { wait_millis }) => report.note(wait_millis, true),
            Err(TokenDenial::NotActive) => {}
        }
    }
    None
}

async fn draw_from(
    context: &HostContext,
    shard: ShardId,
    workspace: WorkspaceId,
    epoch: u64,
    report: &mut DryReport,
) -> Option<TakenToken> {
    let sent_at = ClockTime::now();
    let (holder, request) = {
        let state = context.state.borrow();
        if let Some(wait) = state.dry.wait(workspace, shard, sent_at) {
            report.note(wait, true);
            return None;
        }
        let holder = holder_to_ask(&state, shard)?;
        let request = DrawRequest {
            shard: shard.as_u32(),
            workspace: state.fold.config().workspace(workspace).name.clone(),
        };
        (holder, request)
    };
    context.metrics.draws.inc();
    let client = context.state.borrow().links.get(&holder).cloned();
    let answer = match client {
        Some(client) => client
            .draw(PeerConnection::call_context(DRAW_MS), request)
            .await
            .ok(),
        None => None,
    };
    let now = ClockTime::now();
    let (wait_millis, is_empty) = match answer {
        Some(DrawAnswer::Granted { grant }) => {
            return Some(TakenToken {
                workspace,
                epoch,
                expires: sent_at.plus(timing::DRAWN_TOKEN_MS),
                shard,
                grant: GrantId(grant),
                lender: Some(holder),
            });
        }
        Some(DrawAnswer::Empty { wait_millis }) => (wait_millis, true),
        Some(DrawAnswer::NotActive) => (INACTIVE_MS, false),
        None => {
            context.metrics.draw_failures.inc();
            (UNREACHABLE_MS, false)
        }
    };
    report.note(wait_millis, is_empty);
    let mut state = context.state.borrow_mut();
    if answer.is_none() {
        state.doubted.insert(holder);
    }
    if state.epoch == epoch {
        state.dry.note(workspace, shard, now.plus(wait_millis), now);
    }
    None
}

/// Address of the holder of `shard`, unless it is this host or has ended.
fn holder_to_ask(state: &HostState, shard: ShardId) -> Option<SocketAddr> {
    let holder = state.fold.table().holder(shard)?;
    let is_other = holder.incarnation != state.own.incarnation && !holder.ended;
    is_other.then_some(holder.address.peers)
}
