//! Checks that callers of hosts without a path to instances are served like others.

use std::ops::Range;

use crate::BrokenPromise;
use crate::CallHistory;
use crate::CallOutcome;
use crate::CallRecord;
use crate::PathCutRecord;
use crate::promise_check::LIMITED_WORKSPACE;

/// Milliseconds after a cut, and after an outage of a host, from which the platform counts.
const STABILITY_MS: u64 = 3_000;

/// Calls that may fail at cut hosts in any case.
const MAX_FAILED: usize = 10;

/// One in so many calls may fail there as well.
const FAILED_INTERVAL: usize = 50;

/// Numbers of calls sent and served.
#[derive(Clone, Copy, Debug, Default)]
struct ServedCount {
    sent: usize,
    served: usize,
}

/// Checks each cut of a part of the hosts that no other one overlaps.
pub(crate) fn check_path_cuts(history: &CallHistory) -> Vec<BrokenPromise> {
    let cuts = history.path_cuts.iter().enumerate();
    let alone = cuts.filter(|(index, cut)| {
        let mut others = history.path_cuts.iter().enumerate();
        others.all(|(other, found)| other == *index || !overlap(&found.span_ms, &cut.span_ms))
    });
    alone
        .filter_map(|(_, cut)| check_path_cut(history, cut))
        .collect()
}

fn check_path_cut(history: &CallHistory, cut: &PathCutRecord) -> Option<BrokenPromise> {
    let counted_ms = cut.span_ms.start + STABILITY_MS..cut.span_ms.end;
    let revoked = history.revoked_key.map(|(workspace, _)| workspace);
    let (mut at_cut, mut at_others) = (ServedCount::default(), ServedCount::default());
    for call in &history.calls {
        let must_be_served = call.workspace != LIMITED_WORKSPACE && Some(call.workspace) != revoked;
        let is_counted = counted_ms.contains(&call.sent_ms) && call.ended_ms <= counted_ms.end;
        if !must_be_served || !is_counted || !is_in_touch(history, call) {
            continue;
        }
        let count = if cut.hosts.contains(&call.host) {
            &mut at_cut
        } else {
            &mut at_others
        };
        count.sent += 1;
        let is_served = matches!(call.outcome, CallOutcome::Responded { status: 200, .. });
        count.served += usize::from(is_served);
    }
    let failed = at_cut.sent - at_cut.served;
    let allowed = MAX_FAILED + (at_cut.sent + at_others.sent) / FAILED_INTERVAL;
    let is_served_less = 3 * at_cut.served * at_others.sent < 2 * at_others.served * at_cut.sent;
    (is_served_less && failed > allowed).then_some(BrokenPromise::ServedLessWithoutPath(
        at_cut.served,
        at_cut.sent,
        at_others.served,
        at_others.sent,
        cut.span_ms.start,
    ))
}

/// Whether nothing but cuts disturbed the host of `call` up to its end.
fn is_in_touch(history: &CallHistory, call: &CallRecord) -> bool {
    let span_ms = call.sent_ms.saturating_sub(STABILITY_MS)..call.ended_ms;
    let mut outages = history.outages.iter();
    let starts = history.host_starts.iter();
    let mut starts = starts.filter(|(host, _)| *host == call.host);
    !outages.any(|outage| outage.host == call.host && overlap(&outage.span_ms, &span_ms))
        && !starts.any(|(_, started_ms)| span_ms.contains(started_ms))
}

pub(crate) fn overlap(left: &Range<u64>, right: &Range<u64>) -> bool {
    left.start <= right.end && right.start <= left.end
}
