//! Check of the requests that instances get while they name a limit.
//!
//! As the platform counts: in windows that begin some time after the instance
//! first named the limit, over the hosts that it told somewhat earlier. A restart, a
//! pause or a cut of a host excuses that host.

use crate::ArrivalRecord;
use crate::BrokenPromise;
use crate::CallHistory;
use crate::call_history::LimitRecord;
use crate::notice_check::is_host_excused;
use crate::path_check::overlap;
use crate::promise_check::find_fullest_window;

/// Milliseconds after the first statement from which a limit holds, as the platform requires.
const STABILITY_MS: u64 = 3_000;

/// Milliseconds of the sliding window in which it holds.
const WINDOW_MS: u64 = 4_000;

/// Milliseconds after which a host counts as told.
const TOLD_MS: u64 = 500;

/// Factor, and number of requests beyond it, by which a window may exceed a limit.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_SLACK: f64 = 5.0;

/// Checks the windows of each limit that an instance named.
pub(crate) fn check_limits(history: &CallHistory) -> Vec<BrokenPromise> {
    let limits = history.limits.iter();
    limits
        .filter_map(|limit| check_limit(history, limit))
        .collect()
}

fn check_limit(history: &CallHistory, limit: &LimitRecord) -> Option<BrokenPromise> {
    let window_s = WINDOW_MS as f64 / 1_000.0;
    let allowed = (limit.per_s * window_s * ALLOWED_FACTOR + ALLOWED_SLACK) as usize;
    let counted_ms = limit.span_ms.start + STABILITY_MS..limit.span_ms.end;
    let is_counted = |arrival: &&ArrivalRecord| {
        let arrived_ms = arrival.span_ms.start;
        let Some(told_ms) = limit.told_ms.get(&arrival.host) else {
            return false;
        };
        let since_ms = *told_ms..arrived_ms;
        let is_cut = history
            .path_cuts
            .iter()
            .any(|cut| cut.hosts.contains(&arrival.host) && overlap(&cut.span_ms, &since_ms));
        arrival.instance == limit.instance
            && counted_ms.contains(&arrived_ms)
            && arrived_ms >= told_ms + TOLD_MS
            && !is_cut
            && !is_host_excused(history, arrival.host, &since_ms)
    };
    let arrivals = history.arrivals.iter().filter(is_counted);
    let mut times_ms: Vec<u64> = arrivals.map(|arrival| arrival.span_ms.start).collect();
    let (count, from_ms) = find_fullest_window(&mut times_ms, WINDOW_MS)?;
    (count > allowed).then_some(BrokenPromise::InstanceLimitExceeded(
        limit.instance,
        count,
        from_ms,
        allowed,
    ))
}
