//! Reasons for which a host refuses a request or reports that it failed.

/// Reason for which a request is refused or has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The request carries no key, and the route requires one.
    KeyMissing,
    /// The key belongs to no workspace.
    KeyUnknown,
    /// The request carries two different keys, or one in its path.
    KeyMisplaced,
    /// No route matches the path.
    NoRoute,
    /// The workspace has used up its rate and burst.
    OverRate,
    /// No holder of the workspace's shares could be reached.
    SharesUnreachable,
    /// This host has no recent evidence that its configuration is up to date.
    Stale,
    /// This host is shutting down.
    Stopping,
    /// No instance of the service has a free slot.
    NoInstance,
    /// The instance refused the request because it is full.
    Shed,
    /// The connection to the instance could not be established.
    ConnectFailed,
    /// The instance failed after the request was written.
    UpstreamFailed,
    /// The deadline passed after the request was written.
    DeadlinePassed,
    /// The token expired before the request could be written.
    TokenExpired,
    /// The request cannot be parsed.
    Malformed,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [RefusalReason; 15] = [
        RefusalReason::KeyMissing,
        RefusalReason::KeyUnknown,
        RefusalReason::KeyMisplaced,
        RefusalReason::NoRoute,
        RefusalReason::OverRate,
        RefusalReason::SharesUnreachable,
        RefusalReason::Stale,
        RefusalReason::Stopping,
        RefusalReason::NoInstance,
        RefusalReason::Shed,
        RefusalReason::ConnectFailed,
        RefusalReason::UpstreamFailed,
        RefusalReason::DeadlinePassed,
        RefusalReason::TokenExpired,
        RefusalReason::Malformed,
    ];

    /// Name of the reason in headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::KeyMissing => "key_missing",
            RefusalReason::KeyUnknown => "key_unknown",
            RefusalReason::KeyMisplaced => "key_misplaced",
            RefusalReason::NoRoute => "no_route",
            RefusalReason::OverRate => "over_rate",
            RefusalReason::SharesUnreachable => "shares_unreachable",
            RefusalReason::Stale => "stale",
            RefusalReason::Stopping => "stopping",
            RefusalReason::NoInstance => "no_instance",
            RefusalReason::Shed => "shed",
            RefusalReason::ConnectFailed => "connect_failed",
            RefusalReason::UpstreamFailed => "upstream_failed",
            RefusalReason::DeadlinePassed => "deadline_passed",
            RefusalReason::TokenExpired => "token_expired",
            RefusalReason::Malformed => "malformed",
        }
    }

    /// HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::KeyMissing | RefusalReason::KeyUnknown => 401,
            RefusalReason::KeyMisplaced | RefusalReason::Malformed => 400,
            RefusalReason::NoRoute => 404,
            RefusalReason::OverRate => 429,
            RefusalReason::UpstreamFailed => 502,
            RefusalReason::DeadlinePassed => 504,
            RefusalReason::SharesUnreachable
            | RefusalReason::Stale
            | RefusalReason::Stopping
            | RefusalReason::NoInstance
            | RefusalReason::Shed
            | RefusalReason::ConnectFailed
            | RefusalReason::TokenExpired => 503,
        }
    }

    /// Whether the upstream may have executed the request.
    pub fn may_have_executed(self) -> bool {
        matches!(
            self,
            RefusalReason::UpstreamFailed | RefusalReason::DeadlinePassed
        )
    }

    /// Whether the same request may succeed later.
    pub fn is_retryable(self) -> bool {
        matches!(self.status(), 429 | 502..=504)
    }

    /// Whether the cause lies in this host, so that another host may serve the request.
    pub fn is_host_specific(self) -> bool {
        matches!(
            self,
            RefusalReason::SharesUnreachable
                | RefusalReason::Stale
                | RefusalReason::Stopping
                | RefusalReason::TokenExpired
        )
    }
}
