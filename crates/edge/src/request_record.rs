//! What is logged of a request that was not simply served.

use compact_str::CompactString;
use slog::Logger;
use slog::info;

/// Attempts that a line names; later ones are counted only.
const MAX_LOGGED_ATTEMPTS: usize = 4;

/// One of so many plain successes is logged.
const SAMPLE_INTERVAL: u32 = 64;

/// What was decided about a request, and by what.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestRecord {
    /// Number of the caller's attempt.
    pub(crate) id: CompactString,
    /// Route.
    pub(crate) route: CompactString,
    /// Workspace.
    pub(crate) workspace: CompactString,
    /// Version of the configuration that decided.
    pub(crate) config_version: u64,
    /// Milliseconds since the newest proof of that configuration.
    pub(crate) evidence_age: Option<u64>,
    /// Share of the workspace's requests that a hub or a mark told, if any did.
    pub(crate) assigned_share: Option<f64>,
    /// Requests waiting per slot at the least loaded sound instance.
    pub(crate) waiting_per_slot: Option<f64>,
    /// Milliseconds that the request had.
    pub(crate) budget_ms: u64,
    attempts: Vec<AttemptRecord>,
    attempt_count: usize,
}

/// How an attempt ended, and what was known of its instance.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    /// Id of the instance.
    pub(crate) instance: CompactString,
    /// End of the attempt.
    pub(crate) result: &'static str,
    /// Milliseconds that it took.
    pub(crate) millis: u64,
    /// Probability that the instance is faulty.
    pub(crate) faulty: f64,
    /// Requests in flight there from all hosts.
    pub(crate) load: u32,
}

impl RequestRecord {
    /// Notes an attempt that has ended.
    pub(crate) fn record_attempt(&mut self, attempt: AttemptRecord) {
        self.attempt_count += 1;
        if self.attempts.len() < MAX_LOGGED_ATTEMPTS {
            self.attempts.push(attempt);
        }
    }

    /// Number of attempts that have ended.
    pub(crate) fn attempt_count(&self) -> usize {
        self.attempt_count
    }

    /// Logs the end of the request, or a sample of plain successes.
    pub(crate) fn log_end(
        &self,
        logger: &Logger,
        outcome: &str,
        status: u16,
        millis: u64,
        draw: u32,
    ) {
        let is_plain = status < 400 && self.attempt_count <= 1;
        if is_plain && !draw.is_multiple_of(SAMPLE_INTERVAL) {
            return;
        }
        let attempts: Vec<String> = self
            .attempts
            .iter()
            .map(|attempt| {
                let percent = (attempt.faulty * 100.0) as u8;
                format!(
                    "{} {} {}ms faulty={percent}% load={}",
                    attempt.instance, attempt.result, attempt.millis, attempt.load
                )
            })
            .collect();
        info!(logger, "request ended";
            "request" => self.id.as_str(), "outcome" => outcome, "status" => status,
            "millis" => millis, "budget_ms" => self.budget_ms, "route" => self.route.as_str(),
            "workspace" => self.workspace.as_str(), "config_version" => self.config_version,
            "evidence_age_ms" => self.evidence_age, "told_share" => self.assigned_share,
            "waiting_per_slot" => self.waiting_per_slot, "attempts" => attempts.join("; "),
            "attempt_count" => self.attempt_count);
    }
}
