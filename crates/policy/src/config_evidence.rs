//! Evidence that this host has missed no configuration.
//!
//! Evidence from time t proves that every configuration acknowledged before t
//! is in force on this host. It comes from the store itself, or from a peer
//! that holds the same version and reports the age of its own evidence.

use crocushoist_state::ClockTime;

/// Times of the newest evidence that this host has missed no configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigEvidence {
    /// Time of the newest evidence from the store.
    from_store: Option<ClockTime>,
    /// Time of the newest evidence from a peer, for the version in force.
    from_peer: Option<ClockTime>,
}

impl ConfigEvidence {
    /// Records that a read of the store returned every configuration acknowledged before `at`.
    pub fn record_store_evidence(&mut self, at: ClockTime) {
        self.from_store = self.from_store.max(Some(at));
    }

    /// Records that a peer, asked at `asked_at`, reported evidence that is `age` milliseconds
    /// old.
    pub fn record_peer_evidence(&mut self, asked_at: ClockTime, age: u64) {
        self.from_peer = self.from_peer.max(Some(asked_at.minus(age)));
    }

    /// Discards evidence from peers, because it was given for another version.
    pub fn clear_peer_evidence(&mut self) {
        self.from_peer = None;
    }

    /// Milliseconds since this host's own newest evidence from the store.
    pub fn store_age(&self, now: ClockTime) -> Option<u64> {
        self.from_store.map(|at| now.since(at))
    }

    /// Milliseconds since the newest evidence of either source.
    pub fn age(&self, now: ClockTime) -> Option<u64> {
        self.from_store.max(self.from_peer).map(|at| now.since(at))
    }
}
