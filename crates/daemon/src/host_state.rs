//! Everything that one host knows, and the steps that change it.
//!
//! The tasks of the daemon share one `HostState`. A task borrows it for a
//! step and never across an await, so that each step sees and leaves a
//! consistent state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_coordination::AcceptanceTracker;
use crocushoist_coordination::DryShares;
use crocushoist_coordination::FleetRecord;
use crocushoist_coordination::FreshnessTracker;
use crocushoist_coordination::HolderWatch;
use crocushoist_coordination::PeerDirectory;
use crocushoist_coordination::PeerState;
use crocushoist_coordination::RecordFold;
use crocushoist_coordination::RecordTail;
use crocushoist_coordination::ServiceJudge;
use crocushoist_coordination::ShardClaim;
use crocushoist_coordination::ShareLedger;
use crocushoist_coordination::TokenDenial;
use crocushoist_protocol::ClosedGrant;
use crocushoist_protocol::DrawAnswer;
use crocushoist_protocol::DrawRequest;
use crocushoist_protocol::PeerServiceClient;
use crocushoist_protocol::PullAnswer;
use crocushoist_protocol::PullRequest;
use crocushoist_protocol::WireHolder;
use crocushoist_protocol::decode_record;
use crocushoist_state::ClockTime;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_state::InstancePool;
use crocushoist_state::RoutingPolicy;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;
use crocushoist_state::SharePlan;
use crocushoist_state::WorkspaceId;

use crate::listed_hosts::ListedHosts;
use crate::peer_roles::PeerRoles;

/// Silence after which a host is no longer named to callers.
pub const ALIVE_MS: u64 = 2_500;

const ACCEPTANCE_WAIT_MS: u64 = 1_000;
const MAX_PULL_BYTES: usize = 256 * 1024;

/// Everything that one host knows.
pub struct HostState {
    /// This incarnation.
    pub own: ShardHolder,
    /// Fold of the log.
    pub fold: RecordFold,
    /// Newest records, for peers.
    pub tail: RecordTail,
    /// Which records are accepted.
    pub acceptance: AcceptanceTracker,
    /// Age of the evidence.
    pub freshness: FreshnessTracker,
    /// Buckets of the held shards.
    pub ledger: ShareLedger,
    /// What was heard from peers.
    pub directory: PeerDirectory,
    /// Suspicions about holders.
    pub watch: HolderWatch,
    /// Shares that need not be asked.
    pub dry: DryShares,
    /// Instances of the services.
    pub pool: InstancePool,
    /// Judges of the services that this host is the home of.
    pub judges: HashMap<CompactString, ServiceJudge>,
    /// Newest listing of hosts.
    pub listed: ListedHosts,
    /// Calls to the peers that are connected.
    pub links: HashMap<SocketAddr, PeerServiceClient>,
    /// Peers that a draw did not reach, to be asked at once.
    pub doubted: HashSet<SocketAddr>,
    /// Grants of other hosts that were closed here, by holder.
    pub closed: HashMap<SocketAddr, Vec<ClosedGrant>>,
    /// Records of hand-overs that were sent and not folded yet.
    pub hand_overs: HashMap<ShardId, ShardClaim>,
    /// What this host does for and asks of its peers.
    pub roles: PeerRoles,
    /// Number of times the fold was replaced; workspace ids hold within one epoch.
    pub epoch: u64,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// Records that could not be decoded and were not counted yet.
    pub unreadable: u64,
    hurry_until: ClockTime,
}

impl HostState {
    /// State of a host that just started.
    pub fn new(own: ShardHolder, shard_count: u32, policy: RoutingPolicy) -> Self {
        HostState {
            ledger: ShareLedger::new(own.incarnation),
            own,
            fold: RecordFold::new(shard_count),
            tail: RecordTail::default(),
            acceptance: AcceptanceTracker::default(),
            freshness: FreshnessTracker::default(),
            directory: PeerDirectory::default(),
            watch: HolderWatch::default(),
            dry: DryShares::default(),
            pool: InstancePool::new(policy),
            judges: HashMap::new(),
            listed: ListedHosts::default(),
            links: HashMap::new(),
            doubted: HashSet::new(),
            closed: HashMap::new(),
            hand_overs: HashMap::new(),
            roles: PeerRoles::default(),
            epoch: 0,
            stopping: false,
            unreadable: 0,
            hurry_until: ClockTime::default(),
        }
    }

