//! What this host does for its peers and asks of them.
//!
//! A few hosts of each data centre read the log; the others ask them. A few
//! hosts watch each shard holder. Both are chosen by hash among the hosts
//! that are alive, so that they follow every start and stop by themselves.
//!
//! Every host keeps a link to every shard holder, for draws; it asks only a
//! bounded number of peers for signs of life, so that neither cost grows with
//! the number of hosts.

use std::collections::HashSet;
use std::net::SocketAddr;

use crocushoist_coordination::HolderWatch;
use crocushoist_coordination::timing;
use crocushoist_protocol::HostListing;
use crocushoist_state::ClockTime;
use crocushoist_state::IncarnationId;

use crate::host_state::ALIVE_MS;
use crate::host_state::HostState;

const LIST_READ_MS: u64 = 1_000;
const LIST_FALLBACK_MS: u64 = 2_500;
const READERS_PER_DATA_CENTRE: usize = 3;
const SAMPLED_PEERS: usize = 24;
const HURRIED_PULL_MS: u64 = 60;
const MAJORITY_PULL_MS: u64 = 250;
const SOURCE_PULL_MS: u64 = 200;
const WATCH_PULL_MS: u64 = 400;
const IDLE_PULL_MS: u64 = 1_500;
const HOLDER_PULL_MS: u64 = 60_000;

/// What this host does for its peers and asks of them.
#[derive(Clone, Debug, Default)]
pub struct PeerRoles {
    /// Whether this host reads the log.
    pub is_reader: bool,
    /// Milliseconds after which this host reads the host list itself.
    pub list_interval: u64,
    /// Whether this host asks the holders for a majority.
    pub asks_majority: bool,
    /// Peers to connect to.
    pub linked: HashSet<SocketAddr>,
    sources: HashSet<SocketAddr>,
    watched: HashSet<SocketAddr>,
    sampled: HashSet<SocketAddr>,
    holders: HashSet<SocketAddr>,
}

impl PeerRoles {
    /// Roles that follow from `state`.
    pub fn new(state: &HostState, now: ClockTime) -> Self {
        let own = &state.own;
        let age = state.freshness.age(now).unwrap_or(u64::MAX);
        let readers = readers_of_own_centre(state, now);
        let is_reader = readers
            .iter()
            .any(|(incarnation, _)| *incarnation == own.incarnation);
        let sources = readers
            .iter()
            .filter(|(incarnation, _)| *incarnation != own.incarnation)
            .map(|(_, address)| *address)
            .take(if is_reader { 0 } else { 2 })
            .collect();
        let holders: HashSet<SocketAddr> = state
            .fold
            .table()
            .live_holders()
            .into_iter()
            .filter(|holder| holder.incarnation != own.incarnation)
            .map(|holder| holder.address.peers)
            .collect();
        let is_first = readers
            .first()
            .is_some_and(|(incarnation, _)| *incarnation == own.incarnation);
        let sampled = sampled_peers(state);
        let asks_itself = age > timing::READ_SELF_MS;
        PeerRoles {
            is_reader: is_reader || asks_itself,
            list_interval: if is_first {
                LIST_READ_MS
            } else {
                LIST_FALLBACK_MS
            },
            asks_majority: asks_itself || (is_reader && age > timing::ASK_MAJORITY_MS),
            linked: sampled.union(&holders).copied().collect(),
            sampled,
            sources,
            watched: watched_holders(state, now),
            holders,
        }
    }

    /// Whether the peer at `address` is asked so often that its silence tells.
    pub fn is_asked_often(&self, address: SocketAddr) -> bool {
        self.pull_interval(address, false) <= IDLE_PULL_MS
    }

    /// Whether questions at this interval are only signs of life.
    pub fn is_idle(interval: u64) -> bool {
        interval >= IDLE_PULL_MS
    }

    /// Milliseconds between questions to the peer at `address`.
    pub fn pull_interval(&self, address: SocketAddr, hurried: bool) -> u64 {
        let is_holder = self.holders.contains(&address);
        if is_holder && hurried {
            return HURRIED_PULL_MS;
        }
        if is_holder && self.asks_majority {
            return MAJORITY_PULL_MS;
        }
        if self.sources.contains(&address) {
            return SOURCE_PULL_MS;
        }
        if self.watched.contains(&address) {
            return WATCH_PULL_MS;
        }
        if self.sampled.contains(&address) {
            return IDLE_PULL_MS;
        }
        HOLDER_PULL_MS
    }
}

/// The readers of this host's data centre, in an order of their own.
fn readers_of_own_centre(state: &HostState, now: ClockTime) -> Vec<(IncarnationId, SocketAddr)> {
    let own = &state.own;
    let mut members: Vec<(IncarnationId, SocketAddr)> = state
        .directory
        .alive(now, ALIVE_MS)
        .filter(|(_, peer)| peer.address.data_centre == own.address.data_centre)
        .map(|(incarnation, peer)| (incarnation, peer.address.peers))
        .collect();
    members.push((own.incarnation, own.address.peers));
    members.sort_unstable();
    members.truncate(READERS_PER_DATA_CENTRE);
    members
}

fn watched_holders(state: &HostState, now: ClockTime) -> HashSet<SocketAddr> {
    let alive = state.alive_incarnations(now);
    state
        .fold
        .table()
        .iter()
        .filter(|(shard, _)| HolderWatch::rank(state.own.incarnation, &alive, *shard).is_some())
        .filter_map(|(_, entry)| entry.holder.as_ref())
        .map(|holder| holder.address.peers)
        .collect()
}

/// The peers that this host asks for signs of life, different ones for each host.
fn sampled_peers(state: &HostState) -> HashSet<SocketAddr> {
    let own = state.own.address.peers;
    let known = state.directory.iter().map(|(_, peer)| peer.address.peers);
    let mut others: Vec<SocketAddr> = state
        .listed
        .hosts()
        .iter()
        .filter(|host| host.role == HostListing::ENTRY_ROLE)
        .map(|host| host.address)
        .chain(known)
        .filter(|address| *address != own)
        .collect();
    others.sort_unstable();
    others.dedup();
    let count = SAMPLED_PEERS.min(others.len());
    let skip = others.partition_point(|address| *address < own);
    others.into_iter().cycle().skip(skip).take(count).collect()
}
