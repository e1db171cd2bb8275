//! One attempt of a request at one instance.
//!
//! Only the instance's own word, or the certainty that no byte was written,
//! means that the request was not run. An answer counts only if it names this
//! attempt, is whole and, if it is a success, is signed.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::time::timeout;
use compio::time::timeout_at;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_ENCODING;

use crocushoist_platform::names;
use crocushoist_transport::AttemptFailure;
use crocushoist_transport::ForwardBody;
use crocushoist_transport::UpstreamConnection;

use crate::buffered_response::BufferedResponse;
use crate::edge_context::SharedContext;
use crate::forward_head::ForwardHead;
use crate::in_flight_guard::InFlightGuard;

/// Milliseconds for a connection to an instance; a lost first packet is not waited for.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Bytes of the largest answer that is taken; the sites' largest are 9 KB.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of the largest request body after which a connection is kept.
///
/// An instance may answer before it has read a longer one.
const MAX_REUSE_BODY_BYTES: usize = 16 * 1024;

/// Milliseconds that a connection is kept if the instance names no time.
const DEFAULT_IDLE_MS: u64 = 8_000;

/// Milliseconds before the instance's idle time-out at which a connection is given up.
const IDLE_MARGIN_MS: u64 = 1_500;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The instance answered.
    Answered(BufferedResponse),
    /// It surely did not run the request; `reached_instance` tells whether the request reached it.
    NotRun {
        /// Why, for logs and metrics.
        reason: &'static str,
        /// Whether the request reached the instance.
        reached_instance: bool,
    },
    /// It may have run the request, and there is no answer.
    MayHaveRun {
        /// Why, for logs and metrics.
        reason: &'static str,
    },
    /// Time ran out after the request was sent.
    OutOfTime,
}

impl AttemptResult {
    /// Name in logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            AttemptResult::Answered(answer) if answer.is_failure() => "answered_failure",
            AttemptResult::Answered(_) => "answered",
            AttemptResult::NotRun { reason, .. } | AttemptResult::MayHaveRun { reason } => reason,
            AttemptResult::OutOfTime => "out_of_time",
        }
    }
}

/// What an attempt sends.
#[derive(Clone, Copy)]
pub(crate) struct AttemptInput<'a> {
    /// Head of the request.
    pub(crate) head: &'a ForwardHead,
    /// Body of the request.
    pub(crate) body: &'a Bytes,
    /// When the caller gets its final answer.
    pub(crate) deadline: Instant,
    /// Milliseconds after which the answer speaks against the instance.
    pub(crate) slow_ms: u64,
}

/// Sends the request to the held instance and reads its answer.
pub(crate) async fn run_attempt(
    context: &SharedContext,
    guard: &mut InFlightGuard,
    input: AttemptInput<'_>,
) -> AttemptResult {
    let (id, address) = {
        let table = context.table.borrow();
        let listing = &table.get(guard.key()).listing;
        (listing.id.clone(), listing.address)
    };
    let remaining = input.deadline.saturating_duration_since(Instant::now());
    let connect_ms = CONNECT_TIMEOUT_MS.min(remaining.as_millis() as u64).max(1);
    let Ok(mut connection) = context.upstreams.get(address, connect_ms).await else {
        guard.record_unreachable();
        context.upstreams.forget(address);
        return AttemptResult::NotRun {
            reason: "connect_failed",
            reached_instance: false,
        };
    };
    let remaining = input.deadline.saturating_duration_since(Instant::now());
    let body = ForwardBody::whole(input.body.clone());
    let request = input.head.request(&id, remaining.as_millis() as u64, body);
    let Some(request) = request.filter(|_| !remaining.is_zero()) else {
        return AttemptResult::NotRun {
            reason: "not_sent",
            reached_instance: false,
        };
    };
    let sent = {
        let mut exchange = std::pin::pin!(connection.send(request));
        let slow = Duration::from_millis(input.slow_ms);
        match timeout(slow.min(remaining), exchange.as_mut()).await {
            Ok(sent) => Ok(sent),
            Err(_) => {
                guard.record_late();
                timeout_at(input.deadline, exchange).await
            }
        }
    };
    match sent {
        Err(_) => {
            // The connection is dropped, by which the instance stops the work.
            AttemptResult::OutOfTime
        }
        Ok(Err(AttemptFailure::NotWritten(_))) => AttemptResult::NotRun {
            reason: "connection_closed",
            reached_instance: false,
        },
        Ok(Err(AttemptFailure::MaybeWritten(_))) => {
            guard.record_failed();
            context.upstreams.forget(address);
            AttemptResult::MayHaveRun {
                reason: "broken_off",
            }
        }
        Ok(Ok(response)) => handle_response(context, guard, connection, response, input).await,
    }
}

