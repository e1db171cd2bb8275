//! Last counters reported by each host or hub.
//!
//! Counters only increase, so the new part of a report is its difference to the
//! previous report.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

use crate::WorkspaceCounts;

/// Identity of a host or hub that reports counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReporterId {
    /// Address that it sends datagrams from.
    pub peer_address: SocketAddr,
    /// Number that distinguishes its restarts.
    pub incarnation: u64,
    /// Whether another hub may have counted its earlier requests.
    pub is_counted: bool,
    /// Whether the message has all counters, or only those that changed.
    pub has_all_counts: bool,
}

/// State of a reporter as of its last report.
#[derive(Clone, Debug)]
pub(crate) struct ReportedCounters {
    /// Incarnation of the reporter.
    pub(crate) incarnation: u64,
    /// Time of the last report.
    pub(crate) last_seen_at: ClockTime,
    /// Requests (admitted, refused) as last reported, by workspace hash.
    pub(crate) totals: HashMap<u32, (u32, u32)>,
    /// Caller addresses of the reported hosts that accept callers.
    pub(crate) caller_addresses: Vec<SocketAddr>,
    /// Data centre of the reporter, if it is a hub.
    pub(crate) data_centre: CompactString,
    /// Requests in flight from the reported hosts, by instance hash.
    pub(crate) in_flight: Vec<(u32, u32)>,
    /// Number of hosts whose requests the reporter counts.
    pub(crate) host_count: u32,
    /// Whether the next message with all counters is the baseline.
    awaits_baseline: bool,
}

/// Returns the entry of a reporter, inserting or resetting it where needed.
///
/// For a reporter that is new, or was silent for more than `timeout_ms` and therefore reported
/// to another hub, the counters of its first message with all of them become the baseline if
/// another hub may have counted them. The counters of a restarted reporter begin at zero.
pub(crate) fn reporter_entry<'a>(
    reporters: &'a mut HashMap<SocketAddr, ReportedCounters>,
    reporter_id: ReporterId,
    counts: &[WorkspaceCounts],
    timeout_ms: u64,
    now: ClockTime,
) -> &'a mut ReportedCounters {
    let reporter = reporters
        .entry(reporter_id.peer_address)
        .or_insert_with(|| ReportedCounters {
            incarnation: reporter_id.incarnation,
            last_seen_at: now,
            totals: HashMap::new(),
            caller_addresses: Vec::new(),
            data_centre: CompactString::default(),
            in_flight: Vec::new(),
            host_count: 1,
            awaits_baseline: reporter_id.is_counted,
        });
    if reporter.incarnation != reporter_id.incarnation {
        reporter.incarnation = reporter_id.incarnation;
        reporter.totals.clear();
        reporter.awaits_baseline = false;
    } else if now.since(reporter.last_seen_at) > timeout_ms {
        reporter.awaits_baseline = reporter_id.is_counted;
    }
    reporter.last_seen_at = now;
    if reporter.awaits_baseline && reporter_id.has_all_counts {
        reporter.awaits_baseline = false;
        let totals = counts.iter();
        reporter.totals = totals
            .map(|count| (count.workspace, (count.admitted, count.refused)))
            .collect();
    }
    reporter
}

/// Stores the reported totals and returns their increments since the last report, none before the
/// baseline.
pub(crate) fn update_totals(
    reporter: &mut ReportedCounters,
    counts: &[WorkspaceCounts],
) -> Vec<WorkspaceCounts> {
    if reporter.awaits_baseline {
        return Vec::new();
    }
    counts
        .iter()
        .map(|count| {
            let total = reporter.totals.entry(count.workspace).or_default();
            let increment = WorkspaceCounts {
                workspace: count.workspace,
                admitted: counter_increment(total.0, count.admitted),
                refused: counter_increment(total.1, count.refused),
                in_window: None,
            };
            *total = (count.admitted, count.refused);
            increment
        })
        .collect()
}

/// Increment of a counter; zero if it decreased because an admission was undone.
fn counter_increment(before: u32, after: u32) -> u32 {
    let increment = after.wrapping_sub(before);
    if increment > u32::MAX / 2 {
        0
    } else {
        increment
    }
}
