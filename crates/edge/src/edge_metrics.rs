//! Metrics of one host.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crocushoist_policy::PathChange;
use crocushoist_policy::RetryPayment;

/// Upper bounds of the latency buckets in seconds; the objectives of the routes are between 0.6
/// and 1.5 s.
const LATENCY_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0];

/// Label of counters by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Label of retries by the result of the attempt before and what the retry was charged to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabel {
    reason: &'static str,
    paid_by: &'static str,
}

/// Label of outcomes at instances by the host that observed them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    reason: &'static str,
    seen_by: &'static str,
}

/// Label of histograms by kind of route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// Metrics of one host.
#[derive(Debug)]
pub(crate) struct EdgeMetrics {
    registry: Registry,
    responses: Family<ReasonLabel, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    attempts: Family<ReasonLabel, Counter>,
    retries: Family<RetryLabel, Counter>,
    denied_retries: Family<ReasonLabel, Counter>,
    store_calls: Family<ReasonLabel, Counter>,
    signals: Family<ReasonLabel, Counter>,
    outcomes: Family<OutcomeLabel, Counter>,
    path_changes: Family<ReasonLabel, Counter>,
    relays: Family<ReasonLabel, Counter>,
    passed_over_hubs: Family<ReasonLabel, Counter>,
    client_ends: Family<ReasonLabel, Counter>,
    latency: Family<KindLabel, Histogram>,
    /// Version of the configuration in force.
    pub(crate) config_version: Gauge,
    /// Milliseconds since this host's own newest evidence from the store.
    pub(crate) evidence_age_ms: Gauge,
    /// Entries of the instance list that were skipped, each time they were read.
    pub(crate) skipped_entries: Counter,
    /// Milliseconds since this host last knew every change of the instance list.
    pub(crate) listing_age_ms: Gauge,
    /// Milliseconds since a hub last answered, zero at a hub.
    pub(crate) hub_age_ms: Gauge,
    /// Era of the store.
    pub(crate) store_era: Gauge,
    /// Changes of the store's era since the start.
    pub(crate) era_changes: Counter,
    /// Milliseconds from the last change until this host knew everything again.
    pub(crate) era_catch_up_ms: Gauge,
    /// Connections of clients at all listeners.
    pub(crate) connected_clients: Gauge,
    /// Bytes of the pool that clients hold.
    pub(crate) client_bytes: Gauge,
    /// Number of instances that accept requests.
    pub(crate) usable_instances: Gauge,
    /// Number of these that are suspected to be faulty.
    pub(crate) suspected_instances: Gauge,
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("crocushoist");
        let responses = Family::default();
        let refusals = Family::default();
        let attempts = Family::default();
        let retries = Family::default();
        let denied_retries = Family::default();
        let store_calls = Family::default();
        let signals = Family::default();
        let outcomes = Family::default();
        let path_changes = Family::default();
        let relays = Family::default();
        let passed_over_hubs = Family::default();
        let client_ends = Family::default();
        let connected_clients = Gauge::default();
        let client_bytes = Gauge::default();
        let latency = Family::<KindLabel, Histogram>::new_with_constructor(|| {
            Histogram::new(LATENCY_BUCKETS_S)
        });
        let config_version = Gauge::default();
        let evidence_age_ms = Gauge::default();
        let skipped_entries = Counter::default();
        let listing_age_ms = Gauge::default();
        let hub_age_ms = Gauge::default();
        let store_era = Gauge::default();
        let era_changes = Counter::default();
        let era_catch_up_ms = Gauge::default();
        let usable_instances = Gauge::default();
        let suspected_instances = Gauge::default();
        registry.register("answers", "Answers by outcome", responses.clone());
        registry.register("refusals", "Refusals by reason", refusals.clone());
        registry.register("attempts", "Attempts at instances by end", attempts.clone());
        registry.register(
            "retries",
            "Repeated sends by reason and payment",
            retries.clone(),
        );
        registry.register(
            "denied_retries",
            "Repeated sends without budget, by reason",
            denied_retries.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store by end",
            store_calls.clone(),
        );
        registry.register(
            "instance_signals",
            "What instances said about themselves, by kind",
            signals.clone(),
        );
        registry.register(
            "instance_outcomes",
            "Outcomes that count for the fault estimates, by the host that observed them",
            outcomes.clone(),
        );
        registry.register(
            "path_changes",
            "Paths to the instances of a service that were lost or came back",
            path_changes.clone(),
        );
        registry.register(
            "relays",
            "Requests sent to instances for other hosts, by outcome",
            relays.clone(),
        );
        registry.register(
            "passed_over_hubs",
            "Hubs that this host stopped using, by reason",
            passed_over_hubs.clone(),
        );
        registry.register(
            "turned_away_clients",
            "Clients that were turned away, by reason",
            client_ends.clone(),
        );
        registry.register(
            "connected_clients",
            "Connections of clients at all listeners",
            connected_clients.clone(),
        );
        registry.register(
            "client_pool_bytes",
            "Bytes of the pool that clients hold",
            client_bytes.clone(),
        );
        registry.register("answer_seconds", "Time to the answer", latency.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            config_version.clone(),
        );
        registry.register(
            "evidence_age_milliseconds",
            "Age of the host's own evidence of the store",
            evidence_age_ms.clone(),
        );
        registry.register(
            "skipped_entries",
            "Entries that name no instance to use, each time they were read",
            skipped_entries.clone(),
        );
        registry.register(
            "listing_age_milliseconds",
            "Age of the host's knowledge of the instance list",
            listing_age_ms.clone(),
        );
        registry.register(
            "hub_age_milliseconds",
            "Time since a hub answered, -1 before the first answer",
            hub_age_ms.clone(),
        );
        registry.register("store_era", "Era of the store", store_era.clone());
        registry.register(
            "store_era_changes",
            "Changes of the store's era",
            era_changes.clone(),
        );
        registry.register(
            "store_era_catch_up_milliseconds",
            "Time to full knowledge after the last change of the store's era",
            era_catch_up_ms.clone(),
        );
        registry.register(
            "usable_instances",
            "Instances that take requests",
            usable_instances.clone(),
        );
        registry.register(
            "suspected_instances",
            "Instances that take requests and are suspected to be faulty",
            suspected_instances.clone(),
        );
        EdgeMetrics {
            registry,
            responses,
            refusals,
            attempts,
            retries,
            denied_retries,
            store_calls,
            signals,
            outcomes,
            path_changes,
            relays,
            passed_over_hubs,
            client_ends,
            connected_clients,
            client_bytes,
            latency,
            config_version,
            evidence_age_ms,
            skipped_entries,
            listing_age_ms,
            hub_age_ms,
            store_era,
            era_changes,
            era_catch_up_ms,
            usable_instances,
            suspected_instances,
        }
    }
}

