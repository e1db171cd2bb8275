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
    /// One more than the log's tail that it read after it was bound to its address, zero if it read none.
    pub born: u64,
    /// Whether the incarnation is known to have ended.
    pub ended: bool,
}

impl ShardHolder {
    /// Whether this incarnation has ended because `later` is bound to its address.
    ///
    /// Only one process is bound to an address at a time, and the log's tail
    /// only grows, so of two incarnations at one address the one that read the
    /// larger tail after it was bound is the later one. Equal tails tell nothing.
    pub fn is_ended_by(&self, later: &ShardHolder) -> bool {
        self.address.peers == later.address.peers
            && self.incarnation != later.incarnation
            && self.born < later.born
    }
}
