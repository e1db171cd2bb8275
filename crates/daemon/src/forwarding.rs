//! Sends an admitted request to an instance and streams the response back.
//!
//! Invariants:
//!
//! - A request that is not idempotent is written at most once.
//! - A request that was written and got no response is never refused as "not
//!   run".
//! - A connection is reused only after its complete response was streamed.
//! - The caller's key is in no header or query that is written.

use std::net::SocketAddr;
use std::time::Instant;

use compio::time::timeout_at;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;

use crocushoist_protocol::RefusalReason;
use crocushoist_protocol::headers;
use crocushoist_state::ClockTime;
use crocushoist_state::InstanceId;
use crocushoist_state::breach;
use crocushoist_state::breach::BreachKind;
use crocushoist_transport::AttemptFailure;
use crocushoist_transport::BodyEnd;
use crocushoist_transport::RequestBody;
use crocushoist_transport::ResponseBody;
use crocushoist_transport::UpstreamConnection;
use crocushoist_transport::without_hop_by_hop_headers;

use crate::byte_search::contains;
use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_metrics::RetryReason;
use crate::instance_slot::InstanceSlot;
use crate::refusal::Refusal;
use crate::request_path::AdmittedRequest;
use crate::request_path::is_idempotent;

const CONNECT_TIMEOUT_MS: u64 = 250;
/// Retry delay named to the caller when no instance has a free slot, in milliseconds.
const NO_INSTANCE_RETRY_AFTER_MS: u64 = 200;
const SHED: &str = "shed";
const DRAINING: &str = "draining";

/// Forwards one admitted request, in one or more attempts.
pub(crate) struct RequestForwarder<'a> {
    context: &'a SharedContext,
    admitted: AdmittedRequest,
    head: &'a Parts,
    key: Option<String>,
    tried_instances: Vec<InstanceId>,
    unresolved_writes: u32,
    is_token_closed: bool,
    admitted_at: ClockTime,
}

/// How an attempt ended without a response for the caller.
enum AttemptError {
    /// Another attempt may be made with this body.
    Retry(RetryReason, RequestBody),
    /// No other attempt may be made.
    Final(Refusal),
}

impl<'a> RequestForwarder<'a> {
    /// Forwarder for the request with `head`; `key` is the caller's key, which must not be written.
    pub(crate) fn new(
        context: &'a SharedContext,
        admitted: AdmittedRequest,
        head: &'a Parts,
        key: Option<String>,
    ) -> Self {
        RequestForwarder {
            context,
            admitted,
            head,
            key,
            tried_instances: Vec::new(),
            unresolved_writes: 0,
            is_token_closed: false,
            admitted_at: ClockTime::default(),
        }
    }

    /// Makes attempts until an instance responds or no other attempt is allowed.
    pub(crate) async fn run(
        mut self,
        body: RequestBody,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut body = body;
        loop {
            match self.attempt(body).await {
                Ok(response) => return Ok(response),
                Err(AttemptError::Final(refusal)) => {
                    self.return_unspent_token();
                    return Err(self.account_for_writes(refusal));
                }
                Err(AttemptError::Retry(reason, unsent)) => {
                    if !self.reserve_retry(reason) {
                        self.return_unspent_token();
                        return Err(self.final_refusal(reason));
                    }
                    self.context.metrics.count_retry(reason);
                    body = unsent;
                }
            }
        }
    }

    async fn attempt(&mut self, body: RequestBody) -> Result<Response<ResponseBody>, AttemptError> {
        let acquired_at = ClockTime::now();
        let (instance, address) = self
            .acquire_instance(acquired_at)
            .map_err(AttemptError::Final)?;
        let slot = InstanceSlot::new(
            self.context,
            instance,
            acquired_at,
            self.admitted.floor_percent,
        );
        let mut connection = match self
            .context
            .upstreams
            .get(address, CONNECT_TIMEOUT_MS)
            .await
        {
            Ok(connection) => connection,
            Err(_) => {
                slot.release_failed();
                return Err(AttemptError::Retry(RetryReason::ConnectFailed, body));
            }
        };
        self.check_before_write().map_err(AttemptError::Final)?;
        let attempt_id = format!("{:016x}", rand::random::<u64>());
        let body_copy = copy_for_retry(&body);
        if !self.is_token_closed {
            self.admitted_at = ClockTime::now();
        }
        let request = self
            .build_request(address, &attempt_id, body)
            .map_err(AttemptError::Final)?;
        self.record_write();
        let deadline = self.admitted.deadline;
        let sent = timeout_at(deadline, connection.send(request)).await;
        let response = match sent {
            Err(_) => {
                slot.release_failed();
                return Err(AttemptError::Final(Refusal::new(
                    RefusalReason::DeadlinePassed,
                )));
            }
            Ok(Err(AttemptFailure::NotWritten(request))) => {
                self.unresolved_writes -= 1;
                return Err(AttemptError::Retry(
                    RetryReason::ConnectionClosed,
                    request.into_body(),
                ));
            }
            Ok(Err(AttemptFailure::MaybeWritten(_))) => {
                slot.release_failed();
                return Err(self.error_after_write(body_copy));
            }
            Ok(Ok(response)) => response,
        };
        self.handle_response(slot, connection, &attempt_id, response, body_copy)
    }

