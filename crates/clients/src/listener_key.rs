//! Key of a listener in the ledger.

use cranelift_entity::entity_impl;

/// Key of a listener in the ledger.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerKey(u32);
entity_impl!(ListenerKey, "listener");
