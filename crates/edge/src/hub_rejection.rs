//! Why a host passes a hub over that answers.

/// Why a host passes a hub over that answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HubRejection {
    /// Its list of instances is older than the host's own.
    Behind,
    /// It is about to stop.
    Leaving,
}

impl HubRejection {
    /// Name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            HubRejection::Behind => "behind",
            HubRejection::Leaving => "leaving",
        }
    }
}
