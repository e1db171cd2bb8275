//! Chooses the hosts that are probed for a sign of life.
//!
//! While its hub is silent, a host probes those that may follow it, so that the
//! time until it has a hub does not grow with the number of lost hosts. Suspected
//! hosts that would come before the hub are probed from time to time. A hub that
//! hears no hub of another data centre probes the hosts there in turn, since one
//! that is alive names its hub.

use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_policy::HostRoster;
use crocushoist_policy::HubSearch;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;

/// Milliseconds after which a search that no host answered begins again.
const SEARCH_INTERVAL_MS: u64 = 1_000;

/// Number of report intervals from one probe of a suspected host to the next.
const ROUNDS_PER_SUSPECT: u32 = 16;

/// Number of hosts of a data centre without a known hub that are probed with each summary.
const REMOTE_PROBES_PER_SUMMARY: usize = 8;

/// Search of this host for the hub of its data centre.
#[derive(Debug, Default)]
pub(crate) struct HostSearch {
    search: HubSearch,
    began_at: ClockTime,
}

impl HostSearch {
    /// Begins anew, because this host chose another hub or its hub answered.
    pub(crate) fn restart(&mut self, now: ClockTime) {
        self.search = HubSearch::default();
        self.began_at = now;
    }

    /// Records that the host at `peer_address` answered a probe.
    pub(crate) fn record_answer(&mut self, peer_address: SocketAddr) {
        self.search.record_answer(peer_address);
    }

    /// Whether it is known which of the candidates are alive, as far as that matters.
    pub(crate) fn is_settled(
        &self,
        context: &EdgeContext,
        roster: &HostRoster,
        now: ClockTime,
    ) -> bool {
        self.search.is_settled(&candidates(context, roster, now))
    }

    /// Suspects the silent `hub` and the silent candidates before the first that is alive.
    pub(crate) fn suspect_silent(
        &self,
        context: &EdgeContext,
        roster: &mut HostRoster,
        hub: SocketAddr,
        now: ClockTime,
    ) {
        let candidates = candidates(context, roster, now);
        for silent in self.search.silent_candidates(&candidates) {
            roster.suspect(silent);
        }
        roster.suspect(hub);
    }

    /// Candidates to probe in this round of a search.
    pub(crate) fn next_batch(&mut self, context: &EdgeContext, now: ClockTime) -> Vec<SocketAddr> {
        let candidates = candidates(context, &context.roster.borrow(), now);
        let is_over = now.since(self.began_at) > SEARCH_INTERVAL_MS;
        if is_over && self.search.is_settled(&candidates) {
            self.restart(now);
        }
        self.search.next_batch(&candidates)
    }
}

/// Candidates for the hub of this host's data centre.
fn candidates(context: &EdgeContext, roster: &HostRoster, now: ClockTime) -> Vec<SocketAddr> {
    let own_host = &context.own_host;
    roster.candidates(&own_host.data_centre, own_host.peer_address, now)
}

/// One in turn of the suspected hosts that would come before `hub`, at some of the rounds.
pub(crate) fn suspect_to_probe(
    context: &EdgeContext,
    hub: SocketAddr,
    round: u32,
    now: ClockTime,
) -> Option<SocketAddr> {
    if !round.is_multiple_of(ROUNDS_PER_SUSPECT) {
        return None;
    }
    let roster = context.roster.borrow();
    let suspects = roster.suspects_before(&context.own_host.data_centre, hub, now);
    let index = (round / ROUNDS_PER_SUSPECT) as usize % suspects.len().max(1);
    suspects.get(index).copied()
}

/// Hosts of each other data centre of which this hub hears no hub, in their order as hubs.
pub(crate) fn hosts_without_reachable_hub(
    context: &EdgeContext,
    now: ClockTime,
) -> Vec<Vec<SocketAddr>> {
    let roster = context.roster.borrow();
    let reachable_hubs = context.aggregator.borrow().reachable_hubs(now);
    let is_reachable = |data_centre: &CompactString| {
        let mut hubs = reachable_hubs.iter();
        hubs.any(|(_, hub_centre)| hub_centre == data_centre)
    };
    let data_centres = roster.data_centres().into_iter();
    data_centres
        .filter(|data_centre| *data_centre != context.own_host.data_centre)
        .filter(|data_centre| !is_reachable(data_centre))
        .map(|data_centre| {
            let hosts = roster.hosts_in(&data_centre);
            hosts.map(|host| host.peer_address).collect()
        })
        .collect()
}

/// Some hosts in turn of each data centre without a reachable hub.
pub(crate) fn remote_hosts_to_probe(
    context: &EdgeContext,
    round: u32,
    now: ClockTime,
) -> Vec<SocketAddr> {
    let mut probed = Vec::new();
    for hosts in hosts_without_reachable_hub(context, now) {
        let first = round as usize * REMOTE_PROBES_PER_SUMMARY;
        let count = REMOTE_PROBES_PER_SUMMARY.min(hosts.len());
        probed.extend((first..first + count).map(|index| hosts[index % hosts.len()]));
    }
    probed
}
