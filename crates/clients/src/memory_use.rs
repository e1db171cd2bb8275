//! What a client needs memory for.

/// What a client needs memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemoryUse {
    /// A request, which can be refused.
    Request,
    /// A response, without which the request was executed in vain.
    Response,
}
