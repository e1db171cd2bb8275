//! A planned stop, which cuts no request.
//!
//! The host first stops being named to callers, while it goes on serving those
//! that keep its address. Shortly before its grace ends it closes the idle
//! connections, lets requests in progress finish and ends.

use std::time::Duration;

use compio::time::sleep;
use slog::info;

use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;

/// Milliseconds before the end of the grace at which idle connections are closed.
const CLOSE_BEFORE_MS: u64 = 1_800;

/// Milliseconds before the end of the grace at which the process ends.
const EXIT_BEFORE_MS: u64 = 700;

const CHECK_INTERVAL_MS: u64 = 50;

/// Stops the host; returns when no request is in progress or its grace is over.
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
    while context.stop.open_count() > 0 && ClockTime::now() < end_at {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    info!(context.logger, "stopped"; "in_progress" => context.in_progress.get(),
        "connections_left" => context.stop.open_count(),
        "millis" => ClockTime::now().since(started_at));
}
