//! Structured log lines on standard output.
//!
//! Lines are JSON objects. A separate thread writes them from a bounded queue,
//! so that logging never blocks a request. If the queue is full, lines are
//! dropped; the next line that fits reports how many.

use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::o;
use slog_async::Async;
use slog_async::AsyncGuard;
use slog_async::OverflowStrategy;
use slog_json::Json;

/// Maximum number of lines in the queue; 512 lines of about 300 bytes are 150 KB.
const MAX_QUEUED_LINES: usize = 512;

/// Logger of the host `name`, and the guard that flushes it when dropped.
pub(crate) fn new_logger(name: &str, level: Level) -> (Logger, AsyncGuard) {
    let json = Json::default(std::io::stdout()).ignore_res();
    let (queue, guard) = Async::new(LevelFilter::new(json, level).ignore_res())
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let logger = Logger::root(queue.ignore_res(), o!("host" => name.to_owned()));
    (logger, guard)
}
