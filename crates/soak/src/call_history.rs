//! Records of one run: what callers sent and what instances executed.
//!
//! The promises are checked on these records alone. All times are in
//! milliseconds since the start of the fleet.

use std::ops::Range;

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
    /// When it was sent, in milliseconds.
    pub sent_ms: u64,
    /// When its outcome was known, in milliseconds.
    pub ended_ms: u64,
    /// Outcome for the caller.
    pub outcome: CallOutcome,
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

/// Time during which a host may leave requests without a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostOutage {
    /// Index of the host.
    pub host: usize,
    /// Begin and end, in milliseconds.
    pub span_ms: Range<u64>,
    /// Whether the host was asked to stop, and so must still respond to forwarded requests.
    pub is_planned: bool,
}

/// Everything that was recorded during one run.
#[derive(Clone, Debug, Default)]
pub struct CallHistory {
    /// Calls of all callers, in the order in which they ended.
    pub calls: Vec<CallRecord>,
    /// Executions by all instances.
    pub executions: Vec<ExecutionRecord>,
    /// Outages that the run caused: hosts killed, paused or asked to stop.
    pub outages: Vec<HostOutage>,
    /// Workspace whose key was revoked, and when, in milliseconds.
    pub revoked_key: Option<(&'static str, u64)>,
    /// Calls sent from this time on, in milliseconds, show whether the fleet recovered.
    pub recovery_from_ms: u64,
    /// Hosts that exited without being killed or asked to stop, by index.
    pub unexpected_exits: Vec<usize>,
}
