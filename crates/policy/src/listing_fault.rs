//! Why an entry of the instance list names no instance to use.
//!
//! Other writers may leave entries that can be decoded and still make no sense.
//! Such an entry must neither get requests nor reach other hosts: a name of
//! kilobytes does not fit in the datagrams by which hosts relay entries, and a
//! hub that cannot send its answers is taken for lost.

use crate::InstanceListing;

/// Maximum bytes of a service's or a data centre's name.
const MAX_NAME_BYTES: usize = 128;

/// Maximum bytes of an id, which is a key in the store.
const MAX_ID_BYTES: usize = 255;

/// Maximum number of requests that an instance may process concurrently.
const MAX_SLOTS: u32 = 65_536;

/// Why an entry names no instance to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingFault {
    /// Its id cannot stand in a header.
    Id,
    /// The name of its service is empty or too long.
    Service,
    /// The name of its data centre is empty or too long.
    DataCentre,
    /// No instance can listen at its address.
    Address,
    /// It has no slots or too many.
    Slots,
    /// Its address belongs to a host of the fleet.
    HostAddress,
}

impl ListingFault {
    /// Cause in logs.
    pub fn cause(self) -> &'static str {
        match self {
            ListingFault::Id => "its id cannot stand in a header",
            ListingFault::Service => "the name of its service is empty or too long",
            ListingFault::DataCentre => "the name of its data centre is empty or too long",
            ListingFault::Address => "no instance can listen at its address",
            ListingFault::Slots => "it has no slots or too many",
            ListingFault::HostAddress => "its address belongs to a host of the fleet",
        }
    }
}

impl InstanceListing {
    /// Fault of the entry, as far as it shows without knowledge of the fleet.
    pub fn fault(&self) -> Option<ListingFault> {
        let is_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
        let is_id = (1..=MAX_ID_BYTES).contains(&self.id.len())
            && self.id.bytes().all(|byte| byte.is_ascii_graphic());
        let ip = self.address.ip();
        if !is_id {
            Some(ListingFault::Id)
        } else if !is_name(&self.service) {
            Some(ListingFault::Service)
        } else if !is_name(&self.data_centre) {
            Some(ListingFault::DataCentre)
        } else if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            Some(ListingFault::Address)
        } else if !(1..=MAX_SLOTS).contains(&self.slots) {
            Some(ListingFault::Slots)
        } else {
            None
        }
    }
}
