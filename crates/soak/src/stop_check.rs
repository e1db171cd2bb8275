//! Checks of missing and replaced responses, in particular around planned stops.
//!
//! A disturbance that was not planned excuses a missing response, from shortly
//! before the call until its end. A planned stop excuses it in few cases: the
//! request crossed the close of its connection and reached no instance, its
//! time was over, the instance broke off, or it was still at work at the end
//! of the grace period. Reloads and configuration changes excuse nothing.

use std::ops::Range;

use crocushoist_platform_standin::ArrivalResult;

use crate::ArrivalRecord;
use crate::BrokenPromise;
use crate::CallHistory;
use crate::CallOutcome;
use crate::CallRecord;
use crate::HostOutage;

/// Milliseconds after a disturbance in which the platform excuses a host.
const STABILITY_MS: u64 = 3_000;

/// Milliseconds after SIGTERM at which the platform kills a process.
pub(crate) const GRACE_MS: u64 = 6_000;

/// Milliseconds after the grace period until which missing responses count as caused by the stop.
const AFTER_GRACE_MS: u64 = 1_000;

/// Milliseconds after its last byte within which a request that reached no instance may be lost.
const LOSS_SLACK_MS: u64 = 200;

/// Milliseconds after SIGTERM within which a request is sent that may be cut off by the kill.
const LATE_WORK_SENT_MS: u64 = 3_000;

/// Milliseconds after SIGTERM at which hosts must no longer count as ready.
const UNREADY_MS: u64 = 4_000;

/// Number of failed readiness checks in a row after which a host doesn't count as ready.
const FAILED_PROBES: usize = 2;

/// Checks a call that ended without a complete response.
pub(crate) fn check_missing_response(
    history: &CallHistory,
    call: &CallRecord,
    executions: usize,
    arrivals: &[&ArrivalRecord],
) -> Option<BrokenPromise> {
    let is_forwarded = executions > 0 || !arrivals.is_empty();
    let is_crossing = !is_forwarded && call.ended_ms <= call.last_byte_ms + LOSS_SLACK_MS;
    let is_excused = is_disturbed(history, call)
        || stops_of(history, call)
            .any(|stop| is_crossing || is_excused_by_stop(history, call, arrivals, stop));
    (!is_excused).then(|| {
        let trace = trace_call(history, call, arrivals);
        BrokenPromise::NoResponse(call.attempt_id.clone(), call.host, trace)
    })
}

/// Checks that a stopping host doesn't respond itself while an instance executes the request.
pub(crate) fn check_replaced_response(
    history: &CallHistory,
    call: &CallRecord,
    arrivals: &[&ArrivalRecord],
) -> Option<BrokenPromise> {
    let is_response = matches!(call.outcome, CallOutcome::Responded { .. });
    let is_at_work = arrivals.iter().any(|arrival| {
        arrival.result == ArrivalResult::Abandoned
            || (arrival.result != ArrivalResult::Rejected && arrival.span_ms.end > call.ended_ms)
    });
    if !is_response || !call.is_from_host || !is_at_work || is_disturbed(history, call) {
        return None;
    }
    let mut stops = stops_of(history, call).peekable();
    stops.peek()?;
    let is_excused = stops.any(|stop| is_excused_by_stop(history, call, arrivals, stop));
    (!is_excused).then(|| {
        let trace = trace_call(history, call, arrivals);
        BrokenPromise::ReplacedAtStop(call.attempt_id.clone(), call.host, trace)
    })
}

/// Whether the call's host was disturbed without plan, shortly before the call or during it.
fn is_disturbed(history: &CallHistory, call: &CallRecord) -> bool {
    history.outages.iter().any(|outage| {
        outage.host == call.host
            && !outage.is_planned
            // A kill and the end of the call that it cut off can fall into the same millisecond.
            && outage.span_ms.start <= call.ended_ms
            && call.sent_ms < outage.span_ms.end + STABILITY_MS
    })
}

