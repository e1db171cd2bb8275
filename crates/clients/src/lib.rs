//! What the clients of a host hold of its memory and its places, and who gives way.
//!
//! A client is a connection that somebody else opened, at whichever listener.
//! [`ClientLedger`] counts all of them in one place. It knows no sockets: the
//! server tells it what happens and closes the connections that it names.

mod client_key;
mod client_ledger;
mod client_stage;
mod listener_key;
mod memory_use;

pub use client_key::ClientKey;
pub use client_ledger::ClientLedger;
pub use client_ledger::MemoryClaim;
pub use client_ledger::OWN_BYTES;
pub use client_ledger::PlaceClaim;
pub use client_stage::ClientStage;
pub use listener_key::ListenerKey;
pub use memory_use::MemoryUse;
