//! Statement of an instance about the requests that it takes.

use crate::DepartureNotice;

/// What one start of an instance last said about the requests a second that it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Hash of the instance's id.
    pub instance: u32,
    /// Start of the instance in Unix milliseconds.
    pub started_at_unix_ms: u64,
    /// Number of the statement: each host that hears a change counts on from the one it knew.
    pub number: u32,
    /// Requests a second from all hosts together, `None` without a limit.
    pub per_s: Option<f64>,
}

impl LimitStatement {
    /// First number of a statement, which says that there is no limit.
    pub(crate) fn none(start: DepartureNotice) -> Self {
        LimitStatement {
            instance: start.instance,
            started_at_unix_ms: start.started_at_unix_ms,
            number: 0,
            per_s: None,
        }
    }

    /// Start of the instance that said it.
    pub(crate) fn start(&self) -> DepartureNotice {
        DepartureNotice {
            instance: self.instance,
            started_at_unix_ms: self.started_at_unix_ms,
        }
    }

    /// Whether this statement holds rather than `other`. Of two with the same number, made by
    /// hosts that did not know of each other, the lower limit holds.
    pub(crate) fn supersedes(&self, other: &LimitStatement) -> bool {
        let rank = |statement: &LimitStatement| (statement.started_at_unix_ms, statement.number);
        let limit = |statement: &LimitStatement| statement.per_s.unwrap_or(f64::INFINITY);
        rank(self) > rank(other) || (rank(self) == rank(other) && limit(self) < limit(other))
    }
}
