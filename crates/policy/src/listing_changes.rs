//! Changes of the instance list that one host relays to another.

use crate::InstanceState;
use crate::StoreOffset;

/// Changes of the instance list that one host relays to another.
#[derive(Clone, Debug)]
pub struct ListingChanges<'a> {
    /// Instances whose entries changed, by the offset of the change.
    pub entries: Vec<&'a InstanceState>,
    /// Offset up to which the receiver has every change.
    pub end_offset: StoreOffset,
    /// Whether these are all changes that the sender knows. They are not if the sender is of an
    /// earlier era than the receiver.
    pub is_complete: bool,
    /// Whether the receiver must fetch the whole list.
    pub needs_full_list: bool,
}
