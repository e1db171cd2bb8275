//! What is known of a workspace's window when its pace begins.

/// What is known of a workspace's window when its pace begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowStart {
    /// Requests that other hubs counted.
    Counted(u32),
    /// A mark in the store tells that it was nearly full.
    NearlyFull,
    /// The marks in the store do not name it.
    Unmarked,
    /// The marks were not read.
    Unknown,
}
