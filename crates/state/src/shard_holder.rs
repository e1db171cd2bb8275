//! Incarnations of hosts and the addresses they serve on.

use std::net::SocketAddr;

use compact_str::CompactString;

/// Random number of one start of a host; a restart has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId(pub u64);

/// Addresses of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAddress {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Data centre of the host.
    pub data_centre: CompactString,
}

/// Incarnation that holds a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardHolder {
    /// Incarnation of the holder.
    pub incarnation: IncarnationId,
    /// Addresses of the holder.
    pub address: HostAddress,
    /// Whether the incarnation is known to have ended.
    pub ended: bool,
}