impl EdgeMetrics {
    /// Counts a response by outcome.
    pub(crate) fn count_response(&self, reason: &'static str) {
        self.responses.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an attempt by result.
    pub(crate) fn count_attempt(&self, reason: &'static str) {
        self.attempts.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a retry or a hedge by reason and payment.
    pub(crate) fn count_retry(&self, reason: &'static str, payment: RetryPayment) {
        let paid_by = payment.name();
        let label = RetryLabel { reason, paid_by };
        self.retries.get_or_create(&label).inc();
    }

    /// Counts a retry or a hedge for which the budget had no room.
    pub(crate) fn count_denied_retry(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.denied_retries.get_or_create(&label).inc();
    }

    /// Counts a call to the store by result.
    pub(crate) fn count_store_call(&self, reason: &'static str) {
        self.store_calls
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a statement of an instance about itself by kind.
    pub(crate) fn count_signal(&self, reason: &'static str) {
        self.signals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts outcomes by kind, and whether this host or another one observed them.
    pub(crate) fn count_outcomes(&self, reason: &'static str, seen_by: &'static str, count: u32) {
        if count > 0 {
            let label = OutcomeLabel { reason, seen_by };
            self.outcomes.get_or_create(&label).inc_by(u64::from(count));
        }
    }

    /// Counts a lost path to the instances of a service, or one that is back.
    pub(crate) fn count_path_change(&self, change: PathChange) {
        let reason = match change {
            PathChange::Lost => "lost",
            PathChange::Back => "back",
        };
        let label = ReasonLabel { reason };
        self.path_changes.get_or_create(&label).inc();
    }

    /// Counts a request that this host handled for another one, by outcome.
    pub(crate) fn count_relay(&self, reason: &'static str) {
        self.relays.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a hub that this host stopped using.
    pub(crate) fn count_passed_over_hub(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.passed_over_hubs.get_or_create(&label).inc();
    }

    /// Counts a client that was turned away.
    pub(crate) fn count_client_end(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.client_ends.get_or_create(&label).inc();
    }

    /// Records the milliseconds until the response on a route of `kind`.
    pub(crate) fn observe_latency(&self, kind: &'static str, millis: u64) {
        self.latency
            .get_or_create(&KindLabel { kind })
            .observe(millis as f64 / 1_000.0);
    }

    /// Metrics in the OpenMetrics text format.
    pub(crate) fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
