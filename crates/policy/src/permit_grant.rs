//! Number of requests that a host may send to an instance that named a limit.

/// Number of requests that a host may send to an instance that named a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// Hash of the instance's id.
    pub instance: u32,
    /// Number of requests.
    pub count: u32,
}
