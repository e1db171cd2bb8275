//! Ejection decisions about instances.

use std::net::SocketAddr;

use compact_str::CompactString;

/// Decision of the owner of a service about one instance.
///
/// The owner is the host that collects the outcomes from all hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionDecision {
    /// Address that the instance listens on.
    pub address: SocketAddr,
    /// Percentage of its share of requests that the instance gets, zero if it is ejected.
    pub weight: u8,
    /// Cause of the ejection.
    pub reason: CompactString,
}
