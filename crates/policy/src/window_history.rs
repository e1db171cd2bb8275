//! What a host knows of its retries in the last window of the budget.

/// What a host knows of its retries in the last window of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowHistory {
    /// It has run for the whole window.
    Complete,
    /// It started for the first time, so there were none before.
    FirstStart,
    /// It restarted, and does not know what it sent before.
    Lost,
}
