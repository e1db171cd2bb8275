//! Answers which addresses a caller may use.

use std::net::SocketAddr;

use hyper::Response;
use hyper::header::CONTENT_TYPE;

use crocushoist_coordination::steer;
use crocushoist_protocol::AddressAnswer;
use crocushoist_state::ClockTime;
use crocushoist_state::KeyDigest;
use crocushoist_state::SettingName;
use crocushoist_state::WorkspaceId;
use crocushoist_transport::ResponseBody;

use crate::host_context::HostContext;

const MAX_ADDRESSES: usize = 12;

/// Answer for a caller with `key` in the data centre that `query` names.
pub(crate) fn answer_addresses(
    context: &HostContext,
    key: Option<&str>,
    query: Option<&str>,
) -> Response<ResponseBody> {
    let workspace = key.and_then(|key| {
        let state = context.state.borrow();
        state.fold.config().workspace_of_key(&KeyDigest::of(key))
    });
    let data_centre = query
        .into_iter()
        .flat_map(|query| query.split('&'))
        .find_map(|parameter| parameter.strip_prefix("data_centre="))
        .unwrap_or(&context.settings.data_centre);
    let answer = AddressAnswer {
        addresses: addresses_for(context, workspace, data_centre),
        ttl_ms: context
            .state
            .borrow()
            .fold
            .config()
            .default_value(SettingName::AddressTtlMs),
    };
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    Response::builder()
        .header(CONTENT_TYPE, "application/json")
        .body(ResponseBody::buffered(body))
        .unwrap_or_else(|_| Response::new(ResponseBody::buffered("")))
}

/// Addresses for callers of `workspace`, best first.
pub(crate) fn addresses_for(
    context: &HostContext,
    workspace: Option<WorkspaceId>,
    data_centre: &str,
) -> Vec<SocketAddr> {
    let state = context.state.borrow();
    let plan = workspace.map(|workspace| state.plan_of(workspace));
    let alive = state.alive_hosts(ClockTime::now());
    steer(
        plan.as_ref(),
        state.fold.table(),
        &alive,
        data_centre,
        rand::random(),
        MAX_ADDRESSES,
    )
}

/// Shard holders of other data centres, for callers of a host that hears nobody.
pub(crate) fn holders_elsewhere(context: &HostContext) -> Vec<SocketAddr> {
    let state = context.state.borrow();
    let own = &context.settings.data_centre;
    state
        .fold
        .table()
        .live_holders()
        .into_iter()
        .filter(|holder| holder.address.data_centre != *own)
        .map(|holder| holder.address.callers)
        .take(MAX_ADDRESSES)
        .collect()
}
