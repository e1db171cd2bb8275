//! Graceful stop, which lets requests in progress finish.
//!
//! The host first disappears from the address lookups but keeps serving callers
//! that cached its address. Then it closes its listener, and connections that
//! are idle at the end; the times and what is still taken are in [`StopPlan`].

use std::time::Duration;

use compio::time::sleep;
use slog::info;
use slog::warn;

use crocushoist_policy::StopPlan;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;

/// Milliseconds between checks of the open connections.
const CHECK_INTERVAL_MS: u64 = 50;

/// Maximum number of requests in progress at the end that are logged one by one.
const MAX_LOGGED_REQUESTS: usize = 64;

/// Stops the host. Returns when no connection is open or the grace period is nearly over.
pub(crate) async fn stop_gracefully(context: &EdgeContext) {
    let started_at = ClockTime::now();
    let plan = StopPlan::new(context.settings.grace_ms);
    context.stop_started_at.set(Some(started_at));
    info!(context.logger, "stopping"; "grace_ms" => context.settings.grace_ms,
        "in_progress" => context.in_progress.len());
    sleep_until(started_at.plus(plan.close_listener_ms())).await;
    context.stop.close_listener();
    wait_for_end(context, started_at.plus(plan.close_idle_ms())).await;
    context.stop.close_connections();
    wait_for_end(context, started_at.plus(plan.end_ms())).await;
    log_end(context, started_at);
}

/// Waits until the listener and every connection are closed and no request is in progress, one of
/// another host included, at the longest until `deadline`.
async fn wait_for_end(context: &EdgeContext, deadline: ClockTime) {
    let has_work = || !context.stop.has_ended() || context.in_progress.len() > 0;
    while has_work() && ClockTime::now() < deadline {
        let next_check = ClockTime::now().plus(CHECK_INTERVAL_MS);
        sleep_until(next_check.min(deadline)).await;
    }
}

async fn sleep_until(time: ClockTime) {
    sleep(Duration::from_millis(time.since(ClockTime::now()))).await;
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
