//! The newest listing of hosts that is known here.
//!
//! One host of each data centre reads the platform's list often; the others
//! learn of a change when they ask it. Which of two listings is newer is told
//! by the time at which each was read, aged by the round trip of the question,
//! so that no two clocks are compared.

use xxhash_rust::xxh3::xxh3_64;

use crocushoist_protocol::ListedHost;
use crocushoist_state::ClockTime;

/// The newest listing of hosts that is known here.
#[derive(Clone, Debug, Default)]
pub struct ListedHosts {
    hosts: Vec<ListedHost>,
    hash: u64,
    read_at: Option<ClockTime>,
}

impl ListedHosts {
    /// Takes a listing read at `read_at`; whether it is newer and differs.
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

    /// Notes that a peer read a listing with `hash` at `read_at`; whether it must be fetched.
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

    /// Listed hosts.
    pub fn hosts(&self) -> &[ListedHost] {
        &self.hosts
    }

    /// Hash of the listing.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Milliseconds since the listing was read, `None` before the first.
    pub fn age(&self, now: ClockTime) -> Option<u64> {
        self.read_at.map(|read_at| now.since(read_at))
    }
}

fn listing_hash_of(hosts: &[ListedHost]) -> u64 {
    xxh3_64(&serde_json::to_vec(hosts).unwrap_or_default())
}
