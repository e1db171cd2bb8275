//! Serves this host's configuration and instance list to other hosts, and takes
//! the requests that they relay.
//!
//! The answers are too long for datagrams. They say what this host knows and
//! how old that knowledge is; the asking host decides what follows from it.

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use slog::error;

use crocushoist_state::ClockTime;
use crocushoist_transport::ClientAccount;
use crocushoist_transport::HeldBody;
use crocushoist_transport::ResponseBody;

use crate::address_handler::empty_response;
use crate::config_snapshot::ConfigSnapshot;
use crate::edge_context::EdgeContext;
use crate::edge_context::SharedContext;
use crate::listing_snapshot::ListingSnapshot;
use crate::relay_handler::handle_relay;

/// Path of the instance list.
pub(crate) const INSTANCES_PATH: &str = "/instances";

/// Path of the configuration; the query is the version that the asking host has.
pub(crate) const CONFIG_PATH: &str = "/config";

/// Path to which requests are relayed.
pub(crate) const RELAY_PATH: &str = "/relay";

/// Answers another host.
pub(crate) async fn handle_peer_request(
    context: SharedContext,
    account: ClientAccount,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let now = ClockTime::now();
    match request.uri().path() {
        INSTANCES_PATH => encode_answer(&context, &account, ListingSnapshot::of(&context, now)),
        RELAY_PATH => handle_relay(&context, &account, request.into_body()).await,
        CONFIG_PATH => {
            let known_version = request.uri().query().and_then(|query| query.parse().ok());
            let snapshot = new_config_snapshot(&context, known_version.unwrap_or(0), now);
            encode_answer(&context, &account, snapshot)
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Configuration in force, without its content if it has `known_version`; `None` before the first
/// one.
fn new_config_snapshot(
    context: &EdgeContext,
    known_version: u64,
    now: ClockTime,
) -> Option<ConfigSnapshot> {
    let config = context.config()?;
    Some(ConfigSnapshot {
        version: config.version,
        evidence_age: context.evidence.borrow().age(now),
        config: (config.version > known_version).then(|| config.as_ref().into()),
    })
}

/// Encodes `answer`; without one, this host knows too little to answer.
fn encode_answer<T: Serialize>(
    context: &EdgeContext,
    account: &ClientAccount,
    answer: Option<T>,
) -> Response<ResponseBody> {
    let Some(answer) = answer else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    match postcard::to_allocvec(&answer) {
        Ok(bytes) => held_response(account, bytes.into()),
        Err(cause) => {
            error!(context.logger, "cannot encode an answer to a host"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Encodes an answer that is held in place of `held`.
pub(crate) fn encode_held_answer<T: Serialize>(
    context: &EdgeContext,
    answer: &T,
    held: &HeldBody,
) -> Response<ResponseBody> {
    match postcard::to_allocvec(answer) {
        Ok(bytes) => Response::new(ResponseBody::held(held.with_bytes(bytes.into()))),
        Err(cause) => {
            error!(context.logger, "cannot encode an answer to a host"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Response with `bytes`, for which the client is charged; without memory it has to ask again.
pub(crate) fn held_response(account: &ClientAccount, bytes: Bytes) -> Response<ResponseBody> {
    match account.hold(bytes) {
        Some(body) => Response::new(ResponseBody::held(body)),
        None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}
