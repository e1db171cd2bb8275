//! Records of one run: what callers sent and what instances executed.
//!
//! The promises are checked on these records alone. All times are in
//! milliseconds since the start of the fleet.

use std::collections::HashMap;
use std::ops::Range;

use crocushoist_platform_standin::ArrivalResult;

/// Outcome of a call for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The caller received a response.
    Responded {
        /// HTTP status.
        status: u16,
        /// False if a success lacks the sent body, this attempt's id or the instance's signature.
        is_intact: bool,
    },
    /// The connection could not be opened.
    NotConnected,
    /// The connection ended or timed out after it was opened, without a complete response.
    NoResponse,
}

/// Call that a caller sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Id of the attempt, unique within the run.
    pub attempt_id: String,
    /// Whether the request may be executed at most once.
    pub is_at_most_once: bool,
    /// Workspace of the API key that was sent.
    pub workspace: &'static str,
    /// Index of the host that it was sent to.
    pub host: usize,
    /// Whether the connection had carried an earlier response.
    pub is_kept: bool,
    /// When the caller began to send it or to connect, in milliseconds.
    pub sent_ms: u64,
    /// When its last byte was sent, in milliseconds.
    pub last_byte_ms: u64,
    /// Milliseconds that the caller waits, or the route allows if that is less.
    pub deadline_ms: u64,
    /// When its outcome was known, in milliseconds.
    pub ended_ms: u64,
    /// Outcome for the caller.
    pub outcome: CallOutcome,
    /// Whether the host made the response itself.
    pub is_from_host: bool,
    /// Index of the instance that responded, if it said in the response that it is leaving.
    pub leaving_instance: Option<usize>,
}

/// Request that arrived at an instance, which may have rejected it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivalRecord {
    /// Id of the attempt.
    pub attempt_id: String,
    /// Index of the host that sent it.
    pub host: usize,
    /// Index of the instance.
    pub instance: usize,
    /// From its arrival until the instance had rejected or executed it, in milliseconds.
    pub span_ms: Range<u64>,
    /// What the instance did with it.
    pub result: ArrivalResult,
}

/// Readiness check of a host by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyProbe {
    /// Index of the host.
    pub host: usize,
    /// When it was made, in milliseconds.
    pub at_ms: u64,
    /// Whether the host said that it is ready.
    pub is_ready: bool,
}

/// Execution of a request by an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutionRecord {
    /// Id of the attempt.
    pub attempt_id: String,
    /// Workspace that the host named to the instance.
    pub workspace: String,
    /// Whether the instance received the caller's API key.
    pub received_key: bool,
    /// When the execution began, in milliseconds.
    pub started_ms: u64,
}

/// Time during which a host is disturbed, or from its first SIGTERM until its exit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostOutage {
    /// Index of the host.
    pub host: usize,
    /// Begin and end, in milliseconds.
    pub span_ms: Range<u64>,
    /// Whether the host was asked to stop, which excuses few missing responses.
    pub is_planned: bool,
}

/// Response of an instance that said that it wants no requests from one host for a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldRecord {
    /// Index of the host.
    pub host: usize,
    /// Index of the instance.
    pub instance: usize,
    /// From the response until the end of the time, in milliseconds.
    pub span_ms: Range<u64>,
}

/// Limit that an instance named for a time.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitRecord {
    /// Index of the instance.
    pub instance: usize,
    /// Requests a second from all hosts together.
    pub per_s: f64,
    /// When the instance named it, in milliseconds.
    pub span_ms: Range<u64>,
    /// Hosts that it told, each with the first time in milliseconds.
    pub told_ms: HashMap<usize, u64>,
}

/// Time during which hosts had no path to any instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathCutRecord {
    /// Indexes of the hosts.
    pub hosts: Vec<usize>,
    /// Begin and end, in milliseconds.
    pub span_ms: Range<u64>,
}

/// Everything that was recorded during one run.
#[derive(Clone, Debug, Default)]
pub struct CallHistory {
    /// Calls of all callers, in the order in which they ended.
    pub calls: Vec<CallRecord>,
    /// Executions by all instances.
    pub executions: Vec<ExecutionRecord>,
    /// Requests that arrived at instances, including rejected ones.
    pub arrivals: Vec<ArrivalRecord>,
    /// Readiness checks, in the order in which they were made.
    pub ready_probes: Vec<ReadyProbe>,
    /// Instances whose link was closed, by index, and when, in milliseconds.
    pub instance_cuts: Vec<(usize, Range<u64>)>,
    /// Times at which the link of an instance, by index, forwarded nothing in one direction at
    /// least, in milliseconds.
    pub instance_silences: Vec<(usize, Range<u64>)>,
    /// Limits that instances named.
    pub limits: Vec<LimitRecord>,
    /// Hosts without a path to instances.
    pub path_cuts: Vec<PathCutRecord>,
    /// Instances that started anew, by index, and when, in milliseconds.
    pub instance_starts: Vec<(usize, u64)>,
    /// Responses by which instances said that they want no requests.
    pub holds: Vec<HoldRecord>,
    /// Outages that the run caused: hosts killed, paused or asked to stop.
    pub outages: Vec<HostOutage>,
    /// Hosts whose process was started again, by index, and when, in milliseconds.
    pub host_starts: Vec<(usize, u64)>,
    /// Workspace whose key was revoked, and when, in milliseconds.
    pub revoked_key: Option<(&'static str, u64)>,
    /// Calls sent from this time on, in milliseconds, show whether the fleet recovered.
    pub recovery_from_ms: u64,
    /// Hosts that exited without being killed or asked to stop, by index.
    pub unexpected_exits: Vec<usize>,
}
