//! What ran on the instances.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// One request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// Where the instance listens.
    pub instance: SocketAddr,
    /// Number that the caller gave the request.
    pub request: String,
    /// Workspace that it ran for.
    pub workspace: String,
    /// Boot-clock milliseconds at which its token was spent.
    pub admitted_at: u64,
    /// Boot-clock milliseconds at which it started.
    pub started_at: u64,
    /// Whether its method is idempotent.
    pub idempotent: bool,
    /// Whether anything of a key came with it.
    pub saw_key: bool,
}
