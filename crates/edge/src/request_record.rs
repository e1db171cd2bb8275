//! Log line at the end of a request.
//!
//! Every request with an error status or several attempts is logged, and a
//! sample of the others.

use compact_str::CompactString;
use slog::Logger;
use slog::info;

use crocushoist_policy::RetryPayment;

/// Maximum number of attempts that a line describes; later ones are only counted.
const MAX_LOGGED_ATTEMPTS: usize = 4;

/// One of this many requests that succeed at the first attempt is logged.
const SAMPLE_INTERVAL: u32 = 64;

/// Decisions on a request and the state that they were based on.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestRecord {
    /// Id of the caller's attempt.
    pub(crate) id: CompactString,
    /// Name of the route.
    pub(crate) route: CompactString,
    /// Name of the workspace.
    pub(crate) workspace: CompactString,
    /// Version of the configuration that applied.
    pub(crate) config_version: u64,
    /// Milliseconds since the newest evidence that no configuration was missed.
    pub(crate) evidence_age: Option<u64>,
    /// Milliseconds since a hub last answered, zero at a hub, `None` before the first answer.
    pub(crate) hub_age: Option<u64>,
    /// Share of the workspace's requests to admit, from the hub or a near-full window record, if
    /// there was one.
    pub(crate) assigned_share: Option<f64>,
    /// Requests waiting per slot at the least loaded healthy instance.
    pub(crate) waiting_per_slot: Option<f64>,
    /// Milliseconds until the caller's deadline, from the arrival of the request.
    pub(crate) budget_ms: u64,
    /// Name of the service, empty before one was chosen.
    pub(crate) service: CompactString,
    /// Whether the request may run only once and was sent to a suspected instance.
    pub(crate) is_required_trial: bool,
    attempts: Vec<AttemptRecord>,
    attempt_count: usize,
    retries: Vec<RetryRecord>,
}

/// Result of an attempt and the state of its instance.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    /// Id of the instance.
    pub(crate) instance: CompactString,
    /// Result of the attempt.
    pub(crate) result: &'static str,
    /// Duration in milliseconds.
    pub(crate) millis: u64,
    /// Estimated probability that the instance is faulty, when it was chosen.
    pub(crate) fault_probability: f64,
    /// Requests in flight at the instance from all hosts.
    pub(crate) in_flight: u32,
}

/// Decision on a retry or a hedge and what it was based on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryRecord {
    /// What the retry was charged to, `None` if the budget had no room.
    pub(crate) payment: Option<RetryPayment>,
    /// Share of the retries that the hub had assigned, as far as its age allowed.
    pub(crate) share: Option<f64>,
    /// Milliseconds since the hub's shares arrived.
    pub(crate) share_age: Option<u64>,
}

impl RetryRecord {
    /// Text in the log.
    fn describe(&self) -> String {
        let payment = self.payment.map_or("denied", RetryPayment::name);
        match (self.share, self.share_age) {
            (Some(share), Some(age)) => {
                let percent = (share * 100.0) as u8;
                format!("{payment} share={percent}% age={age}ms")
            }
            (None, Some(age)) => format!("{payment} share=none age={age}ms"),
            _ => format!("{payment} share=none"),
        }
    }
}

impl RequestRecord {
    /// Records whether a retry or a hedge was allowed.
    pub(crate) fn record_retry(&mut self, retry: RetryRecord) {
        if self.retries.len() < MAX_LOGGED_ATTEMPTS {
            self.retries.push(retry);
        }
    }

    /// Records an attempt that has ended.
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

    /// Logs the end of the request; `draw` is a random number that selects the sample.
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
                let percent = (attempt.fault_probability * 100.0) as u8;
                format!(
                    "{} {} {}ms faulty={percent}% load={}",
                    attempt.instance, attempt.result, attempt.millis, attempt.in_flight
                )
            })
            .collect();
        let retries: Vec<String> = self.retries.iter().map(RetryRecord::describe).collect();
        info!(logger, "request ended";
            "request" => self.id.as_str(), "outcome" => outcome, "status" => status,
            "millis" => millis, "budget_ms" => self.budget_ms, "route" => self.route.as_str(),
            "service" => self.service.as_str(), "workspace" => self.workspace.as_str(), "config_version" => self.config_version,
            "evidence_age_ms" => self.evidence_age, "hub_age_ms" => self.hub_age, "told_share" => self.assigned_share,
            "waiting_per_slot" => self.waiting_per_slot, "attempts" => attempts.join("; "),
            "attempt_count" => self.attempt_count, "retries" => retries.join("; "));
    }
}
