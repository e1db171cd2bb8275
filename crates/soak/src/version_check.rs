//! Checks that hosts apply no older configuration, and deny no call that all of them allow.
//!
//! The name of one workspace holds the version of the configuration, so
//! instances see which version a host applied to a request.

use std::collections::HashMap;

use crate::BrokenPromise;
use crate::CallHistory;
use crate::CallOutcome;
use crate::CallRecord;
use crate::ExecutionRecord;

/// Workspace of calls whose key belongs to the workspace that is named after the version.
pub(crate) const VERSION_WORKSPACE: &str = "version";

/// Start of the name of that workspace, before the version.
const VERSION_PREFIX: &str = "version-";

/// Milliseconds after the effect of a version in which a host may apply an older one to a new
/// request, as the platform requires.
const ROLLBACK_SLACK_MS: u64 = 250;

/// Calls that may be denied although each configuration allows them, as the platform requires.
const DENIED_SLACK: usize = 5;

/// One in so many calls may be denied beyond that.
const DENIED_INTERVAL: usize = 500;

/// Whether a host named the right workspace for the key of `call`.
pub(crate) fn is_workspace_of(execution: &ExecutionRecord, call: &CallRecord) -> bool {
    if call.workspace == VERSION_WORKSPACE {
        return applied_version(execution).is_some();
    }
    execution.workspace == call.workspace
}

/// Version of the configuration that a host applied to a request, if the workspace tells it.
fn applied_version(execution: &ExecutionRecord) -> Option<u64> {
    let version = execution.workspace.strip_prefix(VERSION_PREFIX)?;
    version.parse().ok()
}

/// Checks that no host applies an older version than before, within one run of its process;
/// reports the first request of each host.
pub(crate) fn check_versions(
    history: &CallHistory,
    calls: &HashMap<&str, &CallRecord>,
) -> Vec<BrokenPromise> {
    let mut executions: Vec<&ExecutionRecord> = history.executions.iter().collect();
    executions.sort_by_key(|execution| execution.started_ms);
    let mut seen: HashMap<usize, Vec<(u64, u64)>> = HashMap::new();
    let mut broken: HashMap<usize, BrokenPromise> = HashMap::new();
    for execution in executions {
        let call = calls.get(execution.attempt_id.as_str());
        let call = call.filter(|call| call.workspace == VERSION_WORKSPACE);
        let (Some(call), Some(version)) = (call, applied_version(execution)) else {
            continue;
        };
        let of_host = seen.entry(call.host).or_default();
        let newer = of_host.iter().find(|(seen_ms, seen_version)| {
            *seen_version > version
                && call.sent_ms > seen_ms + ROLLBACK_SLACK_MS
                && !has_restarted(history, call.host, *seen_ms, execution.started_ms)
        });
        if let Some((_, newer_version)) = newer {
            broken
                .entry(call.host)
                .or_insert(BrokenPromise::VersionWentBack(
                    execution.attempt_id.clone(),
                    call.host,
                    version,
                    *newer_version,
                ));
        }
        of_host.push((execution.started_ms, version));
    }
    let mut hosts: Vec<(usize, BrokenPromise)> = broken.into_iter().collect();
    hosts.sort_by_key(|(host, _)| *host);
    hosts.into_iter().map(|(_, promise)| promise).collect()
}

/// Whether the process of a host was started again between two times, in milliseconds.
fn has_restarted(history: &CallHistory, host: usize, from_ms: u64, to_ms: u64) -> bool {
    let mut starts = history.host_starts.iter();
    starts.any(|(started, started_ms)| *started == host && (from_ms..=to_ms).contains(started_ms))
}

/// Checks that hosts deny no more calls than the platform tolerates, by statuses that call the
/// request itself wrong.
pub(crate) fn check_denials(history: &CallHistory) -> Option<BrokenPromise> {
    let revoked = history.revoked_key.map(|(workspace, _)| workspace);
    let is_denied = |call: &&CallRecord| {
        let CallOutcome::Responded { status, .. } = call.outcome else {
            return false;
        };
        let is_denial = (300..500).contains(&status) && !matches!(status, 408 | 421 | 429);
        is_denial && call.is_from_host && Some(call.workspace) != revoked
    };
    let denied = history.calls.iter().filter(is_denied).count();
    let allowed = DENIED_SLACK + history.calls.len() / DENIED_INTERVAL;
    let count = history.calls.len();
    (denied > allowed).then_some(BrokenPromise::Denied(denied, count, allowed))
}
