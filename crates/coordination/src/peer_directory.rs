//! Last known state of the other hosts.

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushoist_state::ClockTime;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;

/// Milliseconds without contact after which a peer is removed.
const EXPIRY_MS: u64 = 30_000;

/// Last known state of one incarnation of a peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Addresses of the peer.
    pub address: HostAddress,
    /// One more than the log's tail that it read after binding its address, zero if it read none.
    pub start_offset: u64,
    /// When this host last sent a request that the peer responded to, or received one from it.
    pub last_seen_at: ClockTime,
    /// Offset of the first record that it had not yet replayed.
    pub next_offset: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Last known state of the other hosts, by incarnation and by peer address.
///
/// An address holds one incarnation: a new one there removes the earlier one.
#[derive(Clone, Debug, Default)]
pub struct PeerDirectory {
    peers: HashMap<IncarnationId, PeerState>,
    by_address: HashMap<SocketAddr, IncarnationId>,
}

impl PeerDirectory {
    /// Records the latest state of `incarnation`.
    pub fn record_peer(&mut self, incarnation: IncarnationId, state: PeerState) {
        let address = state.address.peers;
        if let Some(earlier) = self.by_address.insert(address, incarnation)
            && earlier != incarnation
        {
            self.peers.remove(&earlier);
        }
        self.peers.insert(incarnation, state);
    }

    /// Last known state of `incarnation`.
    pub fn get(&self, incarnation: IncarnationId) -> Option<&PeerState> {
        self.peers.get(&incarnation)
    }

    /// Last known state of the incarnation at the peer address `address`.
    pub fn peer_at(&self, address: SocketAddr) -> Option<&PeerState> {
        self.get(*self.by_address.get(&address)?)
    }

    /// Every known peer.
    pub fn iter(&self) -> impl Iterator<Item = (IncarnationId, &PeerState)> {
        self.peers
            .iter()
            .map(|(incarnation, state)| (*incarnation, state))
    }

    /// Peers seen within the last `millis` milliseconds that are not shutting down.
    pub fn reachable_peers(
        &self,
        now: ClockTime,
        millis: u64,
    ) -> impl Iterator<Item = (IncarnationId, &PeerState)> {
        self.iter()
            .filter(move |(_, state)| now.since(state.last_seen_at) < millis && !state.leaving)
    }

    /// Removes peers that have not been seen for 30 seconds.
    pub fn expire(&mut self, now: ClockTime) {
        self.peers
            .retain(|_, state| now.since(state.last_seen_at) < EXPIRY_MS);
        let peers = &self.peers;
        self.by_address
            .retain(|_, incarnation| peers.contains_key(incarnation));
    }
}