    /// Folds encoded records that start at offset `first`.
    pub fn absorb(&mut self, first: u64, records: Vec<Vec<u8>>, now: ClockTime) {
        for (index, bytes) in records.into_iter().enumerate() {
            let offset = first + index as u64;
            if offset < self.fold.next_offset() {
                continue;
            }
            let record = decode_record(&bytes).ok();
            self.unreadable += u64::from(record.is_none());
            match self.fold.apply(offset, record.as_ref()) {
                Ok(Some(before)) => self.acceptance.note_change(offset, before),
                Ok(None) => {}
                Err(_) => return,
            }
            self.note_ends(record.as_ref());
            self.tail.push(bytes);
        }
        self.settle(now);
    }

    /// Notes which incarnations `record` proves to have ended.
    fn note_ends(&mut self, record: Option<&FleetRecord>) {
        match record {
            Some(FleetRecord::Claim(claim)) => {
                if let Some(holder) = &claim.to {
                    self.acceptance.note_bound(holder);
                }
            }
            Some(FleetRecord::End { incarnation, .. }) => self.acceptance.note_ended(*incarnation),
            _ => {}
        }
    }

    /// Continues with a later fold, as a host that fell behind must.
    ///
    /// Every record below `accepted` is known to be accepted.
    pub fn replace_fold(&mut self, later: RecordFold, accepted: u64, now: ClockTime) {
        if later.next_offset() < self.fold.next_offset() {
            return;
        }
        self.tail = RecordTail::starting_at(later.next_offset());
        self.fold.replace(later);
        self.epoch += 1;
        self.acceptance = AcceptanceTracker::starting_at(self.fold.next_offset());
        self.acceptance.note_accepted(accepted);
        self.ledger.restart(now);
        self.dry.clear();
        self.settle(now);
    }

    /// Recomputes what follows from the fold and from what peers said.
    pub fn settle(&mut self, now: ClockTime) {
        let own = self.own.incarnation;
        let next_offset = self.fold.next_offset();
        self.acceptance.note_folded(own, next_offset);
        let accepted = self.acceptance.advance(self.fold.table(), next_offset);
        self.freshness
            .weigh_majority(self.fold.table(), own, next_offset, now);
        self.ledger.reconcile(self.fold.table(), accepted, now);
        let table = self.fold.table();
        self.hand_overs.retain(|shard, claim| {
            let entry = table.get(*shard);
            entry.is_some_and(|entry| entry.generation == claim.generation)
        });
    }

    /// Question to a peer.
    pub fn pull_request(&self) -> PullRequest {
        PullRequest {
            asker: WireHolder::from(&self.own),
            next_offset: self.fold.next_offset(),
            leaving: self.stopping,
        }
    }

    /// Answers a peer's question.
    pub fn answer_pull(&mut self, request: PullRequest, now: ClockTime) -> PullAnswer {
        let asker = ShardHolder::from(request.asker);
        self.acceptance
            .note_folded(asker.incarnation, request.next_offset);
        let heard = PeerState {
            address: asker.address,
            born: asker.start_offset,
            heard_at: now,
            next_offset: request.next_offset,
            leaving: request.leaving,
        };
        self.directory.note(asker.incarnation, heard);
        self.settle(now);
        PullAnswer {
            host: WireHolder::from(&self.own),
            shard_count: self.fold.table().count(),
            next_offset: self.fold.next_offset(),
            accepted: self.acceptance.accepted(),
            evidence_age: self.freshness.age(now),
            records: self.tail.read(request.next_offset, MAX_PULL_BYTES),
            listing_hash: self.listed.hash(),
            listing_age: self.listed.age(now),
            leaving: self.stopping,
        }
    }

    /// Takes a peer's answer to a question that was sent at `asked_at`.
    ///
    /// `asked_from` is the offset that the question named.
    pub fn take_pull_answer(
        &mut self,
        asked_from: u64,
        asked_at: ClockTime,
        answer: PullAnswer,
        now: ClockTime,
    ) {
        let peer = ShardHolder::from(answer.host);
        self.absorb(asked_from, answer.records.unwrap_or_default(), now);
        self.acceptance
            .note_folded(peer.incarnation, answer.next_offset);
        self.acceptance.note_accepted(answer.accepted);
        self.freshness
            .note_answer(peer.incarnation, asked_at, answer.next_offset);
        if let Some(age) = answer.evidence_age
            && self.fold.next_offset() >= answer.next_offset
        {
            self.freshness.note_peer_evidence(asked_at, age);
        }
        let heard = PeerState {
            address: peer.address,
            born: peer.start_offset,
            heard_at: asked_at,
            next_offset: answer.next_offset,
            leaving: answer.leaving,
        };
        self.directory.note(peer.incarnation, heard);
        self.settle(now);
    }

