//! How long the registered hosts of a data centre have been silent.
//!
//! Hosts that were lost or replaced stay registered until the hub of their data
//! centre removes them. It counts only time in which it ran itself and could
//! hear others, so that neither a suspended nor an isolated hub takes the others
//! for lost.

use std::collections::HashMap;
use std::net::SocketAddr;

use crocushoist_state::ClockTime;

/// Maximum milliseconds from one check to the next that count; longer ones show that this host
/// did not run.
const MAX_STEP_MS: u64 = 1_000;

/// Milliseconds of silence of the registered hosts of one data centre.
#[derive(Clone, Debug, Default)]
pub struct SilenceLedger {
    silences: HashMap<SocketAddr, u64>,
    checked_at: Option<ClockTime>,
}

impl SilenceLedger {
    /// Begins anew, because this host is not the hub or cannot judge the silence of others.
    pub fn clear(&mut self) {
        *self = SilenceLedger::default();
    }

    /// Adds the time since the last check to the silence of each of `hosts`, unless a message of
    /// it has arrived since; each comes with the time of its last message.
    pub fn check(
        &mut self,
        hosts: impl Iterator<Item = (SocketAddr, Option<ClockTime>)>,
        now: ClockTime,
    ) {
        let checked_at = self.checked_at.replace(now).unwrap_or(now);
        let step_ms = now.since(checked_at).min(MAX_STEP_MS);
        let mut silences = HashMap::new();
        for (host, heard_at) in hosts {
            let before = self.silences.get(&host).copied().unwrap_or_default();
            let is_heard = heard_at.is_some_and(|at| at > checked_at);
            silences.insert(host, if is_heard { 0 } else { before + step_ms });
        }
        self.silences = silences;
    }

    /// Hosts that have been silent for at least `millis` milliseconds, the longest first.
    pub fn silent_for(&self, millis: u64) -> Vec<SocketAddr> {
        let silences = self.silences.iter();
        let mut silent: Vec<(u64, SocketAddr)> = silences
            .filter(|(_, silence_ms)| **silence_ms >= millis)
            .map(|(host, silence_ms)| (*silence_ms, *host))
            .collect();
        silent.sort_unstable_by(|first, second| second.cmp(first));
        silent.into_iter().map(|(_, host)| host).collect()
    }
}
