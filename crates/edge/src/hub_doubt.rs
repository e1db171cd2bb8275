//! Why a host passes a hub over that answers.

/// Why a host passes a hub over that answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HubDoubt {
    /// Its list of instances is older than the host's own.
    Behind,
    /// It is about to stop.
    Leaving,
}

impl HubDoubt {
    /// Name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            HubDoubt::Behind => "behind",
            HubDoubt::Leaving => "leaving",
        }
    }
}
