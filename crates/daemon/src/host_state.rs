//! State of one host, and the steps that change it.
//!
//! The tasks of the daemon share one `HostState`. A task borrows it for one
//! step and never across an await, so that each step sees and leaves a
//! consistent state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_coordination::AcceptanceTracker;
use crocushoist_coordination::FreshnessTracker;
use crocushoist_coordination::HolderWatch;
use crocushoist_coordination::LogRecord;
use crocushoist_coordination::OutlierDetector;
use crocushoist_coordination::PeerDirectory;
use crocushoist_coordination::PeerState;
use crocushoist_coordination::RecordCache;
use crocushoist_coordination::ReplayedState;
use crocushoist_coordination::ShardBuckets;
use crocushoist_coordination::ShardClaim;
use crocushoist_coordination::ShareBackoff;
use crocushoist_coordination::TokenDenial;
use crocushoist_protocol::ClosedGrant;
use crocushoist_protocol::DrawRequest;
use crocushoist_protocol::DrawResponse;
use crocushoist_protocol::PeerServiceClient;
use crocushoist_protocol::PullRequest;
use crocushoist_protocol::PullResponse;
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

/// Milliseconds of silence after which a host no longer counts as live.
pub const MAX_SILENCE_MS: u64 = 2_500;

/// Milliseconds for which `poll_urgently` shortens the polling interval.
const URGENT_POLLING_MS: u64 = 1_000;
/// Limit on the records in the response to one pull, in bytes.
const MAX_PULL_BYTES: usize = 256 * 1024;

/// State of one host.
pub struct HostState {
    /// Incarnation and addresses of this host.
    pub own: ShardHolder,
    /// Configuration and shard table built from the log.
    pub replayed: ReplayedState,
    /// Newest records of the log, cached for peers that pull.
    pub recent_records: RecordCache,
    /// Tracks which records are accepted.
    pub acceptance: AcceptanceTracker,
    /// Age of the evidence that no record was missed.
    pub freshness: FreshnessTracker,
    /// Token buckets of the shards that this host holds.
    pub shard_buckets: ShardBuckets,
    /// Last known state of each peer.
    pub directory: PeerDirectory,
    /// Failure detector for shard holders.
    pub holder_watch: HolderWatch,
    /// Shares that recently had no token, with the time of the next draw.
    pub empty_shares: ShareBackoff,
    /// Instances of the services.
    pub pool: InstancePool,
    /// Outlier detectors of the services that this host owns.
    pub outlier_detectors: HashMap<CompactString, OutlierDetector>,
    /// Newest known host list.
    pub host_list: ListedHosts,
    /// Clients of the connected peers, by peer address.
    pub peer_clients: HashMap<SocketAddr, PeerServiceClient>,
    /// Peers that a draw did not reach; they are polled at once.
    pub unconfirmed_peers: HashSet<SocketAddr>,
    /// Closed grants to report to other holders, by the peer address of the holder.
    pub closed_grants: HashMap<SocketAddr, Vec<ClosedGrant>>,
    /// Handover records that were sent and are not applied yet.
    pub pending_handovers: HashMap<ShardId, ShardClaim>,
    /// Duties of this host and the peers that it polls.
    pub roles: PeerRoles,
    /// Number of times the replayed state was replaced; workspace ids are valid within one epoch.
    pub epoch: u64,
    /// Whether the host is stopping.
    pub is_stopping: bool,
    /// Number of undecodable records that the metrics do not count yet.
    pub uncounted_unreadable: u64,
    urgent_until: ClockTime,
}

impl HostState {
    /// State of a host that just started.
    pub fn new(own: ShardHolder, shard_count: u32, policy: RoutingPolicy) -> Self {
        HostState {
            shard_buckets: ShardBuckets::new(own.incarnation),
            own,
            replayed: ReplayedState::new(shard_count),
            recent_records: RecordCache::default(),
            acceptance: AcceptanceTracker::default(),
            freshness: FreshnessTracker::default(),
            directory: PeerDirectory::default(),
            holder_watch: HolderWatch::default(),
            empty_shares: ShareBackoff::default(),
            pool: InstancePool::new(policy),
            outlier_detectors: HashMap::new(),
            host_list: ListedHosts::default(),
            peer_clients: HashMap::new(),
            unconfirmed_peers: HashSet::new(),
            closed_grants: HashMap::new(),
            pending_handovers: HashMap::new(),
            roles: PeerRoles::default(),
            epoch: 0,
            is_stopping: false,
            uncounted_unreadable: 0,
            urgent_until: ClockTime::default(),
        }
    }

