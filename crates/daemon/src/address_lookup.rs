//! Responds to address lookups: which hosts a caller may connect to.

use std::net::SocketAddr;

use hyper::Response;
use hyper::header::CONTENT_TYPE;

use crocushoist_coordination::rank_addresses;
use crocushoist_protocol::AddressResponse;
use crocushoist_state::ClockTime;
use crocushoist_state::KeyDigest;
use crocushoist_state::SettingName;
use crocushoist_state::WorkspaceId;
use crocushoist_transport::ResponseBody;

use crate::host_context::HostContext;

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 12;

/// Response to a lookup with `key`, for the data centre that `query` names.
///
/// Without a name in the query, the data centre of this host is used.
pub(crate) fn address_response(
    context: &HostContext,
    key: Option<&str>,
    query: Option<&str>,
) -> Response<ResponseBody> {
    let workspace = key.and_then(|key| {
        let state = context.state.borrow();
        state
            .replayed
            .config()
            .workspace_of_key(&KeyDigest::of(key))
    });
    let data_centre = query
        .into_iter()
        .flat_map(|query| query.split('&'))
        .find_map(|parameter| parameter.strip_prefix("data_centre="))
        .unwrap_or(&context.settings.data_centre);
    let response = AddressResponse {
        addresses: addresses_for(context, workspace, data_centre),
        ttl_ms: context
            .state
            .borrow()
            .replayed
            .config()
            .default_value(SettingName::AddressTtlMs),
    };
    let body = serde_json::to_vec(&response).unwrap_or_default();
    Response::builder()
        .header(CONTENT_TYPE, "application/json")
        .body(ResponseBody::buffered(body))
        .unwrap_or_else(|_| Response::new(ResponseBody::buffered("")))
}

/// Addresses of live hosts for callers of `workspace`, best first.
pub(crate) fn addresses_for(
    context: &HostContext,
    workspace: Option<WorkspaceId>,
    data_centre: &str,
) -> Vec<SocketAddr> {
    let state = context.state.borrow();
    let plan = workspace.map(|workspace| state.share_plan(workspace));
    let live = state.advertised_hosts(ClockTime::now());
    rank_addresses(
        plan.as_ref(),
        state.replayed.table(),
        &live,
        data_centre,
        rand::random(),
        MAX_ADDRESSES,
    )
}

/// Shard holders of other data centres, for callers when no live peer is known.
pub(crate) fn holders_elsewhere(context: &HostContext) -> Vec<SocketAddr> {
    let state = context.state.borrow();
    let own = &context.settings.data_centre;
    state
        .replayed
        .table()
        .live_holders()
        .into_iter()
        .filter(|holder| holder.address.data_centre != *own)
        .map(|holder| holder.address.callers)
        .take(MAX_ADDRESSES)
        .collect()
}
