//! What became of callers' requests.

use crocushoist_state::ClockTime;

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// Answered whole by an instance.
    Completed {
        /// HTTP status.
        status: u16,
    },
    /// Refused by the fleet.
    Refused {
        /// Why.
        reason: String,
        /// Whether the refusal says that the request did not run.
        not_executed: bool,
        /// Whether the refusal says when to come back.
        has_retry_after: bool,
    },
    /// The connection ended before the whole answer.
    Truncated,
    /// No answer in time.
    NoResponse,
    /// No host could be connected to.
    Unreachable,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// Number of the request.
    pub request_id: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// When it was sent.
    pub sent_at: ClockTime,
    /// When its answer had ended.
    pub ended_at: ClockTime,
    /// Microseconds it took.
    pub latency_us: u64,
    /// How it ended.
    pub kind: OutcomeKind,
}

impl CallOutcome {
    /// Whether an instance answered.
    pub fn is_answered(&self) -> bool {
        matches!(self.kind, OutcomeKind::Completed { .. })
    }

    /// Whether the caller was left without a whole answer or a refusal.
    pub fn is_lost(&self) -> bool {
        matches!(self.kind, OutcomeKind::Truncated | OutcomeKind::NoResponse)
    }

    /// Reason of the refusal.
    pub fn refusal(&self) -> Option<&str> {
        match &self.kind {
            OutcomeKind::Refused { reason, .. } => Some(reason),
            _ => None,
        }
    }
}