    /// Applies encoded records, the first of which has offset `first`.
    ///
    /// Records that are already applied are skipped; an offset gap ends the step.
    pub fn apply_records(&mut self, first: u64, records: Vec<Vec<u8>>, now: ClockTime) {
        for (index, bytes) in records.into_iter().enumerate() {
            let offset = first + index as u64;
            if offset < self.replayed.next_offset() {
                continue;
            }
            let record = decode_record(&bytes).ok();
            self.uncounted_unreadable += u64::from(record.is_none());
            match self.replayed.apply(offset, record.as_ref()) {
                Ok(Some(before)) => self.acceptance.record_table_change(offset, before),
                Ok(None) => {}
                Err(_) => return,
            }
            self.record_ended_incarnations(record.as_ref());
            self.recent_records.push(bytes);
        }
        self.update_derived_state(now);
    }

    /// Records which incarnations `record` shows to have ended.
    fn record_ended_incarnations(&mut self, record: Option<&LogRecord>) {
        match record {
            Some(LogRecord::Claim(claim)) => {
                if let Some(holder) = &claim.to {
                    self.acceptance.record_successor(holder);
                }
            }
            Some(LogRecord::DeclareEnded { incarnation, .. }) => {
                self.acceptance.record_ended(*incarnation)
            }
            _ => {}
        }
    }

    /// Replaces the replayed state by a later one, for a host that fell behind the cached records.
    ///
    /// Every record below offset `accepted` is known to be accepted.
    pub fn replace_replayed_state(&mut self, later: ReplayedState, accepted: u64, now: ClockTime) {
        if later.next_offset() < self.replayed.next_offset() {
            return;
        }
        self.recent_records = RecordCache::starting_at(later.next_offset());
        self.replayed.replace(later);
        self.epoch += 1;
        self.acceptance = AcceptanceTracker::starting_at(self.replayed.next_offset());
        self.acceptance.record_accepted_offset(accepted);
        self.shard_buckets.reset_buckets(now);
        self.empty_shares.clear();
        self.update_derived_state(now);
    }

    /// Updates acceptance, freshness, token buckets and handovers after new records or responses.
    pub fn update_derived_state(&mut self, now: ClockTime) {
        let own = self.own.incarnation;
        let next_offset = self.replayed.next_offset();
        self.acceptance.record_replayed_offset(own, next_offset);
        let accepted = self
            .acceptance
            .update_accepted_offset(self.replayed.table(), next_offset);
        self.freshness
            .record_majority_evidence(self.replayed.table(), own, next_offset, now);
        self.shard_buckets
            .reconcile(self.replayed.table(), accepted, now);
        let table = self.replayed.table();
        self.pending_handovers.retain(|shard, claim| {
            let entry = table.get(*shard);
            entry.is_some_and(|entry| entry.generation == claim.generation)
        });
    }

    /// Request of a pull, which also reports the state of this host to the peer.
    pub fn pull_request(&self) -> PullRequest {
        PullRequest {
            asker: WireHolder::from(&self.own),
            next_offset: self.replayed.next_offset(),
            leaving: self.is_stopping,
        }
    }

    /// Records the state of the sender and returns the records that it lacks.
    pub fn handle_pull(&mut self, request: PullRequest, now: ClockTime) -> PullResponse {
        let sender = ShardHolder::from(request.asker);
        self.acceptance
            .record_replayed_offset(sender.incarnation, request.next_offset);
        let peer_state = PeerState {
            address: sender.address,
            start_offset: sender.start_offset,
            last_seen_at: now,
            next_offset: request.next_offset,
            leaving: request.leaving,
        };
        self.directory.record_peer(sender.incarnation, peer_state);
        self.update_derived_state(now);
        PullResponse {
            host: WireHolder::from(&self.own),
            shard_count: self.replayed.table().count(),
            next_offset: self.replayed.next_offset(),
            accepted: self.acceptance.accepted_offset(),
            evidence_age: self.freshness.age(now),
            records: self
                .recent_records
                .read(request.next_offset, MAX_PULL_BYTES),
            listing_hash: self.host_list.hash(),
            listing_age: self.host_list.age(now),
            leaving: self.is_stopping,
        }
    }

