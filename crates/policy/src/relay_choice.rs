//! Which host to relay a request to while this host has no path to its service.
//!
//! The hosts that address lookups return have a path to some instance. One that
//! refused a relay for lack of a path, or could not be reached, is not chosen
//! again for a while.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

/// Milliseconds for which a host is not chosen after a relay to it failed.
const REJECTION_MS: u64 = 1_000;

/// Hosts to which relays of a service failed lately.
#[derive(Clone, Debug, Default)]
pub struct RelayChoice {
    rejected_until: HashMap<(CompactString, SocketAddr), ClockTime>,
}

impl RelayChoice {
    /// Records that the host that callers reach at `host` did not take a request to `service`.
    pub fn record_rejection(&mut self, service: &str, host: SocketAddr, now: ClockTime) {
        self.rejected_until.retain(|_, until| now < *until);
        let until = now.plus(REJECTION_MS);
        self.rejected_until.insert((service.into(), host), until);
    }

    /// Chooses one of `hosts`, which have their data centres beside them, with a random number from
    /// 0 to 1; one in `data_centre` if there is any.
    pub fn choose(
        &self,
        service: &str,
        hosts: &[(CompactString, SocketAddr)],
        data_centre: &str,
        is_excluded: impl Fn(SocketAddr) -> bool,
        draw: f64,
        now: ClockTime,
    ) -> Option<SocketAddr> {
        let takes_relays = |host: SocketAddr| {
            let rejected_until = self.rejected_until.get(&(service.into(), host));
            !is_excluded(host) && rejected_until.is_none_or(|until| *until <= now)
        };
        let candidates = || hosts.iter().filter(|(_, host)| takes_relays(*host));
        let local: Vec<SocketAddr> = candidates()
            .filter(|(host_centre, _)| host_centre == data_centre)
            .map(|(_, host)| *host)
            .collect();
        let chosen_from = if local.is_empty() {
            candidates().map(|(_, host)| *host).collect()
        } else {
            local
        };
        let index = (draw * chosen_from.len() as f64) as usize;
        chosen_from.get(index).copied()
    }
}
