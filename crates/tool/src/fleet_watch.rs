//! Follows an edit until it is in force on every live host.

use std::time::Duration;

use compio::time::sleep;

use crate::admin_client::AdminClient;
use crate::tool_error::ToolError;

const CHECK_MS: u64 = 200;
const MAX_CHECKS: u32 = 150;
const LIVE_SILENCE_MS: u64 = 5_000;

/// Waits until every live host has folded up to `next_offset`.
pub(crate) async fn wait_in_force(client: &AdminClient, next_offset: u64) -> Result<(), ToolError> {
    let mut behind = Vec::new();
    for _ in 0..MAX_CHECKS {
        let status = client.status().await?;
        behind = status
            .peers
            .iter()
            .chain([&status.host])
            .filter(|host| host.silent_ms < LIVE_SILENCE_MS && host.next_offset < next_offset)
            .map(|host| host.peers.to_string())
            .collect();
        if behind.is_empty() {
            return Ok(());
        }
        sleep(Duration::from_millis(CHECK_MS)).await;
    }
    Err(ToolError::Unconfirmed(format!(
        "the edit is accepted, but these hosts have not reported it: {}",
        behind.join(", ")
    )))
}
