//! Change that an entry of the instance list made.

/// Change that an entry of the instance list made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingChange {
    /// A new instance, or a restart of a known one.
    Joined,
    /// The instance is shutting down and accepts no new requests.
    Leaving,
    /// The entry expired during an outage of the store and may be listed again.
    Lapsed,
    /// The instance was removed.
    Gone,
    /// Another change that hubs relay to other hosts.
    Updated,
    /// Nothing but the sequence number changed, or the entry is outdated.
    Unchanged,
}