    /// Answers a draw from a share that this host may hold.
    pub fn answer_draw(&mut self, request: &DrawRequest, now: ClockTime) -> DrawAnswer {
        if !self.is_fresh(now) {
            return DrawAnswer::NotActive;
        }
        let shard = ShardId::from_u32(request.shard);
        let Ok(workspace) = self.fold.config().find_workspace(&request.workspace) else {
            return DrawAnswer::NotActive;
        };
        let Some(limit) = self.plan_of(workspace).limit_on(shard) else {
            return DrawAnswer::NotActive;
        };
        match self.ledger.grant(shard, workspace, limit, now) {
            Ok(grant) => DrawAnswer::Granted { grant: grant.0 },
            Err(TokenDenial::Empty { wait_millis }) => DrawAnswer::Empty { wait_millis },
            Err(TokenDenial::NotActive) => DrawAnswer::NotActive,
        }
    }

    /// Forgets incarnations that have long been silent and hold nothing.
    pub fn forget_silent(&mut self, now: ClockTime) {
        self.directory.expire(now);
        let holders: HashSet<IncarnationId> = self
            .fold
            .table()
            .iter()
            .filter_map(|(_, entry)| entry.holder.as_ref())
            .map(|holder| holder.incarnation)
            .collect();
        let directory = &self.directory;
        let is_known = |incarnation: IncarnationId| {
            holders.contains(&incarnation) || directory.get(incarnation).is_some()
        };
        self.acceptance.retain(is_known);
        self.freshness.retain(is_known);
    }

    /// Whether keyed requests may be admitted.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        self.freshness.is_fresh(now)
    }

    /// Shares of `workspace`.
    pub fn plan_of(&self, workspace: WorkspaceId) -> SharePlan {
        let config = self.fold.config();
        let name = &config.workspace(workspace).name;
        SharePlan::new(name, config.limit_of(workspace), self.fold.table().count())
    }

    /// Asks peers more often for a while, because something waits for acceptance.
    pub fn hurry(&mut self, now: ClockTime) {
        self.hurry_until = now.plus(ACCEPTANCE_WAIT_MS);
    }

    /// Whether something waits for acceptance.
    pub fn is_hurrying(&self, now: ClockTime) -> bool {
        now < self.hurry_until
    }

    /// Hosts that callers can be told, this one included unless it is stopping.
    pub fn alive_hosts(&self, now: ClockTime) -> Vec<HostAddress> {
        let own = (!self.stopping).then(|| self.own.address.clone());
        self.alive_peers(now)
            .into_values()
            .cloned()
            .chain(own)
            .collect()
    }

    /// Incarnations that take part, this one included unless it is stopping.
    pub fn alive_incarnations(&self, now: ClockTime) -> Vec<IncarnationId> {
        let own = (!self.stopping).then_some(self.own.incarnation);
        self.alive_peers(now).into_keys().chain(own).collect()
    }

    /// Peers that were heard lately, and holders that are connected and not known to be silent.
    fn alive_peers(&self, now: ClockTime) -> BTreeMap<IncarnationId, &HostAddress> {
        let mut alive: BTreeMap<IncarnationId, &HostAddress> = self
            .directory
            .alive(now, ALIVE_MS)
            .map(|(incarnation, peer)| (incarnation, &peer.address))
            .collect();
        for holder in self.fold.table().live_holders() {
            let address = &holder.address;
            let is_connected = self.links.contains_key(&address.peers);
            let is_asked_often = self.roles.is_asked_often(address.peers);
            let is_leaving = self
                .directory
                .get(holder.incarnation)
                .is_some_and(|peer| peer.leaving);
            if is_connected && !is_asked_often && !is_leaving {
                alive.insert(holder.incarnation, address);
            }
        }
        alive.remove(&self.own.incarnation);
        alive
    }
}