    /// Applies a peer's response to a pull that was sent at `sent_at`.
    ///
    /// `requested_offset` is the offset of the first record that the pull requested.
    pub fn apply_pull_response(
        &mut self,
        requested_offset: u64,
        sent_at: ClockTime,
        response: PullResponse,
        now: ClockTime,
    ) {
        let peer = ShardHolder::from(response.host);
        self.apply_records(requested_offset, response.records.unwrap_or_default(), now);
        self.acceptance
            .record_replayed_offset(peer.incarnation, response.next_offset);
        self.acceptance.record_accepted_offset(response.accepted);
        self.freshness
            .record_holder_response(peer.incarnation, sent_at, response.next_offset);
        if let Some(age) = response.evidence_age
            && self.replayed.next_offset() >= response.next_offset
        {
            self.freshness.record_evidence_from_peer(sent_at, age);
        }
        let peer_state = PeerState {
            address: peer.address,
            start_offset: peer.start_offset,
            last_seen_at: sent_at,
            next_offset: response.next_offset,
            leaving: response.leaving,
        };
        self.directory.record_peer(peer.incarnation, peer_state);
        self.update_derived_state(now);
    }

    /// Grants a token of a share to another host, if this host holds the shard.
    ///
    /// Without current evidence nothing is granted.
    pub fn handle_draw(&mut self, request: &DrawRequest, now: ClockTime) -> DrawResponse {
        if !self.is_fresh(now) {
            return DrawResponse::NotActive;
        }
        let shard = ShardId::from_u32(request.shard);
        let Ok(workspace) = self.replayed.config().find_workspace(&request.workspace) else {
            return DrawResponse::NotActive;
        };
        let Some(limit) = self.share_plan(workspace).limit_on(shard) else {
            return DrawResponse::NotActive;
        };
        match self.shard_buckets.grant(shard, workspace, limit, now) {
            Ok(grant) => DrawResponse::Granted { grant: grant.0 },
            Err(TokenDenial::Empty { wait_millis }) => DrawResponse::Empty { wait_millis },
            Err(TokenDenial::NotActive) => DrawResponse::NotActive,
        }
    }

    /// Removes incarnations that have been silent for long and hold no shard.
    pub fn remove_silent(&mut self, now: ClockTime) {
        self.directory.expire(now);
        let holders: HashSet<IncarnationId> = self
            .replayed
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

    /// Whether the evidence is recent enough to admit keyed requests.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        self.freshness.is_fresh(now)
    }

    /// How the limit of `workspace` is split into shares.
    pub fn share_plan(&self, workspace: WorkspaceId) -> SharePlan {
        let config = self.replayed.config();
        let name = &config.workspace(workspace).name;
        SharePlan::new(
            name,
            config.limit_of(workspace),
            self.replayed.table().count(),
        )
    }

    /// Polls shard holders more often for a while, because a record waits for acceptance.
    pub fn poll_urgently(&mut self, now: ClockTime) {
        self.urgent_until = now.plus(URGENT_POLLING_MS);
    }

    /// Whether shard holders are polled more often at present.
    pub fn is_polling_urgently(&self, now: ClockTime) -> bool {
        now < self.urgent_until
    }

    /// Hosts that address lookups list; includes this host unless it is stopping.
    pub fn advertised_hosts(&self, now: ClockTime) -> Vec<HostAddress> {
        let own = (!self.is_stopping).then(|| self.own.address.clone());
        self.live_peers(now)
            .into_values()
            .cloned()
            .chain(own)
            .collect()
    }

    /// Live incarnations; includes this host unless it is stopping.
    pub fn live_incarnations(&self, now: ClockTime) -> Vec<IncarnationId> {
        let own = (!self.is_stopping).then_some(self.own.incarnation);
        self.live_peers(now).into_keys().chain(own).collect()
    }

    /// Live peers: those seen recently, and connected shard holders that are not leaving
    /// and are polled too rarely for silence to show a failure.
    fn live_peers(&self, now: ClockTime) -> BTreeMap<IncarnationId, &HostAddress> {
        let mut live: BTreeMap<IncarnationId, &HostAddress> = self
            .directory
            .reachable_peers(now, MAX_SILENCE_MS)
            .map(|(incarnation, peer)| (incarnation, &peer.address))
            .collect();
        for holder in self.replayed.table().live_holders() {
            let address = &holder.address;
            let is_connected = self.peer_clients.contains_key(&address.peers);
            let is_polled_often = self.roles.is_polled_often(address.peers);
            let is_leaving = self
                .directory
                .get(holder.incarnation)
                .is_some_and(|peer| peer.leaving);
            if is_connected && !is_polled_often && !is_leaving {
                live.insert(holder.incarnation, address);
            }
        }
        live.remove(&self.own.incarnation);
        live
    }
}
