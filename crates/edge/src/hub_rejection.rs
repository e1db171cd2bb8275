//! Why a host stops using a hub that still answers.

/// Why a host stops using a hub that still answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HubRejection {
    /// The hub's instance list is much older than this host's own.
    Behind,
    /// The hub is stopping.
    Stopping,
}

impl HubRejection {
    /// Name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            HubRejection::Behind => "behind",
            HubRejection::Stopping => "leaving",
        }
    }
}
