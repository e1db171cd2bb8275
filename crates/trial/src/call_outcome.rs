//! What became of callers' requests.

use crocushoist_state::ClockTime;

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// Answered whole by an instance.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// Refused by the fleet.
    Refused {
        /// Why.
        reason: String,
        /// Whether the refusal says that the request did not run.
        not_run: bool,
        /// Whether the refusal says when to come back.
        has_retry: bool,
    },
    /// The connection ended before the whole answer.
    Cut,
    /// No answer in time.
    Unanswered,
    /// No host could be connected to.
    Unreached,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// Number of the request.
    pub request: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// When it was sent.
    pub sent_at: ClockTime,
    /// When its answer had ended.
    pub ended_at: ClockTime,
    /// Microseconds it took.
    pub micros: u64,
    /// How it ended.
    pub kind: OutcomeKind,
}

impl CallOutcome {
    /// Whether an instance answered.
    pub fn is_answered(&self) -> bool {
        matches!(self.kind, OutcomeKind::Answered { .. })
    }

    /// Whether the caller was left without a whole answer or a refusal.
    pub fn is_lost(&self) -> bool {
        matches!(self.kind, OutcomeKind::Cut | OutcomeKind::Unanswered)
    }

    /// Reason of the refusal.
    pub fn refusal(&self) -> Option<&str> {
        match &self.kind {
            OutcomeKind::Refused { reason, .. } => Some(reason),
            _ => None,
        }
    }
}
