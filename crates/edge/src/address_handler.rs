//! Answers which addresses a caller may use, and whether this host is ready.

use std::net::SocketAddr;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use rand::seq::SliceRandom;
use slog::error;

use crocushoist_platform::ResolveAnswer;
use crocushoist_platform::ResolveQuery;
use crocushoist_state::ClockTime;
use crocushoist_transport::AnswerBody;

use crate::edge_context::EdgeContext;

/// Addresses of one answer, the most that callers take.
const MAX_ADDRESSES_PER_ANSWER: usize = 64;

/// Hosts of a data host_centre below which hosts of the others are named too.
const MIN_LOCAL_HOSTS: usize = 2;

/// Milliseconds that callers keep an answer; some keep it three times as long,
/// so a host that stops is out of every answer before its grace ends.
const ANSWER_TTL_MS: u64 = 1_000;

/// Answers a caller that asks for addresses.
pub(crate) fn answer_addresses(context: &EdgeContext, query: Option<&str>) -> Response<AnswerBody> {
    let query = ResolveQuery::decode(query);
    let answer = ResolveAnswer {
        addresses: addresses_for(context, &query.data_centre),
        ttl_ms: ANSWER_TTL_MS.min(context.settings.address_ttl_ms),
    };
    if answer.addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match answer.encode() {
        Ok(body) => {
            let mut response = Response::new(AnswerBody::whole(body));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Err(error) => {
            error!(context.logger, "addresses not encoded"; "cause" => %error);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Answers the platform's check of readiness.
pub(crate) fn answer_readiness(context: &EdgeContext) -> Response<AnswerBody> {
    if context.accepts_callers(ClockTime::now()) {
        empty_response(StatusCode::OK)
    } else {
        empty_response(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Answer without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(""));
    *response.status_mut() = status;
    response
}

fn addresses_for(context: &EdgeContext, data_centre: &str) -> Vec<SocketAddr> {
    let own = context.own_host.callers;
    let accepts_callers = context.accepts_callers(ClockTime::now());
    let fleet = context.advertised_hosts.borrow();
    let mut hosts: Vec<(bool, SocketAddr)> = fleet
        .hosts
        .iter()
        .filter(|(_, host)| *host != own)
        .map(|(host_centre, host)| (host_centre == data_centre, *host))
        .collect();
    if accepts_callers {
        hosts.push((context.own_host.data_centre == data_centre, own));
    }
    let local_count = hosts.iter().filter(|(is_local, _)| *is_local).count();
    if local_count >= MIN_LOCAL_HOSTS {
        hosts.retain(|(is_local, _)| *is_local);
    }
    let mut addresses: Vec<SocketAddr> = hosts.into_iter().map(|(_, host)| host).collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_ADDRESSES_PER_ANSWER);
    addresses
}