/// Planned stops of the call's host during which the call ended.
fn stops_of<'a>(
    history: &'a CallHistory,
    call: &'a CallRecord,
) -> impl Iterator<Item = &'a HostOutage> {
    history.outages.iter().filter(|outage| {
        let asked_ms = outage.span_ms.start;
        let caused_by_stop = asked_ms..=asked_ms + GRACE_MS + AFTER_GRACE_MS;
        outage.host == call.host && outage.is_planned && caused_by_stop.contains(&call.ended_ms)
    })
}

/// Whether `stop` excuses that a forwarded request gets no response of its instance.
fn is_excused_by_stop(
    history: &CallHistory,
    call: &CallRecord,
    arrivals: &[&ArrivalRecord],
    stop: &HostOutage,
) -> bool {
    let is_time_over = call.ended_ms >= call.sent_ms + call.deadline_ms;
    let asked_ms = stop.span_ms.start;
    let last_sixth = asked_ms + GRACE_MS * 5 / 6..asked_ms + GRACE_MS;
    let is_late_work = call.sent_ms <= asked_ms + LATE_WORK_SENT_MS
        && call.ended_ms >= last_sixth.start
        && arrivals.iter().any(|arrival| {
            arrival.result != ArrivalResult::Rejected && overlaps(&arrival.span_ms, &last_sixth)
        });
    let is_cut = history.instance_cuts.iter().any(|(instance, cut)| {
        let mut at_instance = arrivals.iter().filter(|found| found.instance == *instance);
        at_instance.any(|arrival| {
            arrival.result == ArrivalResult::Abandoned && overlaps(&arrival.span_ms, cut)
        })
    });
    let is_path_cut = history.path_cuts.iter().any(|cut| {
        arrivals.iter().any(|arrival| {
            arrival.result == ArrivalResult::Abandoned
                && cut.hosts.contains(&arrival.host)
                && overlaps(&arrival.span_ms, &cut.span_ms)
        })
    });
    is_time_over || is_late_work || is_cut || is_path_cut
}

fn overlaps(left: &Range<u64>, right: &Range<u64>) -> bool {
    left.start <= right.end && right.start <= left.end
}

/// Describes a call and what happened to its host and at instances.
fn trace_call(history: &CallHistory, call: &CallRecord, arrivals: &[&ArrivalRecord]) -> String {
    let connection = if call.is_kept { "kept" } else { "new" };
    let mut trace = format!(
        "{connection} connection, {}..{} ms of {} ms, last byte {} ms",
        call.sent_ms, call.ended_ms, call.deadline_ms, call.last_byte_ms
    );
    for arrival in arrivals {
        trace += &format!(
            ", at instance {} {:?} {:?}",
            arrival.instance, arrival.span_ms, arrival.result
        );
    }
    for outage in &history.outages {
        let near_ms = outage.span_ms.start..outage.span_ms.end + GRACE_MS;
        if outage.host == call.host && near_ms.contains(&call.ended_ms) {
            let cause = if outage.is_planned { "stop" } else { "outage" };
            trace += &format!(", {cause} {:?}", outage.span_ms);
        }
    }
    trace
}

/// Checks that hosts which were asked to stop do not count as ready for long.
pub(crate) fn check_readiness(history: &CallHistory) -> Option<BrokenPromise> {
    let ready_stops = history.outages.iter().filter(|outage| {
        outage.is_planned && counts_as_ready(history, outage.host, outage.span_ms.start)
    });
    let (mut stop_count, mut late_count) = (0, 0);
    for stop in ready_stops {
        let checked_ms = stop.span_ms.start + UNREADY_MS;
        let is_late =
            stop.span_ms.end > checked_ms && counts_as_ready(history, stop.host, checked_ms);
        stop_count += 1;
        late_count += usize::from(is_late);
    }
    (late_count >= 2 && late_count * 4 > stop_count)
        .then_some(BrokenPromise::ReadyAfterStop(late_count, stop_count))
}

/// Whether one of the last readiness checks of `host` until `at_ms` succeeded.
fn counts_as_ready(history: &CallHistory, host: usize, at_ms: u64) -> bool {
    let probes = history.ready_probes.iter().rev();
    let probes = probes.filter(|probe| probe.host == host && probe.at_ms <= at_ms);
    probes.take(FAILED_PROBES).any(|probe| probe.is_ready)
}
