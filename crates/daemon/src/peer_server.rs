//! Serves the calls of other hosts.

use tarpc::context::Context;

use crocushoist_coordination::BucketAmounts;
use crocushoist_coordination::ShardOffer;
use crocushoist_protocol::ClosedGrant;
use crocushoist_protocol::DecisionResponse;
use crocushoist_protocol::DrawRequest;
use crocushoist_protocol::DrawResponse;
use crocushoist_protocol::ListingResponse;
use crocushoist_protocol::OfferRequest;
use crocushoist_protocol::OutcomeReport;
use crocushoist_protocol::PeerService;
use crocushoist_protocol::PullRequest;
use crocushoist_protocol::PullResponse;
use crocushoist_protocol::SnapshotResponse;
use crocushoist_protocol::encode_snapshot;
use crocushoist_state::ClockTime;
use crocushoist_state::GrantId;
use crocushoist_state::IncarnationId;
use crocushoist_state::OfferId;
use crocushoist_state::ShardId;

use crate::host_context::SharedContext;
use crate::outcome_exchange::apply_report;

/// Serves the calls of other hosts.
#[derive(Clone)]
pub(crate) struct PeerServer {
    context: SharedContext,
}

impl PeerServer {
    /// Creates a server that works on `context`.
    pub(crate) fn new(context: SharedContext) -> Self {
        PeerServer { context }
    }
}

impl PeerService for PeerServer {
    async fn pull(self, _: Context, request: PullRequest) -> PullResponse {
        let mut state = self.context.state.borrow_mut();
        state.handle_pull(request, ClockTime::now())
    }

    async fn listing(self, _: Context) -> ListingResponse {
        let state = self.context.state.borrow();
        ListingResponse {
            hosts: state.host_list.hosts().to_vec(),
            age: state.host_list.age(ClockTime::now()),
        }
    }

    async fn snapshot(self, _: Context) -> SnapshotResponse {
        let state = self.context.state.borrow();
        SnapshotResponse {
            accepted: state.acceptance.accepted_offset(),
            bytes: encode_snapshot(&state.replayed),
        }
    }

    async fn draw(self, _: Context, request: DrawRequest) -> DrawResponse {
        let mut state = self.context.state.borrow_mut();
        state.handle_draw(&request, ClockTime::now())
    }

    async fn close(self, _: Context, grants: Vec<ClosedGrant>) {
        let now = ClockTime::now();
        let mut state = self.context.state.borrow_mut();
        for closed in grants {
            let Ok(workspace) = state.replayed.config().find_workspace(&closed.workspace) else {
                continue;
            };
            let shard = ShardId::from_u32(closed.shard);
            state.shard_buckets.finish_grant(
                shard,
                workspace,
                GrantId(closed.grant),
                closed.spent,
                now,
            );
        }
    }

    async fn report(self, _: Context, report: OutcomeReport) -> DecisionResponse {
        let mut state = self.context.state.borrow_mut();
        apply_report(&mut state, &report, ClockTime::now())
    }

    async fn offer(self, _: Context, request: OfferRequest) -> bool {
        let now = ClockTime::now();
        let mut state = self.context.state.borrow_mut();
        if state.is_stopping {
            return false;
        }
        let config = state.replayed.config();
        let amounts = request
            .amounts
            .iter()
            .filter_map(|amounts| {
                Some(BucketAmounts {
                    workspace: config.find_workspace(&amounts.workspace).ok()?,
                    available_micros: amounts.level,
                    granted_micros: amounts.open,
                })
            })
            .collect();
        let offer = ShardOffer {
            id: OfferId(request.id),
            shard: ShardId::from_u32(request.shard),
            generation: request.generation,
            amounts,
        };
        state.shard_buckets.store_offer(offer, now);
        true
    }

    async fn silence(self, _: Context, incarnation: u64) -> Option<u64> {
        let now = ClockTime::now();
        let state = self.context.state.borrow();
        let peer = state.directory.get(IncarnationId(incarnation))?;
        Some(now.since(peer.last_seen_at))
    }
}
