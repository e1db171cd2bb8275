//! An instance's entry in the instance list of the users' platform.

use std::net::SocketAddr;

use compact_str::CompactString;

/// Entry that an instance publishes in the instance list of the users' platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceListing {
    /// Id, which a restarted instance may keep.
    pub id: CompactString,
    /// Start time of the instance in Unix milliseconds, which distinguishes restarts.
    pub started_at_unix_ms: u64,
    /// Sequence number of the entry since the start.
    pub seq: u64,
    /// Service that it belongs to.
    pub service: CompactString,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: CompactString,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Remaining milliseconds of its warm-up, during which it responds slowly.
    pub warm_up_ms: u64,
}
