//! Metrics of one host.
//!
//! Refusals and retries are counted by reason. The admin address serves all
//! metrics as text.

use std::fmt::Write;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crocushoist_protocol::ReasonCount;
use crocushoist_protocol::RefusalReason;
use crocushoist_state::breach;

/// Why a request was retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// The connection to the instance failed.
    ConnectFailed,
    /// The idle connection was closed before the request was written.
    ConnectionClosed,
    /// The instance shed the request.
    Shed,
    /// The instance failed after the request was written.
    UpstreamFailed,
}

impl RetryReason {
    const ALL: [RetryReason; 4] = [
        RetryReason::ConnectFailed,
        RetryReason::ConnectionClosed,
        RetryReason::Shed,
        RetryReason::UpstreamFailed,
    ];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::ConnectionClosed => "connection_closed",
            RetryReason::Shed => "shed",
            RetryReason::UpstreamFailed => "upstream_failed",
        }
    }
}

/// Label of metrics that are counted by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Metrics of one host.
#[derive(Debug)]
pub struct HostMetrics {
    registry: Registry,
    responses: Counter,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    breaches: Family<ReasonLabel, Gauge>,
    /// Tokens drawn from other hosts.
    pub draws: Counter,
    /// Draws to which no holder responded.
    pub draw_failures: Counter,
    /// Failed reads of the log and appends to it.
    pub log_failures: Counter,
    /// Failed reads of the host list.
    pub host_list_failures: Counter,
    /// Failed connections to peers and failed pulls from them.
    pub pull_failures: Counter,
    /// Records that could not be decoded.
    pub unreadable_records: Counter,
    /// Shards reclaimed from silent holders.
    pub reclaims: Counter,
    /// Responses that belonged to another attempt.
    pub mismatched_responses: Counter,
    /// Snapshots written.
    pub snapshots: Counter,
    /// Reports of outcomes that no service owner received.
    pub report_failures: Counter,
}

impl Default for HostMetrics {
    fn default() -> Self {
        let mut metrics = HostMetrics {
            registry: Registry::with_prefix("crocushoist"),
            responses: Counter::default(),
            refusals: Family::default(),
            retries: Family::default(),
            breaches: Family::default(),
            draws: Counter::default(),
            draw_failures: Counter::default(),
            log_failures: Counter::default(),
            host_list_failures: Counter::default(),
            pull_failures: Counter::default(),
            unreadable_records: Counter::default(),
            reclaims: Counter::default(),
            mismatched_responses: Counter::default(),
            snapshots: Counter::default(),
            report_failures: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl HostMetrics {
    /// Counts a request that an upstream responded to.
    pub fn count_response(&self) {
        self.responses.inc();
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals
            .get_or_create(&ReasonLabel {
                reason: reason.name(),
            })
            .inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries
            .get_or_create(&ReasonLabel {
                reason: reason.name(),
            })
            .inc();
    }

    /// Requests to which an upstream responded.
    pub fn responses(&self) -> u64 {
        self.responses.get()
    }

    /// Refusals by reason, without reasons that did not occur.
    pub fn refusals(&self) -> Vec<ReasonCount> {
        counts(&self.refusals, RefusalReason::ALL.map(RefusalReason::name))
    }

    /// Retries by reason, without reasons that did not occur.
    pub fn retries(&self) -> Vec<ReasonCount> {
        counts(&self.retries, RetryReason::ALL.map(RetryReason::name))
    }

    /// Breached invariants by kind, without kinds that did not occur.
    pub fn breaches() -> Vec<ReasonCount> {
        breach::ALL_KINDS
            .into_iter()
            .filter(|kind| breach::count(*kind) > 0)
            .map(|kind| ReasonCount {
                reason: kind.name().into(),
                count: breach::count(kind),
            })
            .collect()
    }

    /// All metrics in the text format of the scrapers.
    pub fn text(&self) -> String {
        for kind in breach::ALL_KINDS {
            let label = ReasonLabel {
                reason: kind.name(),
            };
            self.breaches
                .get_or_create(&label)
                .set(breach::count(kind) as i64);
        }
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            let _ = writeln!(text, "# the counters cannot be encoded");
        }
        text
    }

    fn register(&mut self) {
        let counters = [
            (
                "answered",
                "Requests answered by an upstream",
                &self.responses,
            ),
            ("draws", "Tokens drawn from other hosts", &self.draws),
            (
                "draw_failures",
                "Draws that no holder answered",
                &self.draw_failures,
            ),
            (
                "log_failures",
                "Failed reads of the log",
                &self.log_failures,
            ),
            (
                "host_list_failures",
                "Failed reads of the host list",
                &self.host_list_failures,
            ),
            (
                "pull_failures",
                "Failed questions to peers",
                &self.pull_failures,
            ),
            (
                "unreadable_records",
                "Records that cannot be decoded",
                &self.unreadable_records,
            ),
            (
                "reclaims",
                "Shards reclaimed from silent holders",
                &self.reclaims,
            ),
            (
                "crossed_answers",
                "Answers that belonged to another attempt",
                &self.mismatched_responses,
            ),
            ("snapshots", "Snapshots written", &self.snapshots),
            (
                "report_failures",
                "Reports of evidence that no home took",
                &self.report_failures,
            ),
        ];
        for (name, help, counter) in counters {
            self.registry.register(name, help, counter.clone());
        }
        self.registry.register(
            "refusals",
            "Refused requests by reason",
            self.refusals.clone(),
        );
        self.registry.register(
            "retries",
            "Requests tried again by reason",
            self.retries.clone(),
        );
        self.registry
            .register("breaches", "Breached invariants", self.breaches.clone());
        for reason in RefusalReason::ALL {
            let label = ReasonLabel {
                reason: reason.name(),
            };
            let _ = self.refusals.get_or_create(&label);
        }
        for reason in RetryReason::ALL {
            let label = ReasonLabel {
                reason: reason.name(),
            };
            let _ = self.retries.get_or_create(&label);
        }
    }
}

fn counts<const N: usize>(
    family: &Family<ReasonLabel, Counter>,
    names: [&'static str; N],
) -> Vec<ReasonCount> {
    names
        .into_iter()
        .map(|reason| ReasonCount {
            reason: reason.into(),
            count: family.get_or_create(&ReasonLabel { reason }).get(),
        })
        .filter(|entry| entry.count > 0)
        .collect()
}
