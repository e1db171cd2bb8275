//! Search for a live host while the hub of a data centre is silent.
//!
//! Hosts that were lost or replaced stay registered, so any number of dead hosts may come before
//! the first live one. To wait for the silence of each in turn would leave the data centre without
//! a hub for longer the more hosts it lost. Instead, a host asks the candidates in their order
//! for a sign of life, in batches that double until one answers. It then knows at once which of
//! those before that one are silent.

use std::collections::HashSet;
use std::net::SocketAddr;

/// Maximum number of candidates that are asked in one round.
const MAX_BATCH: usize = 64;

/// Candidates that were asked since the hub fell silent, and those that answered.
#[derive(Clone, Debug, Default)]
pub struct HubSearch {
    asked: HashSet<SocketAddr>,
    answered: HashSet<SocketAddr>,
    /// Number of rounds so far.
    rounds: u32,
}

impl HubSearch {
    /// Candidates to ask in this round; none once a candidate answered or all were asked.
    pub fn next_batch(&mut self, candidates: &[SocketAddr]) -> Vec<SocketAddr> {
        if !self.answered.is_empty() {
            return Vec::new();
        }
        let batch = 1usize.checked_shl(self.rounds).unwrap_or(MAX_BATCH);
        let batch = batch.min(MAX_BATCH);
        self.rounds = self.rounds.saturating_add(1);
        let unasked = candidates
            .iter()
            .filter(|candidate| !self.asked.contains(candidate));
        let batch: Vec<SocketAddr> = unasked.take(batch).copied().collect();
        self.asked.extend(&batch);
        batch
    }

    /// Records that the candidate at `peer_address` answered.
    pub fn record_answer(&mut self, peer_address: SocketAddr) {
        if self.asked.contains(&peer_address) {
            self.answered.insert(peer_address);
        }
    }

    /// Whether a candidate answered, or each of `candidates` was asked.
    pub fn is_settled(&self, candidates: &[SocketAddr]) -> bool {
        let mut candidates = candidates.iter();
        !self.answered.is_empty() || candidates.all(|candidate| self.asked.contains(candidate))
    }

    /// Of `candidates`, those before the first that answered; they were asked and are silent.
    pub fn silent_candidates(&self, candidates: &[SocketAddr]) -> Vec<SocketAddr> {
        candidates
            .iter()
            .take_while(|candidate| !self.answered.contains(candidate))
            .filter(|candidate| self.asked.contains(candidate))
            .copied()
            .collect()
    }
}
