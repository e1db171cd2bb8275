//! Sends requests to instances for hosts that have no path to them.
//!
//! The other host has checked the request's key, limit and deadline. This one
//! neither counts it for a workspace nor relays it further.

use std::cell::OnceCell;
use std::time::Duration;
use std::time::Instant;

use compio::time::timeout;
use displaydoc::Display;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use slog::warn;

use crocushoist_policy::RetrySafety;
use crocushoist_state::ClockTime;
use crocushoist_transport::BodyError;
use crocushoist_transport::ClientAccount;
use crocushoist_transport::HeldBody;
use crocushoist_transport::ResponseBody;

use crate::address_handler::empty_response;
use crate::buffered_response::BufferedResponse;
use crate::edge_context::EdgeContext;
use crate::edge_context::SharedContext;
use crate::edge_refusal::EdgeReason;
use crate::edge_refusal::EdgeRefusal;
use crate::forward_head::ForwardHead;
use crate::hub_exchange::wire_departures;
use crate::peer_server::encode_held_answer;
use crate::relay_message::RelayAnswer;
use crate::relay_message::RelayRequest;
use crate::request_forwarder::RequestForwarder;
use crate::request_handler::MAX_BUFFERED_BODY_BYTES;
use crate::request_handler::check_stop;
use crate::request_record::RequestRecord;

/// Maximum bytes of a message beside the body of its request.
const MAX_HEAD_BYTES: u64 = 256 * 1024;

/// Milliseconds in which a message must arrive.
const READ_TIMEOUT_MS: u64 = 1_000;

/// Why a message cannot be handled.
#[derive(Debug, Display)]
enum RelayError {
    /// it did not arrive in time
    Late,
    /// {0}
    Unread(BodyError),
    /// cannot decode it: {0}
    Undecodable(postcard::Error),
    /// its request has an invalid head: {0}
    InvalidHead(hyper::http::Error),
}

/// Answers a relayed request.
pub(crate) async fn handle_relay(
    context: &SharedContext,
    account: &ClientAccount,
    body: Incoming,
) -> Response<ResponseBody> {
    match read_request(account, body).await {
        Ok((relayed, body, head)) => {
            let relayed = RelayedRequest {
                relayed,
                body,
                head,
            };
            let result = serve_relayed(context, account, relayed).await;
            // The answer is held in place of the response.
            let held = match &result {
                Ok(response) => response.body.clone(),
                Err(_) => HeldBody::default(),
            };
            let departures = {
                let table = context.instances.borrow();
                wire_departures(&table, ClockTime::now())
            };
            let outcome = result.into();
            let answer = RelayAnswer {
                outcome,
                departures,
            };
            encode_held_answer(context, &answer, &held)
        }
        Err(error) => {
            if let Some(count) = context.unread_relays.count(ClockTime::now()) {
                warn!(context.logger, "cannot handle a relayed request"; "cause" => %error,
                    "requests" => count);
            }
            empty_response(StatusCode::BAD_REQUEST)
        }
    }
}

/// Relayed request with its body and head.
struct RelayedRequest {
    relayed: RelayRequest,
    body: HeldBody,
    head: ForwardHead,
}

async fn read_request(
    account: &ClientAccount,
    mut body: Incoming,
) -> Result<(RelayRequest, HeldBody, ForwardHead), RelayError> {
    let read = account.read_upload(&mut body, MAX_BUFFERED_BODY_BYTES + MAX_HEAD_BYTES);
    let read = timeout(Duration::from_millis(READ_TIMEOUT_MS), read).await;
    let message = read
        .map_err(|_| RelayError::Late)?
        .map_err(RelayError::Unread)?;
    let mut relayed: RelayRequest =
        postcard::from_bytes(message.bytes()).map_err(RelayError::Undecodable)?;
    let headers = std::mem::take(&mut relayed.headers);
    let headers = HeaderMap::try_from(headers).map_err(RelayError::InvalidHead)?;
    let body = message.with_bytes(std::mem::take(&mut relayed.body).into());
    let head = ForwardHead::relayed(&relayed.method, &relayed.path, headers);
    Ok((relayed, body, head.map_err(RelayError::InvalidHead)?))
}

/// Sends the request to instances.
async fn serve_relayed(
    context: &SharedContext,
    account: &ClientAccount,
    request: RelayedRequest,
) -> Result<BufferedResponse, EdgeRefusal> {
    let arrived_at = Instant::now();
    let relayed = &request.relayed;
    let mut record = RequestRecord::default();
    record.id = relayed.id.clone();
    record.service = relayed.service.clone();
    record.budget_ms = relayed.remaining_ms;
    record.config_version = context.config_version();
    let result = forward_relayed(context, account, request, arrived_at, &mut record).await;
    let (outcome, status) = match &result {
        Ok(response) => ("relayed", response.status),
        Err(refusal) => (refusal.reason.name(), refusal.status()),
    };
    context.metrics.count_relay(outcome);
    let millis = arrived_at.elapsed().as_millis() as u64;
    let draw = rand::random();
    record.log_end(&context.logger, outcome, status.as_u16(), millis, draw);
    result
}

async fn forward_relayed(
    context: &SharedContext,
    account: &ClientAccount,
    request: RelayedRequest,
    arrived_at: Instant,
    record: &mut RequestRecord,
) -> Result<BufferedResponse, EdgeRefusal> {
    let RelayedRequest {
        relayed,
        body,
        head,
    } = request;
    check_stop(context, relayed.remaining_ms)?;
    check_path(context, &relayed.service)?;
    let progress = context.in_progress.add(relayed.id, ClockTime::now());
    let forwarder = RequestForwarder {
        context,
        request: &progress,
        service: relayed.service,
        retry_safety: if relayed.is_idempotent {
            RetrySafety::Idempotent
        } else {
            RetrySafety::AtMostOnce
        },
        max_attempts: relayed.max_attempts,
        objective_ms: relayed.objective_ms,
        deadline: arrived_at + Duration::from_millis(relayed.remaining_ms),
        head,
        body,
        account,
        may_relay: false,
        content_hash: OnceCell::new(),
    };
    forwarder.forward(record).await
}

/// Refuses a request that this host cannot send either.
fn check_path(context: &EdgeContext, service: &str) -> Result<(), EdgeRefusal> {
    if context.paths.borrow().is_lost(service) {
        return Err(EdgeRefusal::new(EdgeReason::NoPath));
    }
    Ok(())
}
