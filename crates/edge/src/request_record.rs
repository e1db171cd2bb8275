//! What is logged of a request that was not simply served.

use compact_str::CompactString;
use slog::Logger;
use slog::info;

/// Attempts that a line names; later ones are counted only.
const MAX_NAMED_ATTEMPTS: usize = 4;

/// One of so many plain successes is logged.
const SAMPLE_EVERY: u32 = 64;

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
    pub(crate) told_share: Option<f64>,
    /// Requests waiting per slot at the least loaded sound instance.
    pub(crate) waiting_per_slot: Option<f64>,
    /// Milliseconds that the request had.
    pub(crate) budget_ms: u64,
    attempts: Vec<AttemptNote>,
    attempt_count: usize,
}

/// How an attempt ended, and what was known of its instance.
#[derive(Clone, Debug)]
pub(crate) struct AttemptNote {
    /// Id of the instance.
    pub(crate) instance: CompactString,
    /// End of the attempt.
    pub(crate) end: &'static str,
    /// Milliseconds that it took.
    pub(crate) millis: u64,
    /// Probability that the instance is faulty.
    pub(crate) faulty: f64,
    /// Requests in flight there from all hosts.
    pub(crate) load: u32,
}

impl RequestRecord {
    /// Notes an attempt that has ended.
    pub(crate) fn note_attempt(&mut self, note: AttemptNote) {
        self.attempt_count += 1;
        if self.attempts.len() < MAX_NAMED_ATTEMPTS {
            self.attempts.push(note);
        }
    }

    /// Number of attempts that have ended.
    pub(crate) fn attempt_count(&self) -> usize {
        self.attempt_count
    }

    /// Logs the end of the request, or a sample of plain successes.
    pub(crate) fn log(&self, logger: &Logger, outcome: &str, status: u16, millis: u64, draw: u32) {
        let is_plain = status < 400 && self.attempt_count <= 1;
        if is_plain && !draw.is_multiple_of(SAMPLE_EVERY) {
            return;
        }
        let attempts: Vec<String> = self
            .attempts
            .iter()
            .map(|note| {
                let percent = (note.faulty * 100.0) as u8;
                format!(
                    "{} {} {}ms faulty={percent}% load={}",
                    note.instance, note.end, note.millis, note.load
                )
            })
            .collect();
        info!(logger, "request ended";
            "request" => self.id.as_str(), "outcome" => outcome, "status" => status,
            "millis" => millis, "budget_ms" => self.budget_ms, "route" => self.route.as_str(),
            "workspace" => self.workspace.as_str(), "config_version" => self.config_version,
            "evidence_age_ms" => self.evidence_age, "told_share" => self.told_share,
            "waiting_per_slot" => self.waiting_per_slot, "attempts" => attempts.join("; "),
            "attempt_count" => self.attempt_count);
    }
}
