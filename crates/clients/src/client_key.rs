//! Key of a client in the ledger.

use cranelift_entity::entity_impl;

/// Key of a client in the ledger, used again after the client was removed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientKey(u32);
entity_impl!(ClientKey, "client");