    /// Acquires a slot on an instance and records the instance as tried.
    fn acquire_instance(&mut self, now: ClockTime) -> Result<(InstanceId, SocketAddr), Refusal> {
        let mut state = self.context.state.borrow_mut();
        let draws = (rand::random(), rand::random());
        let chosen = state.pool.acquire_slot(
            &self.admitted.service,
            &self.context.settings.data_centre,
            now,
            draws,
            &self.tried_instances,
        );
        let instance = chosen.ok_or_else(|| {
            Refusal::with_retry_after(RefusalReason::NoInstance, NO_INSTANCE_RETRY_AFTER_MS)
        })?;
        self.tried_instances.push(instance);
        Ok((instance, state.pool.get(instance).address))
    }

    /// Checks again, right before the write, that evidence, token and key are still valid.
    fn check_before_write(&self) -> Result<(), Refusal> {
        let Some(token) = self.admitted.token else {
            return Ok(());
        };
        let now = ClockTime::now();
        let state = self.context.state.borrow();
        if !state.is_fresh(now) || state.epoch != token.epoch {
            return Err(Refusal::new(RefusalReason::Stale));
        }
        if !self.is_token_closed && token.expires_at <= now {
            return Err(Refusal::new(RefusalReason::TokenExpired));
        }
        let config = state.replayed.config();
        let granted = self
            .admitted
            .key_digest
            .and_then(|digest| config.workspace_of_key(&digest));
        if granted != Some(token.workspace) {
            return Err(Refusal::new(RefusalReason::KeyUnknown));
        }
        Ok(())
    }

    fn build_request(
        &self,
        address: SocketAddr,
        attempt_id: &str,
        body: RequestBody,
    ) -> Result<Request<RequestBody>, Refusal> {
        let malformed = || Refusal::new(RefusalReason::Malformed);
        let path = self.head.uri.path_and_query().ok_or_else(malformed)?;
        let uri = Uri::builder()
            .path_and_query(path.clone())
            .build()
            .map_err(|_| malformed())?;
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.outgoing_headers(address, attempt_id);
        breach::require(!self.carries_key(&request), BreachKind::KeyLeak);
        Ok(request)
    }

