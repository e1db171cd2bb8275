//! Remote procedure calls between hosts.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_state::EjectionDecision;
use crocushoist_state::InstanceOutcomes;

use crate::ListedHost;
use crate::WireHolder;

/// Request for the records and the replay state of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// The host that sends the request.
    pub asker: WireHolder,
    /// Offset of the first record that the sender has not replayed.
    pub next_offset: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
}

/// Records and replay state of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullResponse {
    /// The peer.
    pub host: WireHolder,
    /// Number of shards in the peer's shard table.
    pub shard_count: u32,
    /// Offset of the first record that the peer has not replayed.
    pub next_offset: u64,
    /// Offset below which the peer knows every record to be accepted.
    pub accepted: u64,
    /// Age in milliseconds of the peer's evidence that it has missed no accepted record.
    pub evidence_age: Option<u64>,
    /// Encoded records from the requested offset on, `None` if the peer no longer has them.
    pub records: Option<Vec<Vec<u8>>>,
    /// Hash of the peer's copy of the host list.
    pub listing_hash: u64,
    /// Milliseconds since that list was read, `None` before the first.
    pub listing_age: Option<u64>,
    /// Whether the peer is shutting down.
    pub leaving: bool,
}

/// A peer's copy of the host list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListingResponse {
    /// Listed hosts.
    pub hosts: Vec<ListedHost>,
    /// Milliseconds since the list was read, `None` before the first.
    pub age: Option<u64>,
}

/// Snapshot of a peer's replayed state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// Offset below which the peer knows every record to be accepted.
    pub accepted: u64,
    /// Encoded snapshot.
    pub bytes: Vec<u8>,
}

/// Request to a shard holder for a token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DrawRequest {
    /// Shard of the share.
    pub shard: u32,
    /// Workspace of the share.
    pub workspace: CompactString,
}

/// Response of a shard holder to a draw request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrawResponse {
    /// The token is taken from the bucket and may be spent for a limited time.
    Granted {
        /// Id of the grant.
        grant: u64,
    },
    /// The bucket of the share is empty.
    Empty {
        /// Milliseconds until the bucket has a token.
        wait_millis: u64,
    },
    /// The peer does not hold the shard, or the shard is not active there.
    NotActive,
}

/// Report to a shard holder that a grant was used or given back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClosedGrant {
    /// Shard of the share.
    pub shard: u32,
    /// Workspace of the share.
    pub workspace: CompactString,
    /// Id of the grant.
    pub grant: u64,
    /// Whether the token was spent; otherwise it returns to the bucket.
    pub spent: bool,
}

/// Amounts of one bucket in a handover, in millionths of a token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OfferedAmounts {
    /// Workspace of the bucket.
    pub workspace: CompactString,
    /// Tokens in the bucket that may be granted.
    pub level: u64,
    /// Granted tokens whose use has not been reported and that may still be spent.
    pub open: u64,
}

/// Offer of a shard to its next holder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OfferRequest {
    /// Id of the offer, which the claim record of the handover carries.
    pub id: u64,
    /// Shard that is handed over.
    pub shard: u32,
    /// Generation of the shard after the handover.
    pub generation: u32,
    /// Offset of the first record that the earlier holder has not replayed.
    pub next_offset: u64,
    /// Amounts of its buckets.
    pub amounts: Vec<OfferedAmounts>,
}

/// Outcomes of a host's requests to one instance since its last report.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireInstanceOutcomes {
    /// Where the instance listens.
    pub address: SocketAddr,
    /// Requests with a complete response.
    pub succeeded: u32,
    /// Requests with an error, a truncated or missing response, or the response to another request.
    pub failed: u32,
    /// Slow responses among the complete ones.
    pub slow: u32,
    /// Sum of the latencies of complete responses in microseconds.
    pub latency_sum: u64,
}

/// Report of request outcomes to the owner of a service, which decides ejections.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Name of the service.
    pub service: CompactString,
    /// Data centre of the reporting host.
    pub data_centre: CompactString,
    /// Outcomes by instance.
    pub evidence: Vec<WireInstanceOutcomes>,
}

/// Decision of the owner of a service about one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireDecision {
    /// Where the instance listens.
    pub address: SocketAddr,
    /// Percentage of its usual requests that the instance gets, zero if it is ejected.
    pub weight: u8,
    /// Why it was ejected.
    pub reason: CompactString,
}

impl From<EjectionDecision> for WireDecision {
    fn from(decision: EjectionDecision) -> Self {
        WireDecision {
            address: decision.address,
            weight: decision.weight,
            reason: decision.reason,
        }
    }
}

impl From<WireDecision> for EjectionDecision {
    fn from(decision: WireDecision) -> Self {
        EjectionDecision {
            address: decision.address,
            weight: decision.weight,
            reason: decision.reason,
        }
    }
}

/// Decisions of the owner of a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DecisionResponse {
    /// Instances that are ejected or returning, the longest ejected first.
    pub verdicts: Vec<WireDecision>,
    /// Median over the instances of their mean latency in microseconds, zero if unknown.
    pub typical_micros: u64,
}

impl From<(SocketAddr, InstanceOutcomes)> for WireInstanceOutcomes {
    fn from((address, outcomes): (SocketAddr, InstanceOutcomes)) -> Self {
        WireInstanceOutcomes {
            address,
            succeeded: outcomes.succeeded,
            failed: outcomes.failed,
            slow: outcomes.slow,
            latency_sum: outcomes.latency_sum,
        }
    }
}

impl From<&WireInstanceOutcomes> for InstanceOutcomes {
    fn from(outcomes: &WireInstanceOutcomes) -> Self {
        InstanceOutcomes {
            succeeded: outcomes.succeeded,
            failed: outcomes.failed,
            slow: outcomes.slow,
            latency_sum: outcomes.latency_sum,
        }
    }
}

/// Procedures that each host serves to its peers.
#[tarpc::service]
pub trait PeerService {
    /// Returns records and the replay state of this host.
    async fn pull(request: PullRequest) -> PullResponse;
    /// Returns this host's copy of the host list.
    async fn listing() -> ListingResponse;
    /// Returns a snapshot of this host's replayed state.
    async fn snapshot() -> SnapshotResponse;
    /// Takes a token from a share held here.
    async fn draw(request: DrawRequest) -> DrawResponse;
    /// Closes grants of shares held here.
    async fn close(grants: Vec<ClosedGrant>);
    /// Adds request outcomes, as the owner of a service, and returns its decisions.
    async fn report(report: OutcomeReport) -> DecisionResponse;
    /// Offers a shard to this host, which returns whether it will take it over.
    async fn offer(request: OfferRequest) -> bool;
    /// Milliseconds since this host last saw `incarnation`, `None` if it never did.
    async fn silence(incarnation: u64) -> Option<u64>;
}
