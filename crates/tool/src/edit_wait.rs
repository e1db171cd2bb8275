//! Waits until an edit is in force on every live host.

use std::time::Duration;

use compio::time::sleep;

use crate::admin_client::AdminClient;
use crate::tool_error::ToolError;

/// Milliseconds between two status requests.
const POLL_INTERVAL_MS: u64 = 200;
/// Status requests before the wait fails: at least 30 s at the interval above.
const MAX_POLLS: u32 = 150;
/// A host that has not responded for this many milliseconds is not waited for.
const LIVE_SILENCE_LIMIT_MS: u64 = 5_000;

/// Waits until every live host has applied all log records below `next_offset`.
///
/// Fails with `Unconfirmed`, which names the hosts that are behind.
pub(crate) async fn wait_until_in_force(
    client: &AdminClient,
    next_offset: u64,
) -> Result<(), ToolError> {
    let mut behind = Vec::new();
    for _ in 0..MAX_POLLS {
        let status = client.status().await?;
        behind = status
            .peers
            .iter()
            .chain([&status.host])
            .filter(|host| host.silent_ms < LIVE_SILENCE_LIMIT_MS && host.next_offset < next_offset)
            .map(|host| host.peers.to_string())
            .collect();
        if behind.is_empty() {
            return Ok(());
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    Err(ToolError::Unconfirmed(format!(
        "the edit is accepted, but these hosts have not confirmed it: {}",
        behind.join(", ")
    )))
}
