//! The hosts of the fleet and which of them is the hub of its data centre.
//!
//! Hosts are ordered by their address, so that every host that knows the same
//! hosts names the same hub, also after restarts. The hub of a data centre is
//! its first host that is not suspected. Hosts may differ about the hub for a
//! while; a report reaches whichever host the reporter takes for it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

/// Milliseconds that a silent candidate is passed over, unless it is heard.
const SUSPECT_MS: u64 = 6_000;

/// Milliseconds that a candidate is passed over that is heard but does not do as a hub.
const UNFIT_MS: u64 = 6_000;

/// A host as it registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostCard {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where hosts send datagrams.
    pub peers: SocketAddr,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// Number that tells starts of the host apart.
    pub incarnation: u64,
}

/// The hosts of the fleet.
#[derive(Clone, Debug, Default)]
pub struct HostRoster {
    /// Cards by the address for hosts, each with the offset of its registration.
    cards: BTreeMap<SocketAddr, (u64, HostCard)>,
    suspects: HashMap<SocketAddr, ClockTime>,
    unfit: HashMap<SocketAddr, ClockTime>,
}

impl HostRoster {
    /// Takes the registration at `offset`.
    pub fn note(&mut self, offset: u64, card: HostCard) {
        let known = self.cards.get(&card.peers);
        if known.is_some_and(|(at, _)| *at >= offset) {
            return;
        }
        self.suspects.remove(&card.peers);
        self.unfit.remove(&card.peers);
        self.cards.insert(card.peers, (offset, card));
    }

    /// Takes out the host that callers reached at `callers`, which left at `offset`.
    pub fn remove(&mut self, offset: u64, callers: SocketAddr) {
        self.cards
            .retain(|_, (at, card)| card.callers != callers || *at >= offset);
    }

    /// Passes the silent host at `peers` over for a while.
    pub fn suspect(&mut self, peers: SocketAddr, now: ClockTime) {
        self.suspects.insert(peers, now.plus(SUSPECT_MS));
    }

    /// Passes the host at `peers` over for a while, whether it is heard or not.
    pub fn note_unfit(&mut self, peers: SocketAddr, now: ClockTime) {
        self.unfit.insert(peers, now.plus(UNFIT_MS));
    }

    /// Notes that the host at `peers` was heard.
    pub fn clear_suspicion(&mut self, peers: SocketAddr) {
        self.suspects.remove(&peers);
    }

    /// First host of `data_centre` that is not suspected.
    pub fn hub_of(&self, data_centre: &str, now: ClockTime) -> Option<&HostCard> {
        self.in_centre(data_centre)
            .find(|card| !self.is_suspected(card.peers, now))
    }

    /// Hosts of `data_centre` in the order of their addresses.
    pub fn in_centre(&self, data_centre: &str) -> impl Iterator<Item = &HostCard> {
        self.cards
            .values()
            .map(|(_, card)| card)
            .filter(move |card| card.data_centre == data_centre)
    }

    /// Data centres that have hosts.
    pub fn data_centres(&self) -> Vec<CompactString> {
        let mut names: Vec<CompactString> = self
            .cards
            .values()
            .map(|(_, card)| card.data_centre.clone())
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Number of registered hosts.
    pub fn len(&self) -> usize {
        self.cards.len()
    }

    /// Whether no host is registered.
    pub fn is_empty(&self) -> bool {
        self.cards.is_empty()
    }

    fn is_suspected(&self, peers: SocketAddr, now: ClockTime) -> bool {
        let marks = [&self.suspects, &self.unfit];
        marks
            .iter()
            .any(|passed_over| passed_over.get(&peers).is_some_and(|until| now < *until))
    }
}
