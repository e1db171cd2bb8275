//! The hosts of the fleet and the hub of each data centre.
//!
//! Hosts are ordered by capacity and address, so all hosts that know the same
//! registrations choose the same hub, also after restarts. The hub of a data
//! centre is its first host that is neither suspected nor unfit. Hosts may disagree about the
//! hub for a while; each reports to the host that it considers the hub.
//!
//! A suspected host stays suspected until a message from it arrives, however long that takes: a
//! host that was lost for good stays registered, and must not be tried again and again. A host
//! that is alive and comes first acts as hub by itself and announces that to the others.
//!
//! The registration of a host that was lost may be removed from the store. A host from which a
//! message arrived a short time ago stays in the order all the same, and registers again.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

use crate::StoreEra;
use crate::StoreOffset;

/// Milliseconds after a message of a host for which it stays in the order although its
/// registration was removed.
const SIGN_OF_LIFE_MS: u64 = 10_000;

/// Milliseconds for which a reachable candidate is skipped that cannot serve as a hub.
const UNFIT_MS: u64 = 6_000;

/// Registration of a host in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRegistration {
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other hosts send datagrams to.
    pub peer_address: SocketAddr,
    /// Data centre that the host runs in.
    pub data_centre: CompactString,
    /// Processor and network that the host may use; the hosts with the most are hubs first.
    pub capacity: u32,
    /// Number that distinguishes restarts of the host.
    pub incarnation: u64,
    /// Newest era of the store that the host knew when it registered.
    pub era: StoreEra,
}

impl HostRegistration {
    /// Whether `other` is a start of this host with the same addresses and capacity.
    pub fn is_same_host(&self, other: &HostRegistration) -> bool {
        let restarted = HostRegistration {
            incarnation: self.incarnation,
            era: self.era,
            ..other.clone()
        };
        *self == restarted
    }
}

/// The registered hosts of the fleet and the candidates to skip.
#[derive(Clone, Debug, Default)]
pub struct HostRoster {
    /// Registrations by peer address, each with its offset in the store.
    registrations: BTreeMap<SocketAddr, (StoreOffset, HostRegistration)>,
    /// Silent hosts by peer address.
    suspects: HashSet<SocketAddr>,
    /// Hosts that cannot serve as a hub, each with the time until which it is skipped.
    unfit: HashMap<SocketAddr, ClockTime>,
    /// Era in which all registrations were last read.
    read_era: StoreEra,
    /// Hosts whose registrations the store holds in that era.
    stored: HashSet<SocketAddr>,
    /// Hosts that are alive although their registrations were removed.
    removed_alive: HashSet<SocketAddr>,
    /// Times of the last messages, by peer address.
    heard_at: HashMap<SocketAddr, ClockTime>,
}

impl HostRoster {
    /// Begins a read of all registrations in `era`; returns the era of the read before.
    pub fn begin_full_read(&mut self, era: StoreEra) -> StoreEra {
        self.stored.clear();
        std::mem::replace(&mut self.read_era, era)
    }

    /// Ends a read of all registrations. Drops those that the store does not hold, unless the read
    /// before was of another era: then a copy may have lost them.
    pub fn end_full_read(&mut self, era_before: StoreEra, now: ClockTime) {
        if era_before != self.read_era {
            return;
        }
        let absent = self.registrations.keys().copied();
        let absent: Vec<SocketAddr> = absent
            .filter(|address| !self.stored.contains(address))
            .collect();
        for address in absent {
            self.drop_unless_heard(address, now);
        }
    }

    /// Adds the registration that the store holds at `offset`, unless a later one is known.
    pub fn apply_stored(&mut self, offset: StoreOffset, registration: HostRegistration) {
        self.removed_alive.remove(&registration.peer_address);
        if offset.era == self.read_era {
            self.stored.insert(registration.peer_address);
        }
        self.apply_registration(offset, registration);
    }

    /// Whether the host at `peer_address` must register again: its registration was removed, or the
    /// store lost it in `era`, as far as this host read it in that era.
    pub fn must_register(&self, peer_address: SocketAddr, era: StoreEra) -> bool {
        let is_lost =
            era.is_known() && self.read_era == era && !self.stored.contains(&peer_address);
        is_lost || self.removed_alive.contains(&peer_address) || self.find(peer_address).is_none()
    }

    /// Adds the registration read at `offset`, unless a later one is known.
    ///
    /// A store that came back from a copy may hold an earlier registration than the known one, at
    /// an offset of its new era. Only one that was written in that era replaces the known one.
    pub fn apply_registration(&mut self, offset: StoreOffset, registration: HostRegistration) {
        if let Some((at, _)) = self.registrations.get(&registration.peer_address) {
            let is_of_copy = offset.era > at.era && registration.era < offset.era;
            if is_of_copy || !offset.supersedes(*at) {
                return;
            }
        }
        self.suspects.remove(&registration.peer_address);
        self.unfit.remove(&registration.peer_address);
        self.registrations
            .insert(registration.peer_address, (offset, registration));
    }

    /// Removes the host that callers reach at `caller_address`, whose registration was removed at
    /// `offset`, unless a message from it arrived a short time ago.
    pub fn remove(&mut self, offset: StoreOffset, caller_address: SocketAddr, now: ClockTime) {
        let registrations = self.registrations.iter();
        let removed: Vec<SocketAddr> = registrations
            .filter(|(_, (at, host))| {
                host.caller_address == caller_address && offset.supersedes(*at)
            })
            .map(|(address, _)| *address)
            .collect();
        for address in removed {
            self.stored.remove(&address);
            self.drop_unless_heard(address, now);
        }
    }

