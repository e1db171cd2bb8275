//! What callers sent and instances ran, in milliseconds since the start.

use std::ops::Range;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Answered with this status; `is_intact` unless a success is not the instance's own.
    Answered {
        /// Status.
        status: u16,
        /// Whether a success carries the body that was sent, for this attempt, signed.
        is_intact: bool,
    },
    /// The connection could not be opened.
    NotConnected,
    /// The connection ended, or stayed silent, after the request was sent.
    Cut,
}

/// A call of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Number of the attempt.
    pub attempt: String,
    /// Whether it may run once only.
    pub is_booking: bool,
    /// Workspace of the key that was sent.
    pub workspace: &'static str,
    /// Host that it was sent to.
    pub host: usize,
    /// When it was sent.
    pub sent_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// How.
    pub end: CallEnd,
}

/// A request that an instance ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RanRecord {
    /// Number of the attempt.
    pub attempt: String,
    /// Workspace that the fleet named.
    pub workspace: String,
    /// Whether the caller's key was passed on.
    pub saw_key: bool,
    /// When it began.
    pub at_ms: u64,
}

/// A time in which a host may leave requests without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcusedSpan {
    /// Host.
    pub host: usize,
    /// From when until when.
    pub millis: Range<u64>,
    /// Whether the host was asked to stop, so that it owes answers to what it passed on.
    pub is_planned: bool,
}

/// What callers sent and instances ran.
#[derive(Clone, Debug, Default)]
pub struct CallLedger {
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// Requests that ran.
    pub ran: Vec<RanRecord>,
    /// Kills and pauses of hosts.
    pub excused: Vec<ExcusedSpan>,
    /// When a key of a workspace was withdrawn.
    pub withdrawn: Option<(&'static str, u64)>,
    /// When the last calls began, by which recovery is judged.
    pub last_from_ms: u64,
    /// Hosts that ended without being asked to.
    pub ended_by_themselves: Vec<usize>,
}
