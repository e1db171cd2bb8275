//! Services in the configuration.

use compact_str::CompactString;
use cranelift_entity::entity_impl;

/// Arena key of a service, valid on this host only.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(u32);
entity_impl!(ServiceId, "service");

/// Service in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: CompactString,
    /// Whether a load-shedding response of the service proves that the request did not run.
    pub shed_is_not_run: bool,
    /// Offset of the log record that last changed the service, plus one.
    pub revision: u64,
}
