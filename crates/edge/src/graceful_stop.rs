//! Graceful stop, which lets requests in progress finish.
//!
//! The host first disappears from the address lookups but keeps serving callers
//! that cached its address. Shortly before its grace period ends, it closes
//! idle connections, waits a limited time for requests in progress and exits.

use std::time::Duration;

use compio::time::sleep;
use slog::info;

use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;

/// Milliseconds before the end of the grace period at which idle connections are closed.
const CLOSE_BEFORE_MS: u64 = 1_800;

/// Milliseconds before the end of the grace period at which the process ends at the latest.
const EXIT_BEFORE_MS: u64 = 700;

/// Milliseconds between checks of the time and the open connections.
const CHECK_INTERVAL_MS: u64 = 50;

/// Stops the host. Returns when no connection is open or the grace period is over.
pub(crate) async fn stop_gracefully(context: &EdgeContext) {
    let started_at = ClockTime::now();
    let grace_ms = context.settings.grace_ms;
    context.stopping.set(true);
    info!(context.logger, "stopping"; "grace_ms" => grace_ms,
        "in_progress" => context.in_progress.get());
    let close_at = started_at.plus(grace_ms.saturating_sub(CLOSE_BEFORE_MS));
    while ClockTime::now() < close_at {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    context.stop.raise();
    let end_at = started_at.plus(grace_ms.saturating_sub(EXIT_BEFORE_MS));
    while context.stop.open_connections() > 0 && ClockTime::now() < end_at {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    info!(context.logger, "stopped"; "in_progress" => context.in_progress.get(),
        "connections_left" => context.stop.open_connections(),
        "millis" => ClockTime::now().since(started_at));
}
