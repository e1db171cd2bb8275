//! Limits of one client of a server.

/// Limits of one client of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum head of a request in bytes.
    pub head_bytes: usize,
    /// Milliseconds from the first byte of a head to its end.
    pub head_ms: u64,
    /// Milliseconds for which a connection without a request is kept.
    pub idle_ms: u64,
    /// Milliseconds in which a client must have taken its response; a streamed one may take any
    /// time.
    pub response_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            head_bytes: 64 * 1024,
            head_ms: 30_000,
            idle_ms: 30_000,
            response_ms: u64::MAX,
        }
    }
}
