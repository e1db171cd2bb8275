//! An instance's entry as one host sends it to another.

use crate::InstanceListing;
use crate::Presence;
use crate::PresenceEvidence;
use crate::StoreOffset;

/// An instance's entry as one host sends it to another.
#[derive(Clone, Debug)]
pub struct RelayedListing {
    /// Offset of the entry's last change.
    pub changed_offset: StoreOffset,
    /// Newest entry that the sender knows.
    pub listing: InstanceListing,
    /// Whether the sender's list contains the instance.
    pub presence: Presence,
    /// Why it does or does not.
    pub evidence: PresenceEvidence,
}