    /// Drops the host at `address`, or remembers that it must register again if it is alive.
    fn drop_unless_heard(&mut self, address: SocketAddr, now: ClockTime) {
        let heard_at = self.heard_at(address);
        if heard_at.is_some_and(|at| now.since(at) <= SIGN_OF_LIFE_MS) {
            self.removed_alive.insert(address);
            return;
        }
        self.forget(address);
    }

    /// Drops the host at `peer_address`.
    pub fn forget(&mut self, peer_address: SocketAddr) {
        self.registrations.remove(&peer_address);
        self.suspects.remove(&peer_address);
        self.unfit.remove(&peer_address);
        self.stored.remove(&peer_address);
        self.removed_alive.remove(&peer_address);
        self.heard_at.remove(&peer_address);
    }

    /// Records that a message of the host at `peer_address` arrived.
    pub fn record_message(&mut self, peer_address: SocketAddr, now: ClockTime) {
        self.heard_at.insert(peer_address, now);
        self.clear_suspicion(peer_address, now);
    }

    /// Time of the last message of the host at `peer_address`.
    pub fn heard_at(&self, peer_address: SocketAddr) -> Option<ClockTime> {
        self.heard_at.get(&peer_address).copied()
    }

    /// Skips the silent host at `peer_address` as a hub until a message from it arrives.
    pub fn suspect(&mut self, peer_address: SocketAddr) {
        self.suspects.insert(peer_address);
    }

    /// Skips the host at `peer_address` as a hub for `UNFIT_MS`, even if it is reachable.
    pub fn mark_unfit(&mut self, peer_address: SocketAddr, now: ClockTime) {
        self.unfit.insert(peer_address, now.plus(UNFIT_MS));
    }

    /// Skips the stopping host at `peer_address` as a hub: for `UNFIT_MS`, and from then on until a
    /// message from it shows that it started again.
    pub fn mark_stopping(&mut self, peer_address: SocketAddr, now: ClockTime) {
        self.mark_unfit(peer_address, now);
        self.suspect(peer_address);
    }

    /// Stops skipping the host at `peer_address` as silent, because a message from it arrived. One
    /// of an unfit host does not count: a stopping host still sends some.
    pub fn clear_suspicion(&mut self, peer_address: SocketAddr, now: ClockTime) {
        if !self.is_unfit(peer_address, now) {
            self.suspects.remove(&peer_address);
        }
    }

    /// Whether the host at `peer_address` is skipped as silent.
    pub fn is_suspected(&self, peer_address: SocketAddr) -> bool {
        self.suspects.contains(&peer_address)
    }

    /// Candidates for the hub of `data_centre` in their order, suspected or not, as the host at
    /// `own_address` sees them: those before itself, or all others if it cannot be hub.
    pub fn candidates(
        &self,
        data_centre: &str,
        own_address: SocketAddr,
        now: ClockTime,
    ) -> Vec<SocketAddr> {
        let addresses = self.hosts_in(data_centre).map(|host| host.peer_address);
        addresses
            .filter(|address| !self.is_unfit(*address, now))
            .take_while(|address| *address != own_address)
            .collect()
    }

    /// Suspected hosts that would be the hub of `data_centre` in place of the one at `hub`.
    pub fn suspects_before(
        &self,
        data_centre: &str,
        hub: SocketAddr,
        now: ClockTime,
    ) -> Vec<SocketAddr> {
        let candidates = self.candidates(data_centre, hub, now);
        let suspected = candidates.into_iter();
        suspected
            .filter(|address| self.is_suspected(*address))
            .collect()
    }

    /// Hub of `data_centre`: its first host that is neither suspected nor unfit.
    pub fn hub_of(&self, data_centre: &str, now: ClockTime) -> Option<&HostRegistration> {
        self.hosts_in(data_centre)
            .find(|registration| !self.is_excluded(registration.peer_address, now))
    }

    /// Hosts of `data_centre` in the order in which they become hub.
    pub fn hosts_in(&self, data_centre: &str) -> impl Iterator<Item = &HostRegistration> {
        let mut hosts: Vec<&HostRegistration> = self
            .registrations
            .values()
            .map(|(_, registration)| registration)
            .filter(|registration| registration.data_centre == data_centre)
            .collect();
        hosts.sort_by_key(|registration| Reverse(registration.capacity));
        hosts.into_iter()
    }

    /// Registration of the host at `peer_address` and its offset in the store.
    pub fn find(&self, peer_address: SocketAddr) -> Option<&(StoreOffset, HostRegistration)> {
        self.registrations.get(&peer_address)
    }

    /// Registration of the host that callers reach at `caller_address`.
    pub fn find_caller_address(&self, caller_address: SocketAddr) -> Option<&HostRegistration> {
        let mut registrations = self.registrations.values();
        let found = registrations.find(|(_, host)| host.caller_address == caller_address);
        found.map(|(_, registration)| registration)
    }

    /// Data centres that have registered hosts, sorted.
    pub fn data_centres(&self) -> Vec<CompactString> {
        let mut names: Vec<CompactString> = self
            .registrations
            .values()
            .map(|(_, registration)| registration.data_centre.clone())
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Number of hosts that are skipped as silent.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Number of registered hosts.
    pub fn len(&self) -> usize {
        self.registrations.len()
    }

    /// Whether no host is registered.
    pub fn is_empty(&self) -> bool {
        self.registrations.is_empty()
    }

    fn is_excluded(&self, peer_address: SocketAddr, now: ClockTime) -> bool {
        self.is_suspected(peer_address) || self.is_unfit(peer_address, now)
    }

    fn is_unfit(&self, peer_address: SocketAddr, now: ClockTime) -> bool {
        let until = self.unfit.get(&peer_address);
        until.is_some_and(|until| now < *until)
    }
}
