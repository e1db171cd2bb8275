//! What the home of a service decides about an instance.

use std::net::SocketAddr;

use compact_str::CompactString;

/// What the home of a service decides about an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceVerdict {
    /// Where the instance listens.
    pub address: SocketAddr,
    /// Share of its requests in percent that it gets, zero if it is ejected.
    pub weight: u8,
    /// Why it was ejected.
    pub reason: CompactString,
}
