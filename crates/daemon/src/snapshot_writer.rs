//! Writes snapshots of the replayed state to the log before records expire.
//!
//! The holder of the first shard writes. A snapshot that is written twice does
//! no harm, so a change of the holder needs no coordination. A state is
//! written only if every record in it is accepted.

use std::time::Duration;

use compio::time::sleep;

use crocushoist_coordination::LogRecord;
use crocushoist_protocol::encode_snapshot;
use crocushoist_protocol::split_snapshot;
use crocushoist_state::ClockTime;
use crocushoist_state::ShardId;

use crate::host_context::HostContext;
use crate::host_context::SharedContext;

const CHECK_INTERVAL_MS: u64 = 250;
/// Shard whose holder writes the snapshots.
const WRITER_SHARD: u32 = 0;

/// Writes snapshots while this host holds the first shard.
pub(crate) async fn write_snapshots(context: SharedContext) {
    let mut newest = (0, ClockTime::now());
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now = ClockTime::now();
        let as_of = context.state.borrow().replayed.newest_snapshot_offset();
        if as_of != newest.0 {
            newest = (as_of, now);
        }
        if is_due(&context, newest.1, now) && write_snapshot(&context).await {
            newest.1 = now;
        }
    }
}

/// Whether this host must write a snapshot, by records or by time since the newest one.
fn is_due(context: &HostContext, written_at: ClockTime, now: ClockTime) -> bool {
    let state = context.state.borrow();
    let next = state.replayed.next_offset();
    let uncovered_records = next - state.replayed.newest_snapshot_offset();
    let is_interval_over =
        now.since(written_at) >= context.settings.snapshot_interval_ms && next > 0;
    state
        .shard_buckets
        .is_active(ShardId::from_u32(WRITER_SHARD))
        && state.is_fresh(now)
        && state.acceptance.accepted_offset() >= next
        && (is_interval_over || uncovered_records >= context.settings.snapshot_interval_records)
}

/// Writes one snapshot; returns whether all its parts were appended.
async fn write_snapshot(context: &HostContext) -> bool {
    let (as_of, bytes) = {
        let state = context.state.borrow();
        (
            state.replayed.next_offset(),
            encode_snapshot(&state.replayed),
        )
    };
    for part in split_snapshot(as_of, &bytes) {
        if context
            .append_record(&LogRecord::Snapshot(part))
            .await
            .is_err()
        {
            context.metrics.log_failures.inc();
            return false;
        }
    }
    context.metrics.snapshots.inc();
    true
}
