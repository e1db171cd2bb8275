//! Incarnations of hosts and the addresses that they listen on.

use std::net::SocketAddr;

use compact_str::CompactString;

/// Random number that identifies one run of a host process; a restart draws a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId(pub u64);

/// Addresses and location of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAddress {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that other hosts connect to.
    pub peers: SocketAddr,
    /// Data centre that the host runs in.
    pub data_centre: CompactString,
}

/// Incarnation that holds a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardHolder {
    /// Identifier of the incarnation.
    pub incarnation: IncarnationId,
    /// Addresses of the incarnation.
    pub address: HostAddress,
    /// Log tail read after the incarnation bound its address, plus one; zero if none was read.
    pub start_offset: u64,
    /// Whether the incarnation is known to have ended.
    pub ended: bool,
}

impl ShardHolder {
    /// Whether this incarnation has ended because `later` bound the same address after it.
    ///
    /// Only one process can be bound to an address at a time, and the log's
    /// tail only grows. Of two incarnations with one address, the one that read
    /// the larger tail after binding is therefore the later one. Equal tails
    /// prove nothing.
    pub fn is_superseded_by(&self, later: &ShardHolder) -> bool {
        self.address.peers == later.address.peers
            && self.incarnation != later.incarnation
            && self.start_offset < later.start_offset
    }
}
