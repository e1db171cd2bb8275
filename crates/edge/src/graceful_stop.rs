//! Graceful stop, which lets requests in progress finish.
//!
//! The host first disappears from the address lookups but keeps serving callers
//! that cached its address. Shortly before its grace period ends, it closes
//! idle connections, waits a limited time for requests in progress and exits.

use std::time::Duration;

use compio::time::sleep;
use slog::info;
use slog::warn;

use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;

/// Milliseconds before the end of the grace period at which idle connections are closed.
const CLOSE_BEFORE_MS: u64 = 1_800;

/// Milliseconds before the end of the grace period at which the process ends at the latest.
const EXIT_BEFORE_MS: u64 = 700;

/// Milliseconds between checks of the time and the open connections.
const CHECK_INTERVAL_MS: u64 = 50;

/// Maximum number of requests in progress at the end that are logged one by one.
const MAX_LOGGED_REQUESTS: usize = 64;

/// Stops the host. Returns when no connection is open or the grace period is over.
pub(crate) async fn stop_gracefully(context: &EdgeContext) {
    let started_at = ClockTime::now();
    let grace_ms = context.settings.grace_ms;
    context.stopping.set(true);
    info!(context.logger, "stopping"; "grace_ms" => grace_ms,
        "in_progress" => context.in_progress.len());
    let close_at = started_at.plus(grace_ms.saturating_sub(CLOSE_BEFORE_MS));
    while ClockTime::now() < close_at {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    context.stop.raise();
    let end_at = started_at.plus(grace_ms.saturating_sub(EXIT_BEFORE_MS));
    while context.stop.open_connections() > 0 && ClockTime::now() < end_at {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    log_end(context, started_at);
}

/// Logs the end of the stop and each request that it cuts off.
fn log_end(context: &EdgeContext, started_at: ClockTime) {
    let now = ClockTime::now();
    let requests = context.in_progress.requests();
    for request in requests.iter().take(MAX_LOGGED_REQUESTS) {
        warn!(context.logger, "request cut off by the stop"; "request" => request.id.as_str(),
            "age_ms" => now.since(request.read_at),
            "read_before_stop_ms" => started_at.since(request.read_at),
            "read_after_stop_ms" => request.read_at.since(started_at),
            "open_attempts" => request.open_attempts.get());
    }
    // A connection without a request in progress is idle or has a response to write.
    info!(context.logger, "stopped"; "in_progress" => requests.len(),
        "connections_left" => context.stop.open_connections(),
        "millis" => now.since(started_at));
}
