//! What a repeated request was charged to.

/// What a repeated request was charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryPayment {
    /// Retries that a hub assigned.
    Pool,
    /// The host's own part, without a hub.
    OwnPart,
    /// Nothing, because no attempt had arrived at an instance.
    Free,
}

impl RetryPayment {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RetryPayment::Pool => "pool",
            RetryPayment::OwnPart => "own_part",
            RetryPayment::Free => "free",
        }
    }
}
