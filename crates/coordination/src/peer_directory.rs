//! What this host has heard from its peers.

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushoist_state::ClockTime;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;

const FORGET_AFTER_MS: u64 = 30_000;

/// What was last heard from one incarnation.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Addresses of the peer.
    pub address: HostAddress,
    /// One more than the log's tail that it read after it was bound, zero if it read none.
    pub born: u64,
    /// When it was last heard: the sending of a question that it answered, or a question of its own.
    pub heard_at: ClockTime,
    /// Offset that it had folded up to.
    pub next_offset: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// What this host has heard from its peers.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    peers: HashMap<IncarnationId, PeerState>,
    by_address: HashMap<SocketAddr, IncarnationId>,
}

impl PeerDirectory {
    /// Notes what `incarnation` said.
    pub fn note(&mut self, incarnation: IncarnationId, state: PeerState) {
        let address = state.address.peers;
        if let Some(earlier) = self.by_address.insert(address, incarnation)
            && earlier != incarnation
        {
            self.peers.remove(&earlier);
        }
        self.peers.insert(incarnation, state);
    }

    /// State of `incarnation`.
    pub fn get(&self, incarnation: IncarnationId) -> Option<&PeerState> {
        self.peers.get(&incarnation)
    }

    /// State of the incarnation at `address`.
    pub fn at(&self, address: SocketAddr) -> Option<&PeerState> {
        self.get(*self.by_address.get(&address)?)
    }

    /// Every known peer.
    pub fn iter(&self) -> impl Iterator<Item = (IncarnationId, &PeerState)> {
        self.peers
            .iter()
            .map(|(incarnation, state)| (*incarnation, state))
    }

    /// Peers heard within the last `millis` milliseconds that are not about to stop.
    pub fn alive(
        &self,
        now: ClockTime,
        millis: u64,
    ) -> impl Iterator<Item = (IncarnationId, &PeerState)> {
        self.iter()
            .filter(move |(_, state)| now.since(state.heard_at) < millis && !state.leaving)
    }

    /// Forgets peers that have long been silent.
    pub fn expire(&mut self, now: ClockTime) {
        self.peers
            .retain(|_, state| now.since(state.heard_at) < FORGET_AFTER_MS);
        let peers = &self.peers;
        self.by_address
            .retain(|_, incarnation| peers.contains_key(incarnation));
    }
}
