//! Requests that the stand-in instances executed.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// One request that an instance executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedRequest {
    /// Address at which the instance listens.
    pub instance: SocketAddr,
    /// ID that the caller gave the request.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Workspace named by the host; empty for open routes.
    pub workspace: String,
    /// Boot-clock time in milliseconds at which the host spent its token.
    #[serde(rename = "admitted_at")]
    pub admitted_at_ms: u64,
    /// Boot-clock time in milliseconds at which the instance started it.
    #[serde(rename = "started_at")]
    pub started_at_ms: u64,
    /// Whether its method is idempotent.
    #[serde(rename = "idempotent")]
    pub is_idempotent: bool,
    /// Whether its headers or URI contained a caller's key or the prefix of one.
    #[serde(rename = "saw_key")]
    pub received_key: bool,
}
