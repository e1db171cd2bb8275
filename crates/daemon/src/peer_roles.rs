//! Duties of one host and the peers that it polls.
//!
//! A few hosts of each data centre read the log, and the other hosts poll
//! them. A few hosts watch each shard holder. Readers are the first live hosts
//! of the data centre by incarnation and watchers are ranked by hash among the
//! live hosts, so both follow every start and stop without coordination.
//!
//! Every host keeps a connection to every shard holder, for draws, and polls
//! only a bounded number of peers to detect failures. The number of shards
//! bounds the connections and the sample size bounds the polls, so neither
//! grows with the number of hosts.

use std::collections::HashSet;
use std::net::SocketAddr;

use crocushoist_coordination::HolderWatch;
use crocushoist_coordination::timing;
use crocushoist_protocol::HostListing;
use crocushoist_state::ClockTime;
use crocushoist_state::IncarnationId;

use crate::host_state::HostState;
use crate::host_state::MAX_SILENCE_MS;

/// Milliseconds after which the first reader of a data centre reads the host list again.
const PRIMARY_LIST_INTERVAL_MS: u64 = 1_000;
/// Milliseconds without a newer host list after which any other host reads it.
const FALLBACK_LIST_INTERVAL_MS: u64 = 2_500;
const READERS_PER_DATA_CENTRE: usize = 3;
/// Number of peers polled only to detect failures.
const SAMPLED_PEERS: usize = 24;
/// Interval to shard holders while a record waits for acceptance, in milliseconds.
const URGENT_PULL_INTERVAL_MS: u64 = 60;
/// Interval to shard holders while a majority of them must confirm, in milliseconds.
const MAJORITY_PULL_INTERVAL_MS: u64 = 250;
/// Interval to the readers that this host gets records from, in milliseconds.
const SOURCE_PULL_INTERVAL_MS: u64 = 200;
/// Interval to the shard holders that this host watches, in milliseconds.
const WATCH_PULL_INTERVAL_MS: u64 = 400;
/// Interval to sampled peers, in milliseconds.
const LIVENESS_PULL_INTERVAL_MS: u64 = 1_500;
/// Interval to all other shard holders, in milliseconds.
const HOLDER_PULL_INTERVAL_MS: u64 = 60_000;

/// Duties of this host and the peers that it polls.
#[derive(Clone, Debug, Default)]
pub struct PeerRoles {
    /// Whether this host reads the log.
    pub is_reader: bool,
    /// Age in milliseconds at which this host reads the host list itself.
    pub list_interval_ms: u64,
    /// Whether this host polls the shard holders to get evidence from a majority.
    pub polls_majority: bool,
    /// Peers to connect to.
    pub to_connect: HashSet<SocketAddr>,
    sources: HashSet<SocketAddr>,
    watched: HashSet<SocketAddr>,
    sampled: HashSet<SocketAddr>,
    holders: HashSet<SocketAddr>,
}

impl PeerRoles {
    /// Derives the roles from `state`.
    pub fn new(state: &HostState, now: ClockTime) -> Self {
        let own = &state.own;
        let age = state.freshness.age(now).unwrap_or(u64::MAX);
        let readers = local_readers(state, now);
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
            .replayed
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
        let must_read_log = age > timing::READ_LOG_AFTER_MS;
        PeerRoles {
            is_reader: is_reader || must_read_log,
            list_interval_ms: if is_first {
                PRIMARY_LIST_INTERVAL_MS
            } else {
                FALLBACK_LIST_INTERVAL_MS
            },
            polls_majority: must_read_log || (is_reader && age > timing::QUERY_MAJORITY_AFTER_MS),
            to_connect: sampled.union(&holders).copied().collect(),
            sampled,
            sources,
            watched: watched_holders(state, now),
            holders,
        }
    }

    /// Whether the peer at `address` is polled often enough that silence shows a failure.
    pub fn is_polled_often(&self, address: SocketAddr) -> bool {
        self.pull_interval(address, false) <= LIVENESS_PULL_INTERVAL_MS
    }

    /// Whether polls at this interval, in milliseconds, serve only to detect failures.
    pub fn is_liveness_only(interval: u64) -> bool {
        interval >= LIVENESS_PULL_INTERVAL_MS
    }

    /// Milliseconds between pulls from the peer at `address`.
    pub fn pull_interval(&self, address: SocketAddr, is_urgent: bool) -> u64 {
        let is_holder = self.holders.contains(&address);
        if is_holder && is_urgent {
            return URGENT_PULL_INTERVAL_MS;
        }
        if is_holder && self.polls_majority {
            return MAJORITY_PULL_INTERVAL_MS;
        }
        if self.sources.contains(&address) {
            return SOURCE_PULL_INTERVAL_MS;
        }
        if self.watched.contains(&address) {
            return WATCH_PULL_INTERVAL_MS;
        }
        if self.sampled.contains(&address) {
            return LIVENESS_PULL_INTERVAL_MS;
        }
        HOLDER_PULL_INTERVAL_MS
    }
}

/// Log readers of this host's data centre: the first live hosts in incarnation order.
fn local_readers(state: &HostState, now: ClockTime) -> Vec<(IncarnationId, SocketAddr)> {
    let own = &state.own;
    let mut members: Vec<(IncarnationId, SocketAddr)> = state
        .directory
        .reachable_peers(now, MAX_SILENCE_MS)
        .filter(|(_, peer)| peer.address.data_centre == own.address.data_centre)
        .map(|(incarnation, peer)| (incarnation, peer.address.peers))
        .collect();
    members.push((own.incarnation, own.address.peers));
    members.sort_unstable();
    members.truncate(READERS_PER_DATA_CENTRE);
    members
}

/// Peer addresses of the shard holders that this host watches.
fn watched_holders(state: &HostState, now: ClockTime) -> HashSet<SocketAddr> {
    let live = state.live_incarnations(now);
    state
        .replayed
        .table()
        .iter()
        .filter(|(shard, _)| HolderWatch::rank(state.own.incarnation, &live, *shard).is_some())
        .filter_map(|(_, entry)| entry.holder.as_ref())
        .map(|holder| holder.address.peers)
        .collect()
}

/// The peers after this host in address order, so that each host samples different ones.
fn sampled_peers(state: &HostState) -> HashSet<SocketAddr> {
    let own = state.own.address.peers;
    let known = state.directory.iter().map(|(_, peer)| peer.address.peers);
    let mut others: Vec<SocketAddr> = state
        .host_list
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
