//! Which addresses a caller may use.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Answer to the question which addresses to use, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses to connect to.
    pub addresses: Vec<SocketAddr>,
    /// Milliseconds for which the answer may be kept.
    pub ttl_ms: u32,
}
