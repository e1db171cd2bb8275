//! Checks of what hosts send to instances that are leaving or want no requests.
//!
//! A statement binds the host that received it until the instance starts anew.
//! A restart or pause of the host since then excuses it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::ops::Range;

use crate::ArrivalRecord;
use crate::BrokenPromise;
use crate::CallHistory;
use crate::CallRecord;
use crate::HoldRecord;

/// Milliseconds after a host passed on that an instance leaves in which callers may still send a
/// request that reaches it, as the platform requires.
const DRAIN_MS: u64 = 2_000;

/// Milliseconds after a response in which requests that crossed it may arrive.
const CROSSING_MS: u64 = 500;

/// Requests that may arrive after that, while the instance wants none.
const CROSSING_REQUESTS: usize = 2;

/// Statement of an instance that it is leaving, as a host passed it on.
struct DepartureNotice {
    /// When the caller had it, in milliseconds.
    passed_on_ms: u64,
    /// When the instance starts anew, in milliseconds.
    until_ms: u64,
}

/// Checks that hosts send nothing to instances of which they passed on that they leave; reports
/// the first request of each host to each instance.
pub(crate) fn check_departures(
    history: &CallHistory,
    calls: &HashMap<&str, &CallRecord>,
) -> Vec<BrokenPromise> {
    let mut notices: HashMap<(usize, usize), Vec<DepartureNotice>> = HashMap::new();
    for arrival in &history.arrivals {
        let call = calls.get(arrival.attempt_id.as_str());
        let Some(call) = call.filter(|call| call.leaving_instance == Some(arrival.instance)) else {
            continue;
        };
        let of_pair = notices.entry((arrival.host, arrival.instance)).or_default();
        of_pair.push(DepartureNotice {
            passed_on_ms: call.ended_ms,
            until_ms: next_start_ms(history, arrival.instance, arrival.span_ms.end),
        });
    }
    let mut first_sent: HashMap<(usize, usize), (u64, BrokenPromise)> = HashMap::new();
    for arrival in &history.arrivals {
        let pair = (arrival.host, arrival.instance);
        let Some(call) = calls.get(arrival.attempt_id.as_str()) else {
            continue;
        };
        let arrived_ms = arrival.span_ms.start;
        let binding = notices.get(&pair).into_iter().flatten().find(|notice| {
            let bound_ms = notice.passed_on_ms + DRAIN_MS;
            let since_ms = notice.passed_on_ms..arrived_ms;
            call.sent_ms > bound_ms
                && arrived_ms < notice.until_ms
                && !is_host_excused(history, arrival.host, &since_ms)
        });
        let Some(notice) = binding else {
            continue;
        };
        let broken = BrokenPromise::SentToLeaving(
            arrival.attempt_id.clone(),
            arrival.host,
            arrival.instance,
            call.sent_ms - notice.passed_on_ms,
            trace_start(history, arrival.instance, arrived_ms),
        );
        let first = first_sent
            .entry(pair)
            .or_insert((arrived_ms, broken.clone()));
        if arrived_ms < first.0 {
            *first = (arrived_ms, broken);
        }
    }
    let mut sent: Vec<(u64, BrokenPromise)> = first_sent.into_values().collect();
    sent.sort_by_key(|(arrived_ms, _)| *arrived_ms);
    sent.into_iter().map(|(_, broken)| broken).collect()
}

/// Checks that instances get nothing from a host while they want nothing from it, except what
/// crosses their response; reports the first case of each host and instance.
pub(crate) fn check_holds(history: &CallHistory) -> Vec<BrokenPromise> {
    let mut arrivals: HashMap<(usize, usize), Vec<&ArrivalRecord>> = HashMap::new();
    for arrival in &history.arrivals {
        let of_pair = arrivals.entry((arrival.host, arrival.instance));
        of_pair.or_default().push(arrival);
    }
    let mut holds: Vec<&HoldRecord> = history.holds.iter().collect();
    holds.sort_by_key(|hold| hold.span_ms.start);
    let mut reported = HashSet::new();
    let mut broken = Vec::new();
    for hold in holds {
        let from_host = arrivals.get(&(hold.host, hold.instance));
        let from_host = from_host.map_or(&[][..], Vec::as_slice);
        let arrived = find_arrived_in_hold(history, hold, from_host);
        let is_kept = arrived.len() <= CROSSING_REQUESTS;
        if is_kept || !reported.insert((hold.host, hold.instance)) {
            continue;
        }
        let said_ms = hold.span_ms.start;
        let until_ms = hold.span_ms.end;
        let start = trace_start(history, hold.instance, said_ms);
        let trace = format!(
            "until {until_ms} ms, the first at {} ms, {start}",
            arrived[0]
        );
        broken.push(BrokenPromise::SentToHolding(
            hold.host,
            hold.instance,
            arrived.len(),
            said_ms,
            trace,
        ));
    }
    broken
}

/// Sorted times, in milliseconds, at which arrivals of `from_host` broke `hold`.
fn find_arrived_in_hold(
    history: &CallHistory,
    hold: &HoldRecord,
    from_host: &[&ArrivalRecord],
) -> Vec<u64> {
    let said_ms = hold.span_ms.start;
    let until_ms = next_start_ms(history, hold.instance, said_ms).min(hold.span_ms.end);
    let held_ms = said_ms + CROSSING_MS..until_ms;
    let times = from_host.iter().map(|arrival| arrival.span_ms.start);
    let mut arrived: Vec<u64> = times
        .filter(|arrived_ms| held_ms.contains(arrived_ms))
        .filter(|arrived_ms| {
            let since_ms = said_ms..*arrived_ms;
            !is_host_excused(history, hold.host, &since_ms)
                && !is_silent(history, hold.instance, &since_ms)
        })
        .collect();
    arrived.sort_unstable();
    arrived
}

/// Tells when an instance last started before `before_ms`.
fn trace_start(history: &CallHistory, instance: usize, before_ms: u64) -> String {
    let starts = history.instance_starts.iter();
    let starts =
        starts.filter(|(started, started_ms)| *started == instance && *started_ms <= before_ms);
    match starts.map(|(_, started_ms)| started_ms).max() {
        Some(started_ms) => format!("it had started anew at {started_ms} ms"),
        None => "it had not started anew".to_owned(),
    }
}

/// When an instance starts anew after `after_ms`, in milliseconds.
fn next_start_ms(history: &CallHistory, instance: usize, after_ms: u64) -> u64 {
    let starts = history.instance_starts.iter();
    let starts =
        starts.filter(|(started, started_ms)| *started == instance && *started_ms >= after_ms);
    let times = starts.map(|(_, started_ms)| *started_ms);
    times.min().unwrap_or(u64::MAX)
}

/// Whether a host was killed, paused or restarted within `since_ms`.
pub(crate) fn is_host_excused(history: &CallHistory, host: usize, since_ms: &Range<u64>) -> bool {
    history.outages.iter().any(|outage| {
        // A stopping host knows what it knew until its process ends.
        let outage_start_ms = if outage.is_planned {
            outage.span_ms.end
        } else {
            outage.span_ms.start
        };
        outage.host == host
            && outage_start_ms <= since_ms.end
            && outage.span_ms.end >= since_ms.start
    })
}

/// Whether the link of an instance forwarded nothing for a time within `since_ms`.
fn is_silent(history: &CallHistory, instance: usize, since_ms: &Range<u64>) -> bool {
    history.instance_silences.iter().any(|(silent, span_ms)| {
        *silent == instance && span_ms.start <= since_ms.end && span_ms.end >= since_ms.start
    })
}
