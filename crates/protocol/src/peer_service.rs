//! Calls between hosts.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_state::EjectionDecision;
use crocushoist_state::InstanceOutcomes;

use crate::ListedHost;
use crate::WireHolder;

/// Asks a peer what it has folded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// The asker.
    pub asker: WireHolder,
    /// Offset that the asker has folded up to.
    pub next_offset: u64,
    /// Whether the asker is about to stop.
    pub leaving: bool,
}

/// What a peer has folded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullAnswer {
    /// The peer.
    pub host: WireHolder,
    /// Number of shards that the peer folds with.
    pub shard_count: u32,
    /// Offset that the peer has folded up to.
    pub next_offset: u64,
    /// Offset below which the peer knows every record to be accepted.
    pub accepted: u64,
    /// Age of the peer's evidence in milliseconds.
    pub evidence_age: Option<u64>,
    /// Encoded records from the asker's offset on, `None` if the peer no longer keeps them.
    pub records: Option<Vec<Vec<u8>>>,
    /// Hash of the peer's listing of hosts.
    pub listing_hash: u64,
    /// Milliseconds since that listing was read.
    pub listing_age: Option<u64>,
    /// Whether the peer is about to stop.
    pub leaving: bool,
}

/// A peer's listing of hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListingAnswer {
    /// Listed hosts.
    pub hosts: Vec<ListedHost>,
    /// Milliseconds since the listing was read, `None` before the first.
    pub age: Option<u64>,
}

/// Snapshot of a peer's fold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotAnswer {
    /// Offset below which the peer knows every record to be accepted.
    pub accepted: u64,
    /// Encoded snapshot.
    pub bytes: Vec<u8>,
}

/// Asks a holder for a token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DrawRequest {
    /// Shard of the share.
    pub shard: u32,
    /// Workspace of the share.
    pub workspace: CompactString,
}

/// A holder's answer to a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrawAnswer {
    /// The token is debited and may be spent for its life.
    Granted {
        /// Number of the grant.
        grant: u64,
    },
    /// The share has none.
    Empty {
        /// Milliseconds until one accrues.
        wait_millis: u64,
    },
    /// The peer cannot spend from the shard now.
    NotActive,
}

/// Tells a holder what became of a grant.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClosedGrant {
    /// Shard of the share.
    pub shard: u32,
    /// Workspace of the share.
    pub workspace: CompactString,
    /// Number of the grant.
    pub grant: u64,
    /// Whether the token was spent.
    pub spent: bool,
}

/// Amounts of one bucket that changes hands, in millionths of a token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OfferedAmounts {
    /// Workspace of the bucket.
    pub workspace: CompactString,
    /// Tokens that may be spent.
    pub level: u64,
    /// Granted tokens that may still be spent.
    pub open: u64,
}

/// Offers a shard to its next holder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OfferRequest {
    /// Number of the offer, which the record of the hand-over carries.
    pub id: u64,
    /// Shard that changes hands.
    pub shard: u32,
    /// Generation that the shard has once it has changed hands.
    pub generation: u32,
    /// Offset that the earlier holder has folded up to.
    pub next_offset: u64,
    /// Amounts of its buckets.
    pub amounts: Vec<OfferedAmounts>,
}

/// What a host saw of one instance since its last report.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireEvidence {
    /// Where the instance listens.
    pub address: SocketAddr,
    /// Whole answers.
    pub succeeded: u32,
    /// Errors, cut, crossed or missing answers.
    pub failed: u32,
    /// Slow answers among the whole ones.
    pub slow: u32,
    /// Sum of the latencies of whole answers in microseconds.
    pub latency_sum: u64,
}

/// Reports evidence to the home of a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Name of the service.
    pub service: CompactString,
    /// Data centre of the reporting host.
    pub data_centre: CompactString,
    /// Evidence by instance.
    pub evidence: Vec<WireEvidence>,
}

/// What the home of a service decided about one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireVerdict {
    /// Where the instance listens.
    pub address: SocketAddr,
    /// Share of its requests in percent that it gets, zero if it is ejected.
    pub weight: u8,
    /// Why it was ejected.
    pub reason: CompactString,
}

impl From<EjectionDecision> for WireVerdict {
    fn from(verdict: EjectionDecision) -> Self {
        WireVerdict {
            address: verdict.address,
            weight: verdict.weight,
            reason: verdict.reason,
        }
    }
}

impl From<WireVerdict> for EjectionDecision {
    fn from(verdict: WireVerdict) -> Self {
        EjectionDecision {
            address: verdict.address,
            weight: verdict.weight,
            reason: verdict.reason,
        }
    }
}

/// What the home of a service decided.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VerdictAnswer {
    /// Instances that are not wholly in use, the worst first.
    pub verdicts: Vec<WireVerdict>,
    /// Median over the instances of their mean latency in microseconds.
    pub typical_micros: u64,
}

impl From<(SocketAddr, InstanceOutcomes)> for WireEvidence {
    fn from((address, evidence): (SocketAddr, InstanceOutcomes)) -> Self {
        WireEvidence {
            address,
            succeeded: evidence.succeeded,
            failed: evidence.failed,
            slow: evidence.slow,
            latency_sum: evidence.latency_sum,
        }
    }
}

impl From<&WireEvidence> for InstanceOutcomes {
    fn from(evidence: &WireEvidence) -> Self {
        InstanceOutcomes {
            succeeded: evidence.succeeded,
            failed: evidence.failed,
            slow: evidence.slow,
            latency_sum: evidence.latency_sum,
        }
    }
}

/// Calls that each host answers to its peers.
#[tarpc::service]
pub trait PeerService {
    /// Tells what this host has folded.
    async fn pull(request: PullRequest) -> PullAnswer;
    /// Gives the listing of hosts.
    async fn listing() -> ListingAnswer;
    /// Gives a snapshot of the fold.
    async fn snapshot() -> SnapshotAnswer;
    /// Debits a token of a share held here.
    async fn draw(request: DrawRequest) -> DrawAnswer;
    /// Closes grants of shares held here.
    async fn close(grants: Vec<ClosedGrant>);
    /// Takes evidence as the home of a service and answers its verdicts.
    async fn report(report: EvidenceReport) -> VerdictAnswer;
    /// Takes over a shard; whether it will.
    async fn offer(request: OfferRequest) -> bool;
    /// Milliseconds since `incarnation` last answered this host, `None` if it never did.
    async fn silence(incarnation: u64) -> Option<u64>;
}
