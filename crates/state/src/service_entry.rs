//! A service of the folded configuration and its key in the arena.

use compact_str::CompactString;
use cranelift_entity::entity_impl;

/// Service of the configuration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(u32);
entity_impl!(ServiceId, "service");

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: CompactString,
    /// Whether its shed answer means that the request did not run.
    pub shed_is_not_run: bool,
    /// Offset of the record that last changed it, plus one.
    pub revision: u64,
}
