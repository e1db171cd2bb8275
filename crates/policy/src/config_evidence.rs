//! Evidence that this host has missed no configuration.
//!
//! Evidence from time t proves that every configuration acknowledged before t
//! is in force on this host. It comes from the store itself, or from a peer
//! that holds the same version and reports the age of its own evidence.
//!
//! A store that came back from a copy may have lost versions that it
//! acknowledged. Reading an older version than the one in force therefore
//! proves nothing, and reading the one in force only proves that it is the
//! newest once the operator has written in this era or had the time to. The
//! evidence from before the change keeps its age.

use crocushoist_state::ClockTime;

/// What a host has read of the configuration in the present era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraReading {
    /// Newest version that the store returned.
    pub version: u64,
    /// Whether the operator wrote it while this host followed the store in this era.
    pub is_rewritten: bool,
    /// Whether the operator had the time to write lost versions again.
    pub is_settled: bool,
}

/// Times of the newest evidence that this host has missed no configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigEvidence {
    /// Time of the newest evidence from the store.
    from_store: Option<ClockTime>,
    /// Time of the newest evidence from a peer, for the version in force.
    from_peer: Option<ClockTime>,
}

impl ConfigEvidence {
    /// Records that reads of the store returned every configuration that it held at `at`, and
    /// that `version_in_force` is in force here; returns whether that is evidence.
    pub fn record_store_read(
        &mut self,
        reading: EraReading,
        version_in_force: u64,
        at: ClockTime,
    ) -> bool {
        let is_newest = reading.version >= version_in_force;
        let is_proof = is_newest && (reading.is_settled || reading.is_rewritten);
        if is_proof {
            self.from_store = self.from_store.max(Some(at));
        }
        is_proof
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
