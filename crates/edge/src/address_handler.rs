//! Handles address lookups by callers and the platform's readiness check.

use std::net::SocketAddr;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use rand::seq::SliceRandom;
use slog::error;

use crocushoist_platform::ResolveQuery;
use crocushoist_platform::ResolveResponse;
use crocushoist_state::ClockTime;
use crocushoist_transport::ResponseBody;

use crate::edge_context::EdgeContext;

/// Maximum number of addresses in one response; callers accept no more.
const MAX_ADDRESSES: usize = 64;

/// If the caller's data centre has fewer hosts than this, hosts of other data centres are returned
/// too.
const MIN_LOCAL_HOSTS: usize = 2;

/// Milliseconds that callers may cache the addresses. Some callers cache them three times as
/// long, so this leaves time for a stopping host to drop out of every cache before its grace
/// period ends.
const ADDRESS_TTL_MS: u64 = 1_000;

/// Responds to a caller's address lookup; the query names the caller's data centre.
pub(crate) fn answer_addresses(
    context: &EdgeContext,
    query: Option<&str>,
) -> Response<ResponseBody> {
    let query = ResolveQuery::decode(query);
    let resolve_response = ResolveResponse {
        addresses: addresses_for(context, &query.data_centre),
        ttl_ms: ADDRESS_TTL_MS.min(context.settings.address_ttl_ms),
    };
    if resolve_response.addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match resolve_response.encode() {
        Ok(body) => {
            let mut response = Response::new(ResponseBody::buffered(body));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Err(error) => {
            error!(context.logger, "cannot encode the list of addresses"; "cause" => %error);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Responds to the platform's readiness check.
pub(crate) fn answer_readiness(context: &EdgeContext) -> Response<ResponseBody> {
    if context.accepts_callers(ClockTime::now()) {
        empty_response(StatusCode::OK)
    } else {
        empty_response(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(""));
    *response.status_mut() = status;
    response
}

/// Addresses of hosts that accept callers, in random order, local hosts only if there are enough.
fn addresses_for(context: &EdgeContext, data_centre: &str) -> Vec<SocketAddr> {
    let own_address = context.own_host.caller_address;
    let now = ClockTime::now();
    let advertised_hosts = context.advertised_hosts.borrow();
    let mut hosts: Vec<(bool, SocketAddr)> = advertised_hosts
        .hosts
        .iter()
        .filter(|(_, host)| *host != own_address)
        .map(|(host_centre, host)| (host_centre == data_centre, *host))
        .collect();
    // Without any other host this one still answers its callers, if only that it cannot serve.
    if context.is_advertised(now) || (hosts.is_empty() && context.accepts_callers(now)) {
        hosts.push((context.own_host.data_centre == data_centre, own_address));
    }
    let local_count = hosts.iter().filter(|(is_local, _)| *is_local).count();
    let mut short_centres = advertised_hosts.short_centres.iter();
    let is_short = short_centres.any(|short_centre| short_centre == data_centre);
    if local_count >= MIN_LOCAL_HOSTS && !is_short {
        hosts.retain(|(is_local, _)| *is_local);
    }
    let mut addresses: Vec<SocketAddr> = hosts.into_iter().map(|(_, host)| host).collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_ADDRESSES);
    addresses
}
