//! Relays a request to a host that has a path to instances.
//!
//! The other host sends the request to an instance and answers with the
//! response, or with why there is none. It never relays the request further.

use std::net::SocketAddr;
use std::time::Instant;

use compio::time::timeout_at;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header::HOST;
use slog::info;

use crocushoist_state::ClockTime;
use crocushoist_transport::AttemptFailure;
use crocushoist_transport::ClientAccount;
use crocushoist_transport::HeldBody;
use crocushoist_transport::HeldMemory;
use crocushoist_transport::MemoryUse;
use crocushoist_transport::OWN_BYTES;
use crocushoist_transport::RequestBody;

use crate::buffered_response::BufferedResponse;
use crate::edge_context::EdgeContext;
use crate::edge_refusal::EdgeReason;
use crate::edge_refusal::EdgeRefusal;
use crate::hub_exchange::apply_departures;
use crate::instance_attempt::AttemptResult;
use crate::instance_attempt::CONNECT_TIMEOUT_MS;
use crate::instance_attempt::MAX_RESPONSE_BYTES;
use crate::peer_server::RELAY_PATH;
use crate::relay_message::RelayAnswer;
use crate::relay_message::RelayOutcome;
use crate::relay_message::RelayRequest;
use crate::request_handler::overload_retry_delay_ms;

/// Maximum answer in bytes: a response, its headers and what is known of departures.
const MAX_ANSWER_BYTES: u64 = MAX_RESPONSE_BYTES + 1024 * 1024;

/// Milliseconds for which an idle connection to a host is kept; less than the host keeps it.
const KEEP_CONNECTION_MS: u64 = 10_000;

/// Host that a request is relayed to.
#[derive(Clone, Copy)]
pub(crate) struct RelayPeer<'a> {
    /// Address at which other hosts reach it.
    pub(crate) address: SocketAddr,
    /// Account of the client for which the request is relayed.
    pub(crate) account: &'a ClientAccount,
}

/// Relays `request` to `peer`.
pub(crate) async fn relay(
    context: &EdgeContext,
    peer: RelayPeer<'_>,
    request: RelayRequest,
    deadline: Instant,
) -> AttemptResult {
    match exchange(context, peer, request, deadline).await {
        Ok(message) => read_message(context, peer.address, &message),
        Err(result) => result,
    }
}

/// Sends `request` and reads the message that answers it; fails with the result of an attempt
/// without one.
async fn exchange(
    context: &EdgeContext,
    peer: RelayPeer<'_>,
    request: RelayRequest,
    deadline: Instant,
) -> Result<HeldBody, AttemptResult> {
    let not_run = |reason| AttemptResult::NotRun {
        reason,
        reached_instance: false,
    };
    let failed = |reason| AttemptResult::MayHaveRun { reason };
    let RelayPeer { address, account } = peer;
    // The message holds the body once more.
    let _memory = hold_message(account, request.body.len()).await?;
    let bytes = postcard::to_allocvec(&request).map_err(|_| not_run("relay_not_encoded"))?;
    drop(request);
    let connected = context.relays.get(address, CONNECT_TIMEOUT_MS).await;
    let mut connection = connected.map_err(|_| not_run("relay_unreachable"))?;
    let mut message = Request::new(RequestBody::buffered(bytes));
    *message.method_mut() = Method::POST;
    *message.uri_mut() = Uri::from_static(RELAY_PATH);
    if let Ok(host) = address.to_string().parse() {
        message.headers_mut().insert(HOST, host);
    }
    let answered = async {
        let response = connection
            .send(message)
            .await
            .map_err(|failure| match failure {
                AttemptFailure::NotWritten(_) => not_run("relay_unreachable"),
                AttemptFailure::MaybeWritten(_) => failed("relay_broken_off"),
            })?;
        match response.status() {
            StatusCode::OK => {}
            // The host could not read the request.
            status if status.is_client_error() => return Err(not_run("relay_rejected")),
            _ => return Err(failed("relay_rejected")),
        }
        let read = account.read_answer(response.into_body(), MAX_ANSWER_BYTES);
        read.await.map_err(|_| failed("relay_cut_short"))
    };
    let answered = timeout_at(deadline, answered).await;
    let message = answered.map_err(|_| AttemptResult::OutOfTime)??;
    context
        .relays
        .put_with_lifetime(connection, KEEP_CONNECTION_MS);
    Ok(message)
}

/// Claims the memory for a message with a body of `body_bytes`; fails if there is none.
async fn hold_message(
    account: &ClientAccount,
    body_bytes: usize,
) -> Result<Option<HeldMemory>, AttemptResult> {
    if body_bytes as u64 <= OWN_BYTES {
        return Ok(None);
    }
    let memory = account.claim(MemoryUse::Request, body_bytes as u64).await;
    memory.map(Some).ok_or_else(|| {
        let reason = EdgeReason::NoRoom;
        let refusal = EdgeRefusal::with_retry_after(reason, overload_retry_delay_ms());
        AttemptResult::Refused(refusal)
    })
}

/// Result of an attempt that the host at `peer` answered with `message`.
fn read_message(context: &EdgeContext, peer: SocketAddr, message: &HeldBody) -> AttemptResult {
    match postcard::from_bytes(message.bytes()) {
        Ok(answer) => result_of(context, peer, answer, message),
        Err(_) => AttemptResult::MayHaveRun {
            reason: "relay_unreadable",
        },
    }
}

/// Result of an attempt that the host at `peer` answered, for which `message` was held.
fn result_of(
    context: &EdgeContext,
    peer: SocketAddr,
    answer: RelayAnswer,
    message: &HeldBody,
) -> AttemptResult {
    let now = ClockTime::now();
    {
        let mut table = context.instances.borrow_mut();
        apply_departures(context, &mut table, peer, &answer.departures, now);
    }
    let (wire_reason, retry_after_ms) = match answer.outcome {
        RelayOutcome::Responded(wire) => {
            return match BufferedResponse::try_from(wire) {
                Ok(mut response) => {
                    response.body = message.with_bytes(response.body.bytes().clone());
                    AttemptResult::Responded(response)
                }
                Err(error) => {
                    info!(context.logger, "cannot read a relayed response";
                        "peer" => peer.to_string(), "cause" => %error);
                    AttemptResult::MayHaveRun {
                        reason: "relay_unreadable",
                    }
                }
            };
        }
        RelayOutcome::Refused(wire_reason, retry_after_ms) => (wire_reason, retry_after_ms),
    };
    let reason = EdgeReason::from(wire_reason);
    match reason {
        EdgeReason::TimeAfterSend => AttemptResult::OutOfTime,
        EdgeReason::InstanceFailed => AttemptResult::MayHaveRun {
            reason: "relay_failed",
        },
        EdgeReason::NoPath | EdgeReason::Stopping | EdgeReason::NotSent => AttemptResult::NotRun {
            reason: "relay_refused",
            reached_instance: false,
        },
        _ => AttemptResult::Refused(EdgeRefusal {
            reason,
            retry_after_ms,
        }),
    }
}
