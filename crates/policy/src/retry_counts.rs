//! Retries of one host at one service, as it reports them to its hub.

/// Retries of one host at one service, as it reports them to its hub.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Hash of the service's name.
    pub service: u32,
    /// Requests for the service in the last window of the budget.
    pub requests: u32,
    /// Retries in the last window of the budget.
    pub retries: u32,
    /// Retries since the host started.
    pub sent: u32,
}

/// Number of retries since its start up to which a host may send them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryGrant {
    /// Hash of the service's name.
    pub service: u32,
    /// Retries since the start of the host that are allowed altogether.
    pub ceiling: u32,
}
