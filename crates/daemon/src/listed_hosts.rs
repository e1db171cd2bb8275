//! The newest known host list.
//!
//! One host of each data centre reads the list from the platform often; the
//! other hosts learn of a change when they poll that host. The newer of two
//! lists is the one that was read later. The time of the read is computed on
//! this host's clock from the age that the peer reports and from the time at
//! which the poll was sent, so that clocks of two hosts are never compared.

use xxhash_rust::xxh3::xxh3_64;

use crocushoist_protocol::ListedHost;
use crocushoist_state::ClockTime;

/// The newest known host list.
#[derive(Clone, Debug, Default)]
pub struct ListedHosts {
    hosts: Vec<ListedHost>,
    hash: u64,
    read_at: Option<ClockTime>,
}

impl ListedHosts {
    /// Stores a list that was read at `read_at`; returns whether it is newer and differs.
    pub fn update(&mut self, hosts: Vec<ListedHost>, read_at: ClockTime) -> bool {
        if self.read_at.is_some_and(|known| known >= read_at) {
            return false;
        }
        self.read_at = Some(read_at);
        let hash = listing_hash_of(&hosts);
        if hash == self.hash {
            return false;
        }
        self.hash = hash;
        self.hosts = hosts;
        true
    }

    /// Compares a peer's list, with `hash` and read at `read_at`; returns whether to fetch it.
    ///
    /// If the known list has the same hash, its read time moves on to `read_at`.
    pub fn must_fetch(&mut self, hash: u64, read_at: ClockTime) -> bool {
        if self.read_at.is_some_and(|known| known >= read_at) {
            return false;
        }
        if hash == self.hash {
            self.read_at = Some(read_at);
            return false;
        }
        true
    }

    /// Hosts in the list.
    pub fn hosts(&self) -> &[ListedHost] {
        &self.hosts
    }

    /// Hash of the list.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Milliseconds since the list was read, `None` before the first read.
    pub fn age(&self, now: ClockTime) -> Option<u64> {
        self.read_at.map(|read_at| now.since(read_at))
    }
}

fn listing_hash_of(hosts: &[ListedHost]) -> u64 {
    xxh3_64(&serde_json::to_vec(hosts).unwrap_or_default())
}
