//! Status reports of a host to operators.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::WireChange;

/// Status of a host, as known to the reporting host.
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
    /// Offset of the first record that it has not replayed.
    pub next_offset: u64,
    /// Milliseconds since the reporting host last saw it.
    pub silent_ms: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Status of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReport {
    /// Number of the shard.
    pub shard: u32,
    /// Number of times that its holder changed.
    pub generation: u32,
    /// Where other hosts connect to its holder, `None` without a holder.
    pub holder: Option<SocketAddr>,
    /// Incarnation of the holder in hexadecimal digits.
    pub incarnation: Option<CompactString>,
}

/// Status of an instance, as known to the reporting host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Service of the instance.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: CompactString,
    /// `live`, `leaving` (shutting down), `ejected` or `avoided` (this host backs off from it).
    pub state: CompactString,
    /// Reason of its last ejection, empty if it never was ejected.
    pub reason: CompactString,
    /// Requests of the reporting host in flight at the instance.
    pub outstanding: u32,
    /// Smoothed latency in microseconds.
    pub latency_micros: u64,
}

/// Number of ejections of an instance that the reporting host decided as the owner of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectionReport {
    /// Service of the instance.
    pub service: CompactString,
    /// Where the instance listens.
    pub address: SocketAddr,
    /// Reason of the ejections.
    pub reason: CompactString,
    /// Number since the host started.
    pub count: u64,
}

/// Exception from a default setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExceptionReport {
    /// Workspace or service to which it applies.
    pub scope: CompactString,
    /// Name of the setting.
    pub setting: CompactString,
    /// Value in place of the default.
    pub value: u32,
    /// Why it was set.
    pub reason: CompactString,
    /// Who set it.
    pub author: CompactString,
}

/// Number of events with the same reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    /// Name of the reason.
    pub reason: CompactString,
    /// Number since the host started.
    pub count: u64,
}

/// Status of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The reporting host.
    pub host: HostReport,
    /// Offset below which every record is known to be accepted.
    pub accepted: u64,
    /// Age in milliseconds of its evidence that it has missed no accepted record.
    pub evidence_age_ms: Option<u64>,
    /// Whether the evidence is recent enough to admit keyed requests.
    pub fresh: bool,
    /// Number of shards that the host holds.
    pub shards_held: usize,
    /// Number of held shards of which the host grants tokens.
    pub shards_active: usize,
    /// Other hosts.
    pub peers: Vec<HostReport>,
    /// All shards.
    pub shards: Vec<ShardReport>,
    /// All instances.
    pub instances: Vec<InstanceReport>,
    /// Ejections that the reporting host decided.
    pub ejections: Vec<EjectionReport>,
    /// Exceptions in force.
    pub exceptions: Vec<ExceptionReport>,
    /// Requests to which an upstream responded.
    pub answered: u64,
    /// Refusals by reason.
    pub refusals: Vec<ReasonCount>,
    /// Retries by reason.
    pub retries: Vec<ReasonCount>,
    /// Breached invariants by kind.
    pub breaches: Vec<ReasonCount>,
    /// Bytes of control traffic sent and received since start.
    pub control_bytes: u64,
    /// Processor time since start in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Milliseconds since start.
    pub uptime_ms: u64,
}

/// The configuration built from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Offset of the first record that is not included.
    pub next_offset: u64,
    /// Every object as the change that creates it, with the object's revision.
    pub objects: Vec<(u64, WireChange)>,
}