async fn handle_response(
    context: &SharedContext,
    guard: &mut InFlightGuard,
    connection: UpstreamConnection,
    response: Response<Incoming>,
    input: AttemptInput<'_>,
) -> AttemptResult {
    let (head, body) = response.into_parts();
    if head.status.as_u16() == names::MISDIRECTED_STATUS {
        guard.record_misdirected();
        return AttemptResult::NotRun {
            reason: "misdirected",
            reached_instance: false,
        };
    }
    // An answer that names another attempt says nothing of this one.
    let answers_this_attempt = input.head.attempt_id() == head.headers.get(names::ATTEMPT_ID);
    if answers_this_attempt && head.headers.contains_key(names::NOT_RUN) {
        guard.record_shed();
        pool_after_body(context, connection, &head.headers, body, input).await;
        return AttemptResult::NotRun {
            reason: "shed",
            reached_instance: true,
        };
    }
    if !answers_this_attempt {
        guard.record_failed();
        return AttemptResult::MayHaveRun { reason: "crossed" };
    }
    let limited = Limited::new(body, MAX_ANSWER_BYTES);
    let body = match timeout_at(input.deadline, limited.collect()).await {
        Err(_) => return AttemptResult::OutOfTime,
        Ok(Err(_)) => {
            guard.record_failed();
            return AttemptResult::MayHaveRun {
                reason: "cut_short",
            };
        }
        Ok(Ok(body)) => body.to_bytes(),
    };
    let answer = BufferedResponse {
        status: head.status,
        headers: head.headers,
        body,
    };
    if !is_valid(&answer) {
        guard.record_failed();
        return AttemptResult::MayHaveRun { reason: "spoiled" };
    }
    if answer.is_failure() {
        guard.record_failed();
    } else {
        guard.record_answered();
    }
    return_to_pool(context, connection, &answer.headers, input);
    AttemptResult::Answered(answer)
}

/// Whether the answer is the instance's own, unchanged.
fn is_valid(answer: &BufferedResponse) -> bool {
    let is_signed = answer.headers.contains_key(names::SIGNATURE);
    !answer.headers.contains_key(CONTENT_ENCODING) && (is_signed || !answer.status.is_success())
}

/// Keeps the connection once the rest of a short answer is read.
async fn pool_after_body(
    context: &SharedContext,
    connection: UpstreamConnection,
    headers: &HeaderMap,
    body: Incoming,
    input: AttemptInput<'_>,
) {
    const SHORT_ANSWER_BYTES: usize = 1_024;
    const SHORT_ANSWER_MS: u64 = 20;
    let rest = Limited::new(body, SHORT_ANSWER_BYTES).collect();
    let read = timeout(Duration::from_millis(SHORT_ANSWER_MS), rest).await;
    if matches!(read, Ok(Ok(_))) {
        return_to_pool(context, connection, headers, input);
    }
}

fn return_to_pool(
    context: &SharedContext,
    connection: UpstreamConnection,
    headers: &HeaderMap,
    input: AttemptInput<'_>,
) {
    let closes = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes || input.body.len() > MAX_REUSE_BODY_BYTES {
        return;
    }
    let idle_ms = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse::<u64>().ok())
        .map_or(DEFAULT_IDLE_MS, |seconds| {
            (seconds * 1_000).saturating_sub(IDLE_MARGIN_MS)
        });
    if idle_ms > 0 {
        context.upstreams.put_for(connection, idle_ms);
    }
}
