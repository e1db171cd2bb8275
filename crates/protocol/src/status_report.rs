//! What a host reports to operators.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::WireChange;

/// A host as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Data centre.
    pub data_centre: CompactString,
    /// Incarnation in hexadecimal digits.
    pub incarnation: CompactString,
    /// Offset that it has folded up to.
    pub next_offset: u64,
    /// Milliseconds since it last answered.
    pub silent_ms: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// One shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReport {
    /// Number of the shard.
    pub shard: u32,
    /// Number of changes of holder.
    pub generation: u32,
    /// Where other hosts reach its holder.
    pub holder: Option<SocketAddr>,
    /// Incarnation of the holder in hexadecimal digits.
    pub incarnation: Option<CompactString>,
}

/// One instance, as the answering host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Service of the instance.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: CompactString,
    /// `live`, `leaving`, `ejected` or `avoided`.
    pub state: CompactString,
    /// Why it was ejected last, empty if it never was.
    pub reason: CompactString,
    /// Requests of the answering host that it is working on.
    pub outstanding: u32,
    /// Smoothed latency in microseconds.
    pub latency_micros: u64,
}

/// Ejections that the answering host decided as the home of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionReport {
    /// Service of the instance.
    pub service: CompactString,
    /// Where the instance listens.
    pub address: SocketAddr,
    /// Why it was ejected.
    pub reason: CompactString,
    /// Number since start.
    pub count: u64,
}

/// One exception.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExceptionReport {
    /// What it applies to.
    pub scope: CompactString,
    /// Setting.
    pub setting: CompactString,
    /// Value in place of the default.
    pub value: u32,
    /// Why it stands.
    pub reason: CompactString,
    /// Who set it.
    pub author: CompactString,
}

/// Count of a reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// Reason.
    pub reason: CompactString,
    /// Number since start.
    pub count: u64,
}

/// What a host reports to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The answering host.
    pub host: HostReport,
    /// Offset below which every record is known to be accepted.
    pub accepted: u64,
    /// Age of its evidence in milliseconds.
    pub evidence_age_ms: Option<u64>,
    /// Whether it admits keyed requests.
    pub fresh: bool,
    /// Shards held here, and those that can be spent from.
    pub shards_held: usize,
    /// Held shards that can be spent from.
    pub shards_active: usize,
    /// Other hosts.
    pub peers: Vec<HostReport>,
    /// Every shard.
    pub shards: Vec<ShardReport>,
    /// Instances.
    pub instances: Vec<InstanceReport>,
    /// Ejections that the answering host decided.
    pub ejections: Vec<EjectionReport>,
    /// Exceptions that stand.
    pub exceptions: Vec<ExceptionReport>,
    /// Requests answered by an upstream.
    pub answered: u64,
    /// Refusals by reason.
    pub refusals: Vec<ReasonCount>,
    /// Retries by reason.
    pub retries: Vec<ReasonCount>,
    /// Breached invariants.
    pub breaches: Vec<ReasonCount>,
    /// Bytes sent and received for control since start.
    pub control_bytes: u64,
    /// Processor time since start in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Milliseconds since start.
    pub uptime_ms: u64,
}

/// The folded configuration as changes with their revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Offset that it was folded up to.
    pub next_offset: u64,
    /// Every object, as the change that makes it, with its revision.
    pub objects: Vec<(u64, WireChange)>,
}