    fn outgoing_headers(&self, address: SocketAddr, attempt_id: &str) -> HeaderMap {
        let mut outgoing = without_hop_by_hop_headers(&self.head.headers);
        outgoing.remove(CONTENT_LENGTH);
        let left = self
            .admitted
            .deadline
            .saturating_duration_since(Instant::now());
        let mut set = |name: &'static str, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                outgoing.insert(HeaderName::from_static(name), value);
            }
        };
        set(headers::ATTEMPT, attempt_id.to_owned());
        set(headers::DEADLINE_MS, left.as_millis().to_string());
        if self.admitted.token.is_some() {
            set(headers::WORKSPACE, self.admitted.workspace.to_string());
            set(
                headers::ADMITTED_AT,
                self.admitted_at.as_millis().to_string(),
            );
        }
        if !outgoing.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&address.to_string())
        {
            outgoing.insert(HOST, host);
        }
        outgoing
    }

    /// Whether `request` contains the caller's key in a header or in its URI.
    fn carries_key(&self, request: &Request<RequestBody>) -> bool {
        let Some(key) = self.key.as_deref().filter(|key| !key.is_empty()) else {
            return false;
        };
        let in_headers = request
            .headers()
            .values()
            .any(|value| contains(value.as_bytes(), key.as_bytes()));
        in_headers || contains(request.uri().to_string().as_bytes(), key.as_bytes())
    }

    /// Counts a write as unresolved and reports the token as spent on the first one.
    fn record_write(&mut self) {
        let is_first = self.unresolved_writes == 0;
        breach::require(
            is_first || is_idempotent(&self.head.method),
            BreachKind::SecondWrite,
        );
        self.unresolved_writes += 1;
        if let Some(token) = self.admitted.token
            && !self.is_token_closed
        {
            self.is_token_closed = true;
            token.close(self.context, true);
        }
    }

    /// Streams the response to the caller, or decides how to go on without it.
    fn handle_response(
        &mut self,
        slot: InstanceSlot,
        connection: UpstreamConnection,
        attempt_id: &str,
        response: Response<Incoming>,
        body_copy: Option<RequestBody>,
    ) -> Result<Response<ResponseBody>, AttemptError> {
        if is_for_other_attempt(&response, attempt_id) {
            self.context.metrics.mismatched_responses.inc();
            slot.release_failed();
            return Err(self.error_after_write(body_copy));
        }
        let state = upstream_state(&response);
        if state == Some(DRAINING) {
            slot.record_draining();
        }
        let is_shed = response.status() == StatusCode::SERVICE_UNAVAILABLE && state.is_some();
        if is_shed && self.admitted.shed_is_not_run {
            self.unresolved_writes -= 1;
            return Err(match body_copy {
                Some(body) => AttemptError::Retry(RetryReason::Shed, body),
                None => AttemptError::Final(Refusal::new(RefusalReason::Shed)),
            });
        }
        self.context.metrics.count_response();
        Ok(stream_response(self.context, slot, connection, response))
    }

    /// Error of an attempt after which the request may have run; only an idempotent one is retried.
    fn error_after_write(&self, body_copy: Option<RequestBody>) -> AttemptError {
        match body_copy {
            Some(body) if is_idempotent(&self.head.method) => {
                AttemptError::Retry(RetryReason::UpstreamFailed, body)
            }
            _ => AttemptError::Final(Refusal::new(RefusalReason::UpstreamFailed)),
        }
    }

    /// Returns whether another attempt is allowed, and withdraws it from the retry budget.
    ///
    /// A request that was not written because an idle connection had closed is sent again
    /// without a check of the attempts or the budget.
    fn reserve_retry(&self, reason: RetryReason) -> bool {
        if reason == RetryReason::ConnectionClosed {
            return true;
        }
        let is_left = (self.tried_instances.len() as u32) < self.admitted.max_attempts;
        is_left && self.context.retry_budget.borrow_mut().try_withdraw()
    }

    /// Refusal after the last attempt, which ended with `reason`.
    fn final_refusal(&self, reason: RetryReason) -> Refusal {
        let reason = match reason {
            _ if self.unresolved_writes > 0 => RefusalReason::UpstreamFailed,
            RetryReason::Shed => RefusalReason::Shed,
            RetryReason::ConnectFailed | RetryReason::ConnectionClosed => {
                RefusalReason::ConnectFailed
            }
            RetryReason::UpstreamFailed => RefusalReason::UpstreamFailed,
        };
        Refusal::new(reason)
    }

    /// Replaces a refusal that says "not run" if an earlier attempt may have run the request.
    fn account_for_writes(&self, refusal: Refusal) -> Refusal {
        if self.unresolved_writes == 0 || refusal.reason.may_have_executed() {
            return refusal;
        }
        Refusal::with_retry_after(RefusalReason::UpstreamFailed, refusal.retry_after_ms)
    }

    /// Reports the token as unspent, unless a write has spent it.
    fn return_unspent_token(&self) {
        if !self.is_token_closed
            && let Some(token) = self.admitted.token
        {
            token.close(self.context, false);
        }
    }
}

/// Response that streams the instance's response, then releases the slot and the connection.
fn stream_response(
    context: &HostContext,
    slot: InstanceSlot,
    connection: UpstreamConnection,
    response: Response<Incoming>,
) -> Response<ResponseBody> {
    let latency = slot.elapsed();
    let is_error = response.status().is_server_error();
    let upstreams = context.upstreams.clone();
    let (mut head, body) = response.into_parts();
    head.headers = without_hop_by_hop_headers(&head.headers);
    head.headers.remove(headers::UPSTREAM_STATE);
    head.headers.remove(headers::ATTEMPT);
    let completion = move |end: BodyEnd| {
        match end {
            BodyEnd::Complete if is_error => slot.release_failed(),
            BodyEnd::Complete => slot.release_succeeded(latency),
            BodyEnd::Truncated => return slot.release_failed(),
            BodyEnd::Abandoned => return,
        }
        upstreams.put(connection);
    };
    Response::from_parts(head, ResponseBody::streamed(body, completion))
}

/// Copy of a buffered body for another attempt; a streamed body has none.
fn copy_for_retry(body: &RequestBody) -> Option<RequestBody> {
    match body {
        RequestBody::Buffered(bytes) => Some(RequestBody::Buffered(bytes.clone())),
        RequestBody::Streamed(_) => None,
    }
}

/// Whether the response names an attempt id other than `attempt_id`.
fn is_for_other_attempt(response: &Response<Incoming>, attempt_id: &str) -> bool {
    let echoed = response.headers().get(headers::ATTEMPT);
    echoed.is_some_and(|echoed| echoed.as_bytes() != attempt_id.as_bytes())
}

/// State that the instance reported with its response, if it is a known one.
fn upstream_state(response: &Response<Incoming>) -> Option<&'static str> {
    let state = response.headers().get(headers::UPSTREAM_STATE)?;
    [SHED, DRAINING]
        .into_iter()
        .find(|known| state.as_bytes() == known.as_bytes())
}
