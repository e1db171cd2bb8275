//! Response to a caller's address lookup.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Response to a caller's address lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressResponse {
    /// Addresses to connect to, best first.
    pub addresses: Vec<SocketAddr>,
    /// Milliseconds for which a caller may cache the response.
    pub ttl_ms: u32,
}
