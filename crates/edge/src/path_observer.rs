//! Applies what attempts and probes show about the paths to instances.
//!
//! Outcomes without any response count for the fault estimates, here and at the
//! hub, only once the monitor has confirmed that the path is sound.

use slog::info;
use slog::warn;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceKey;
use crocushoist_policy::PathChange;
use crocushoist_policy::PathContact;
use crocushoist_policy::UnconfirmedOutcome;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;

/// Records an attempt at the instance `key`, on the connection `contact`, that ended, or is late,
/// without any response.
pub(crate) fn observe_failure(
    context: &EdgeContext,
    key: InstanceKey,
    outcome: AttemptOutcome,
    contact: PathContact,
    latency_ms: u64,
) {
    let now = ClockTime::now();
    let failure = UnconfirmedOutcome {
        key,
        outcome,
        contact,
        latency_ms,
        failed_at: now,
    };
    let (confirmed, change) = {
        let mut table = context.instances.borrow_mut();
        match outcome {
            AttemptOutcome::Unreachable => table.record_unreachable(key, now),
            AttemptOutcome::Failed => table.record_silence(key, now),
            AttemptOutcome::Good | AttemptOutcome::Late => {}
        }
        let service = &table.get(key).listing.service;
        let instance_count = table.usable_count(service, now);
        let mut paths = context.paths.borrow_mut();
        paths.record_failure(service, failure, instance_count)
    };
    if confirmed.is_some() {
        observe_outcome(context, key, outcome, latency_ms);
    }
    apply_change(context, key, change);
}

/// Records that this host reached the instance `key`.
pub(crate) fn observe_contact(context: &EdgeContext, key: InstanceKey, contact: PathContact) {
    let now = ClockTime::now();
    let (confirmed, change) = {
        let table = context.instances.borrow();
        let service = &table.get(key).listing.service;
        let mut paths = context.paths.borrow_mut();
        paths.record_contact(service, key, contact, now)
    };
    for failure in confirmed {
        observe_outcome(context, failure.key, failure.outcome, failure.latency_ms);
    }
    apply_change(context, key, change);
}

/// Records an outcome that counts for the fault estimate of the instance `key`.
pub(crate) fn observe_outcome(
    context: &EdgeContext,
    key: InstanceKey,
    outcome: AttemptOutcome,
    latency_ms: u64,
) {
    let now = ClockTime::now();
    let mut table = context.instances.borrow_mut();
    let was_suspected = table.is_suspected(key, now);
    table.record_outcome(key, outcome, latency_ms, now);
    context
        .metrics
        .count_outcomes(outcome.name(), "this_host", 1);
    if !was_suspected && table.is_suspected(key, now) {
        let listing = &table.get(key).listing;
        info!(context.logger, "instance suspected"; "instance" => listing.id.as_str(),
            "service" => listing.service.as_str(), "cause" => outcome.name());
    }
}

/// Follows a change of the path to the service of the instance `key`.
fn apply_change(context: &EdgeContext, key: InstanceKey, change: Option<PathChange>) {
    let Some(change) = change else {
        return;
    };
    let mut table = context.instances.borrow_mut();
    let service = table.get(key).listing.service.clone();
    match change {
        PathChange::Lost => {
            // Open connections may be as dead as those that cannot be opened.
            for key in table.usable_keys(&service, ClockTime::now()) {
                let address = table.get(key).listing.address;
                context.upstreams.close_idle(address);
            }
            warn!(context.logger, "path to instances lost"; "service" => service.as_str());
        }
        PathChange::Back => {
            table.end_backoffs(&service);
            info!(context.logger, "path to instances is back"; "service" => service.as_str(),
                "instance" => table.get(key).listing.id.as_str());
        }
    }
    context.metrics.count_path_change(change);
}
