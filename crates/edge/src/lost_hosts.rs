//! Removes the registrations of hosts that were lost or replaced for good.
//!
//! The hub of a data centre does that, one after the other, and only while it is
//! the only hub there that anyone hears and others reach it. A host whose
//! registration was removed although it lives is told so by its hub, or reads it
//! itself, and registers again; hosts that hear it keep it in their order.

use slog::info;
use slog::warn;

use crocushoist_platform::StoreClient;
use crocushoist_platform::StoreTopic;
use crocushoist_policy::SilenceLedger;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;

/// Minimum milliseconds from one removal to the next.
const REMOVAL_INTERVAL_MS: u64 = 1_000;

/// Part of the time to a removal for which the host is probed before.
const PROBED_FRACTION: u64 = 2;

/// Search of the hub for registrations to remove.
#[derive(Debug, Default)]
pub(crate) struct LostHosts {
    silences: SilenceLedger,
    removed_at: Option<ClockTime>,
}

impl LostHosts {
    /// Removes the registration of one host that has been silent for long, if there is one.
    pub(crate) async fn remove_one(&mut self, context: &EdgeContext, client: &mut StoreClient) {
        let now = ClockTime::now();
        if !can_judge(context, now) {
            self.silences.clear();
            return;
        }
        {
            let roster = context.roster.borrow();
            let own_host = &context.own_host;
            let addresses = roster.hosts_in(&own_host.data_centre);
            let others = addresses
                .map(|host| host.peer_address)
                .filter(|address| *address != own_host.peer_address);
            let heard = others.map(|address| (address, roster.heard_at(address)));
            self.silences.check(heard, now);
        }
        let forget_ms = context.settings.forget_hosts_ms;
        let probed = self.silences.silent_for(forget_ms / PROBED_FRACTION);
        if !probed.is_empty() {
            let host = probed[rand::random_range(0..probed.len())];
            context.hosts_to_probe.borrow_mut().push(host);
        }
        let is_recent = |at: ClockTime| now.since(at) < REMOVAL_INTERVAL_MS;
        let Some(lost) = self.silences.silent_for(forget_ms).first().copied() else {
            return;
        };
        if self.removed_at.is_some_and(is_recent) {
            return;
        }
        self.removed_at = Some(now);
        let registered = context.roster.borrow().find(lost).cloned();
        let Some((_, registration)) = registered else {
            return;
        };
        let key = registration.caller_address.to_string();
        match client.write(StoreTopic::Hosts, &key, None).await {
            Ok(offset) => {
                context.metrics.count_store_call("ok");
                info!(context.logger, "registration of a lost host removed";
                    "peer" => lost.to_string(), "silent_ms" => forget_ms, "offset" => %offset);
                context.roster.borrow_mut().forget(lost);
            }
            Err(error) => {
                context.metrics.count_store_call("failed");
                warn!(context.logger, "cannot remove the registration of a lost host";
                    "peer" => lost.to_string(), "cause" => %error);
            }
        }
    }
}

/// Whether this host would hear the others of its data centre: it is the only hub there, and some
/// other host reaches it.
fn can_judge(context: &EdgeContext, now: ClockTime) -> bool {
    if !context.is_hub.get() {
        return false;
    }
    let aggregator = context.aggregator.borrow();
    let roster = context.roster.borrow();
    let own_host = &context.own_host;
    let is_local = |address| {
        let registered = roster.find(address);
        address != own_host.peer_address
            && registered.is_some_and(|(_, host)| host.data_centre == own_host.data_centre)
    };
    let has_other_hub = aggregator.summary_recipients(now).into_iter().any(is_local);
    let is_reached =
        aggregator.reporter_count(now) > 1 || !aggregator.reachable_hubs(now).is_empty();
    is_reached && !has_other_hub
}
