//! Answers the calls of peers.

use tarpc::context::Context;

use crocushoist_coordination::BucketAmounts;
use crocushoist_coordination::PeerState;
use crocushoist_coordination::ShardOffer;
use crocushoist_coordination::TokenDenial;
use crocushoist_protocol::ClosedGrant;
use crocushoist_protocol::DrawAnswer;
use crocushoist_protocol::DrawRequest;
use crocushoist_protocol::OfferRequest;
use crocushoist_protocol::PeerService;
use crocushoist_protocol::PullAnswer;
use crocushoist_protocol::PullRequest;
use crocushoist_protocol::SnapshotAnswer;
use crocushoist_protocol::WireHolder;
use crocushoist_protocol::encode_snapshot;
use crocushoist_state::ClockTime;
use crocushoist_state::GrantId;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;

use crate::host_context::SharedContext;

const MAX_PULL_BYTES: usize = 256 * 1024;

/// Answers the calls of peers.
#[derive(Clone)]
pub(crate) struct PeerServer {
    context: SharedContext,
}

impl PeerServer {
    /// Server that answers from `context`.
    pub(crate) fn new(context: SharedContext) -> Self {
        PeerServer { context }
    }

    fn note_asker(&self, request: &PullRequest, now: ClockTime) {
        let asker = ShardHolder::from(request.asker.clone());
        let mut state = self.context.state.borrow_mut();
        state
            .acceptance
            .note_folded(asker.incarnation, request.next_offset);
        let heard_at = state
            .directory
            .get(asker.incarnation)
            .map_or(now, |peer| peer.heard_at);
        let peer = PeerState {
            address: asker.address,
            heard_at,
            next_offset: request.next_offset,
            leaving: request.leaving,
        };
        state.directory.note(asker.incarnation, peer);
    }
}

impl PeerService for PeerServer {
    async fn pull(self, _: Context, request: PullRequest) -> PullAnswer {
        let now = ClockTime::now();
        self.note_asker(&request, now);
        let mut state = self.context.state.borrow_mut();
        state.settle(now);
        PullAnswer {
            host: WireHolder::from(&state.own),
            shard_count: state.fold.table().count(),
            next_offset: state.fold.next_offset(),
            accepted: state.acceptance.accepted(),
            evidence_age: state.freshness.age(now),
            records: state.tail.read(request.next_offset, MAX_PULL_BYTES),
            leaving: state.stopping,
        }
    }

    async fn snapshot(self, _: Context) -> SnapshotAnswer {
        let state = self.context.state.borrow();
        SnapshotAnswer {
            accepted: state.acceptance.accepted(),
            bytes: encode_snapshot(&state.fold),
        }
    }

    async fn draw(self, _: Context, request: DrawRequest) -> DrawAnswer {
        let now = ClockTime::now();
        let shard = ShardId::from_u32(request.shard);
        let mut state = self.context.state.borrow_mut();
        if !state.is_fresh(now) {
            return DrawAnswer::NotActive;
        }
        let Ok(workspace) = state.fold.config().find_workspace(&request.workspace) else {
            return DrawAnswer::NotActive;
        };
        let Some(limit) = state.plan_of(workspace).limit_on(shard) else {
            return DrawAnswer::NotActive;
        };
        match state.ledger.grant(shard, workspace, limit, now) {
            Ok(grant) => DrawAnswer::Granted { grant: grant.0 },
            Err(TokenDenial::Empty { wait_millis }) => DrawAnswer::Empty { wait_millis },
            Err(TokenDenial::NotActive) => DrawAnswer::NotActive,
        }
    }

    async fn close(self, _: Context, grants: Vec<ClosedGrant>) {
        let now = ClockTime::now();
        let mut state = self.context.state.borrow_mut();
        for closed in grants {
            let Ok(workspace) = state.fold.config().find_workspace(&closed.workspace) else {
                continue;
            };
            let shard = ShardId::from_u32(closed.shard);
            state
                .ledger
                .close(shard, workspace, GrantId(closed.grant), closed.spent, now);
        }
    }

    async fn offer(self, _: Context, request: OfferRequest) -> bool {
        let now = ClockTime::now();
        let mut state = self.context.state.borrow_mut();
        if state.stopping {
            return false;
        }
        let config = state.fold.config();
        let amounts = request
            .amounts
            .iter()
            .filter_map(|amounts| {
                Some(BucketAmounts {
                    workspace: config.find_workspace(&amounts.workspace).ok()?,
                    level: amounts.level,
                    open: amounts.open,
                })
            })
            .collect();
        let offer = ShardOffer {
            shard: ShardId::from_u32(request.shard),
            generation: request.generation,
            amounts,
        };
        state.ledger.note_offer(offer, now);
        true
    }

    async fn silence(self, _: Context, incarnation: u64) -> Option<u64> {
        let now = ClockTime::now();
        let state = self.context.state.borrow();
        let peer = state.directory.get(IncarnationId(incarnation))?;
        Some(now.since(peer.heard_at))
    }
}
