//! Relays a request to a host that has a path to instances.
//!
//! The other host sends the request to an instance and answers with the
//! response, or with why there is none. It never relays the request further.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use compio::time::timeout_at;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::HOST;
use slog::info;

use crocushoist_state::ClockTime;
use crocushoist_transport::AttemptFailure;
use crocushoist_transport::RequestBody;

use crate::buffered_response::BufferedResponse;
use crate::edge_context::EdgeContext;
use crate::edge_refusal::EdgeReason;
use crate::edge_refusal::EdgeRefusal;
use crate::hub_exchange::apply_departures;
use crate::instance_attempt::AttemptResult;
use crate::instance_attempt::CONNECT_TIMEOUT_MS;
use crate::peer_server::RELAY_PATH;
use crate::relay_message::RelayAnswer;
use crate::relay_message::RelayOutcome;
use crate::relay_message::RelayRequest;

/// Milliseconds for which an idle connection to a host is kept; less than the host keeps it.
const KEEP_CONNECTION_MS: u64 = 10_000;

/// Relays `request` to the host that other hosts reach at `peer`.
pub(crate) async fn relay(
    context: &EdgeContext,
    peer: SocketAddr,
    request: &RelayRequest,
    deadline: Instant,
) -> AttemptResult {
    match exchange(context, peer, request, deadline).await {
        Ok(answer) => result_of(context, peer, answer),
        Err(result) => result,
    }
}

/// Sends `request` and reads the answer; fails with the result of an attempt without one.
async fn exchange(
    context: &EdgeContext,
    peer: SocketAddr,
    request: &RelayRequest,
    deadline: Instant,
) -> Result<RelayAnswer, AttemptResult> {
    let not_run = |reason| AttemptResult::NotRun {
        reason,
        reached_instance: false,
    };
    let failed = |reason| AttemptResult::MayHaveRun { reason };
    let bytes = postcard::to_allocvec(request).map_err(|_| not_run("relay_not_encoded"))?;
    let connected = context.relays.get(peer, CONNECT_TIMEOUT_MS).await;
    let mut connection = connected.map_err(|_| not_run("relay_unreachable"))?;
    let mut message = Request::new(RequestBody::buffered(bytes));
    *message.method_mut() = Method::POST;
    *message.uri_mut() = Uri::from_static(RELAY_PATH);
    if let Ok(host) = peer.to_string().parse() {
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
        read_answer(response.into_body())
            .await
            .ok_or(failed("relay_cut_short"))
    };
    let answered = timeout_at(deadline, answered).await;
    let bytes = answered.map_err(|_| AttemptResult::OutOfTime)??;
    context
        .relays
        .put_with_lifetime(connection, KEEP_CONNECTION_MS);
    postcard::from_bytes(&bytes).map_err(|_| failed("relay_unreadable"))
}

async fn read_answer(body: Incoming) -> Option<Bytes> {
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Result of an attempt that the host at `peer` answered.
fn result_of(context: &EdgeContext, peer: SocketAddr, answer: RelayAnswer) -> AttemptResult {
    let now = ClockTime::now();
    {
        let mut table = context.instances.borrow_mut();
        apply_departures(context, &mut table, peer, &answer.departures, now);
    }
    let (wire_reason, retry_after_ms) = match answer.outcome {
        RelayOutcome::Responded(wire) => {
            return match BufferedResponse::try_from(wire) {
                Ok(response) => AttemptResult::Responded(response),
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
