//! What the home of a service decides about an instance.

use std::net::SocketAddr;

/// What the home of a service decides about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceVerdict {
    /// Where the instance listens.
    pub address: SocketAddr,
    /// Share of its requests in percent that it gets, zero if it is ejected.
    pub weight: u8,
}
