//! Why a server turned a client away.

/// Why a server turned a client away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientEnd {
    /// All places were taken by clients that keep theirs.
    NoPlace,
    /// A new client needed the place.
    GavePlace,
    /// The memory that it held was needed for another client.
    GaveMemory,
    /// There was no memory for what it sends.
    NoMemory,
    /// The head of its request was too long.
    HeadTooLong,
    /// The head of its request did not arrive in time.
    HeadLate,
    /// It did not take its response in time.
    ResponseLate,
}

impl ClientEnd {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ClientEnd::NoPlace => "no_place",
            ClientEnd::GavePlace => "gave_place",
            ClientEnd::GaveMemory => "gave_memory",
            ClientEnd::NoMemory => "no_memory",
            ClientEnd::HeadTooLong => "head_too_long",
            ClientEnd::HeadLate => "head_late",
            ClientEnd::ResponseLate => "response_late",
        }
    }
}
