//! Reads the platform's host list.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use compio::time::sleep;

use crocushoist_protocol::HostListing;
use crocushoist_protocol::ListedHost;
use crocushoist_protocol::ListedState;
use crocushoist_state::ClockTime;
use crocushoist_transport::HostListClient;

use crate::host_context::PLATFORM_TIMEOUT_MS;
use crate::host_context::SharedContext;
use crate::host_state::HostState;

const CHECK_INTERVAL_MS: u64 = 200;

/// Reads the host list when the listing known here is too old, for as long as the process runs.
pub(crate) async fn read_host_list(context: SharedContext) {
    let mut client = HostListClient::new(
        context.source(),
        context.settings.host_list,
        PLATFORM_TIMEOUT_MS,
        context.meter.clone(),
    );
    loop {
        if is_due(&context.state.borrow()) {
            let asked_at = ClockTime::now();
            match client.read().await {
                Ok(listing) => {
                    take_listing(&mut context.state.borrow_mut(), listing.hosts, asked_at)
                }
                Err(_) => {
                    context.metrics.host_list_failures.inc();
                }
            }
        }
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

fn is_due(state: &HostState) -> bool {
    let age = state.listed.age(ClockTime::now());
    age.is_none_or(|age| age >= state.roles.list_interval)
}

/// Takes a listing read at `read_at` and updates the instances.
pub(crate) fn take_listing(state: &mut HostState, hosts: Vec<ListedHost>, read_at: ClockTime) {
    if !state.listed.take(hosts, read_at) {
        return;
    }
    let now = ClockTime::now();
    let is_instance = |host: &&ListedHost| host.role != HostListing::ENTRY_ROLE;
    let instances = || state.listed.hosts().iter().filter(is_instance);
    let listed: HashSet<SocketAddr> = instances().map(|host| host.address).collect();
    for host in instances() {
        let leaving = host.state == ListedState::Leaving;
        state
            .pool
            .upsert(&host.role, host.address, &host.data_centre, leaving, now);
    }
    state.pool.end_listing(|address| listed.contains(address));
}
