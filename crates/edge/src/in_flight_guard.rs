//! Guard of a request in flight at an instance, which also records the outcome.

use std::rc::Rc;

use hyper::HeaderMap;
use slog::info;
use slog::warn;

use crocushoist_platform::InstanceSignals;
use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceKey;
use crocushoist_policy::PathContact;
use crocushoist_state::ClockTime;

use crate::edge_context::SharedContext;
use crate::path_observer::observe_contact;
use crate::path_observer::observe_failure;
use crate::path_observer::observe_outcome;

/// Milliseconds after the log line of an unreadable header in which this host writes no other.
const UNREADABLE_LOG_INTERVAL_MS: u64 = 10_000;

/// Maximum bytes of an unreadable header's value in a log line.
const MAX_LOGGED_VALUE_BYTES: usize = 40;

/// Counts a request in flight as waiting for a connection until dropped.
pub(crate) struct ConnectingGuard {
    context: SharedContext,
    key: InstanceKey,
}

/// Counts a request as in flight at an instance until dropped.
pub(crate) struct InFlightGuard {
    context: SharedContext,
    key: InstanceKey,
    started_at: ClockTime,
    is_late: bool,
    /// Probability that the instance is faulty, when it was chosen.
    pub(crate) fault_probability: f64,
}

impl InFlightGuard {
    /// Guard for the instance `key`, at which the choice has already counted the request.
    pub(crate) fn new(context: &SharedContext, key: InstanceKey) -> Self {
        let now = ClockTime::now();
        let fault_probability = context.instances.borrow().get(key).fault_probability(now);
        InFlightGuard {
            context: Rc::clone(context),
            key,
            started_at: now,
            is_late: false,
            fault_probability,
        }
    }

    /// Key of the instance.
    pub(crate) fn key(&self) -> InstanceKey {
        self.key
    }

    /// Milliseconds since the instance was chosen.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        ClockTime::now().since(self.started_at)
    }

    /// Records that the response is late.
    pub(crate) fn record_late(&mut self, contact: PathContact) {
        if !self.is_late {
            self.is_late = true;
            self.record_unconfirmed(AttemptOutcome::Late, contact);
        }
    }

    /// Records a valid response, unless it was recorded as late.
    pub(crate) fn record_response(&mut self) {
        if !self.is_late {
            self.record_outcome(AttemptOutcome::Good);
        }
    }

    /// Records a failure of the instance.
    pub(crate) fn record_failed(&self) {
        self.record_outcome(AttemptOutcome::Failed);
    }

    /// Records that the connection ended without any response.
    pub(crate) fn record_broken_off(&self, contact: PathContact) {
        self.record_unconfirmed(AttemptOutcome::Failed, contact);
    }

    /// Records that this host cannot reach the instance.
    pub(crate) fn record_unreachable(&self) {
        let contact = PathContact::NewConnection;
        self.record_unconfirmed(AttemptOutcome::Unreachable, contact);
    }

    /// Counts the request as waiting for a connection until the returned value is dropped.
    pub(crate) fn start_connecting(&self) -> ConnectingGuard {
        let mut table = self.context.instances.borrow_mut();
        table.start_connecting(self.key);
        ConnectingGuard {
            context: Rc::clone(&self.context),
            key: self.key,
        }
    }

    /// Records that this host reached the instance.
    pub(crate) fn record_contact(&self, contact: PathContact) {
        observe_contact(&self.context, self.key, contact);
    }

    /// Records that the instance shed the request.
    pub(crate) fn record_shed(&self) {
        let mut table = self.context.instances.borrow_mut();
        table.record_shed(self.key, ClockTime::now());
    }

    /// Whether the instance may still get the request.
    pub(crate) fn accepts_requests(&self, now: ClockTime) -> bool {
        let table = self.context.instances.borrow();
        table.get(self.key).accepts_requests(now)
    }

    /// Records what the instance says about itself in a response with `headers`;
    /// `is_own_response` is whether it responds to this attempt.
    pub(crate) fn record_signals(
        &self,
        signals: InstanceSignals,
        headers: &HeaderMap,
        is_own_response: bool,
    ) {
        let now = ClockTime::now();
        let mut table = self.context.instances.borrow_mut();
        // A late response to another attempt may be older than the end of a limit.
        let says_limit = signals.limit_per_s.is_some() || (is_own_response && !signals.names_limit);
        let is_new_limit =
            says_limit && table.record_limit(self.key, signals.limit_per_s, self.started_at, now);
        let is_new_leaving = signals.is_leaving && table.record_leaving(self.key, now);
        let is_new_hold = signals
            .hold_ms
            .is_some_and(|hold_ms| table.record_hold(self.key, hold_ms, now));
        let listing = &table.get(self.key).listing;
        let metrics = &self.context.metrics;
        let logger = &self.context.logger;
        if is_new_leaving {
            metrics.count_signal("leaving");
            self.context.upstreams.close_idle(listing.address);
            info!(logger, "instance says that it leaves"; "instance" => listing.id.as_str(),
                "service" => listing.service.as_str(), "cause" => "its response",
                "started_at" => listing.started_at_unix_ms);
        }
        if signals.hold_ms.is_some() {
            metrics.count_signal("hold");
        }
        if is_new_hold {
            info!(logger, "instance wants no requests"; "instance" => listing.id.as_str(),
                "service" => listing.service.as_str(), "cause" => "its response",
                "millis" => signals.hold_ms);
        }
        if signals.limit_per_s.is_some() {
            metrics.count_signal("limit");
        }
        if is_new_limit {
            info!(logger, "instance limit"; "instance" => listing.id.as_str(),
                "service" => listing.service.as_str(), "cause" => "its response",
                "per_s" => signals.limit_per_s);
        }
        let Some(header) = signals.suspect_header else {
            return;
        };
        metrics.count_signal("unreadable");
        let logged_at = self.context.unreadable_signal_logged_at.get();
        if logged_at.is_none_or(|at| now.since(at) > UNREADABLE_LOG_INTERVAL_MS) {
            self.context.unreadable_signal_logged_at.set(Some(now));
            let values: Vec<_> = headers.get_all(header).iter().collect();
            let mut value = format!("{values:?}");
            value.truncate(value.floor_char_boundary(MAX_LOGGED_VALUE_BYTES));
            warn!(logger, "instance sent an unreadable header";
                "instance" => listing.id.as_str(), "header" => header, "value" => value,
                "millis" => signals.hold_ms);
        }
    }

    /// Records that another instance responded at the listed address, so the listed one is gone.
    pub(crate) fn record_misdirected(&self) {
        self.context
            .instances
            .borrow_mut()
            .record_departure(self.key);
    }

    fn record_outcome(&self, outcome: AttemptOutcome) {
        observe_outcome(&self.context, self.key, outcome, self.elapsed_ms());
    }

    /// Records an outcome without any response, which may be a failure of the path.
    fn record_unconfirmed(&self, outcome: AttemptOutcome, contact: PathContact) {
        let elapsed_ms = self.elapsed_ms();
        observe_failure(&self.context, self.key, outcome, contact, elapsed_ms);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.context.instances.borrow_mut().release(self.key);
    }
}

impl Drop for ConnectingGuard {
    fn drop(&mut self) {
        self.context.instances.borrow_mut().end_connecting(self.key);
    }
}
