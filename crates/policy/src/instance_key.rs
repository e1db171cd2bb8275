//! Key of an instance in the table.

use cranelift_entity::entity_impl;

/// Instance of a service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKey(u32);
entity_impl!(InstanceKey, "instance");
