//! Reads the platform's host list.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use compio::time::sleep;

use crocushoist_protocol::HostListing;
use crocushoist_protocol::ListedState;
use crocushoist_transport::HostListClient;

use crate::host_context::HostContext;
use crate::host_context::PLATFORM_TIMEOUT_MS;
use crate::host_context::SharedContext;

const READ_INTERVAL_MS: u64 = 500;

/// Reads the host list for as long as the process runs.
pub(crate) async fn read_host_list(context: SharedContext) {
    let mut client = HostListClient::new(
        context.source(),
        context.settings.host_list,
        PLATFORM_TIMEOUT_MS,
        context.meter.clone(),
    );
    loop {
        match client.read().await {
            Ok(listing) => take_listing(&context, listing),
            Err(_) => {
                context.metrics.host_list_failures.inc();
            }
        }
        sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
    }
}

fn take_listing(context: &HostContext, listing: HostListing) {
    let mut state = context.state.borrow_mut();
    let (entry, instances): (Vec<_>, Vec<_>) = listing
        .hosts
        .into_iter()
        .partition(|host| host.role == HostListing::ENTRY_ROLE);
    let listed: HashSet<SocketAddr> = instances.iter().map(|host| host.address).collect();
    for host in &instances {
        let leaving = host.state == ListedState::Leaving;
        state
            .pool
            .note(&host.role, host.address, &host.data_centre, leaving);
    }
    state.pool.retain_listed(|address| listed.contains(address));
    state.listed = entry;
}
