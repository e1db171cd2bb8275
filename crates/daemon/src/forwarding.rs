//! Sends an admitted request to an instance and relays the answer.
//!
//! Invariants: a request that is not idempotent is written at most once; one
//! that was written and not answered is never refused as "not run"; a
//! connection is kept only after its whole answer was relayed; the caller's
//! key is in no header or query that is written.

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

use crate::header_filter::contains;
use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_metrics::RetryReason;
use crate::instance_slot::InstanceSlot;
use crate::refusal::Refusal;
use crate::request_path::AdmittedRequest;
use crate::request_path::is_idempotent;

const CONNECT_MS: u64 = 250;
const NO_INSTANCE_WAIT_MS: u64 = 200;
const SHED: &str = "shed";
const DRAINING: &str = "draining";

/// One request on its way to an instance.
pub(crate) struct Forwarding<'a> {
    context: &'a SharedContext,
    admitted: AdmittedRequest,
    head: &'a Parts,
    key: Option<String>,
    tried: Vec<InstanceId>,
    unresolved_writes: u32,
    settled: bool,
    admitted_at: ClockTime,
}

/// How one attempt ended without an answer for the caller.
enum AttemptEnd {
    /// Another attempt may be made, with this body.
    Again(RetryReason, RequestBody),
    /// No attempt may be made.
    Final(Refusal),
}

impl<'a> Forwarding<'a> {
    /// Request with the head `head`, admitted as `admitted`; `key` must not be written.
    pub(crate) fn new(
        context: &'a SharedContext,
        admitted: AdmittedRequest,
        head: &'a Parts,
        key: Option<String>,
    ) -> Self {
        Forwarding {
            context,
            admitted,
            head,
            key,
            tried: Vec::new(),
            unresolved_writes: 0,
            settled: false,
            admitted_at: ClockTime::default(),
        }
    }

    /// Makes attempts until one is answered or none may be made.
    pub(crate) async fn run(
        mut self,
        body: RequestBody,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut body = body;
        loop {
            match self.attempt(body).await {
                Ok(response) => return Ok(response),
                Err(AttemptEnd::Final(refusal)) => {
                    self.return_unspent();
                    return Err(self.truthful(refusal));
                }
                Err(AttemptEnd::Again(reason, unsent)) => {
                    if !self.may_try_again(reason) {
                        self.return_unspent();
                        return Err(self.last_refusal(reason));
                    }
                    self.context.metrics.count_retry(reason);
                    body = unsent;
                }
            }
        }
    }

    async fn attempt(&mut self, body: RequestBody) -> Result<Response<ResponseBody>, AttemptEnd> {
        let taken_at = ClockTime::now();
        let (instance, address) = self.choose_instance(taken_at).map_err(AttemptEnd::Final)?;
        let slot = InstanceSlot::new(
            self.context,
            instance,
            taken_at,
            self.admitted.floor_percent,
        );
        let mut connection = match self.context.upstreams.get(address, CONNECT_MS).await {
            Ok(connection) => connection,
            Err(_) => {
                slot.fail();
                return Err(AttemptEnd::Again(RetryReason::ConnectFailed, body));
            }
        };
        self.check_before_write().map_err(AttemptEnd::Final)?;
        let attempt = format!("{:016x}", rand::random::<u64>());
        let replay = replay_of(&body);
        if !self.settled {
            self.admitted_at = ClockTime::now();
        }
        let request = self
            .build(address, &attempt, body)
            .map_err(AttemptEnd::Final)?;
        self.note_write();
        let deadline = self.admitted.deadline;
        let sent = timeout_at(deadline, connection.send(request)).await;
        let response = match sent {
            Err(_) => {
                slot.fail();
                return Err(AttemptEnd::Final(Refusal::new(
                    RefusalReason::DeadlinePassed,
                )));
            }
            Ok(Err(AttemptFailure::NotWritten(request))) => {
                self.unresolved_writes -= 1;
                return Err(AttemptEnd::Again(
                    RetryReason::ConnectionClosed,
                    request.into_body(),
                ));
            }
            Ok(Err(AttemptFailure::MaybeWritten(_))) => {
                slot.fail();
                return Err(self.after_failure(replay));
            }
            Ok(Ok(response)) => response,
        };
        self.take_answer(slot, connection, &attempt, response, replay)
    }

    fn choose_instance(&mut self, now: ClockTime) -> Result<(InstanceId, SocketAddr), Refusal> {
        let mut state = self.context.state.borrow_mut();
        let draws = (rand::random(), rand::random());
        let chosen = state.pool.acquire_slot(
            &self.admitted.service,
            &self.context.settings.data_centre,
            now,
            draws,
            &self.tried,
        );
        let instance =
            chosen.ok_or_else(|| Refusal::after(RefusalReason::NoInstance, NO_INSTANCE_WAIT_MS))?;
        self.tried.push(instance);
        Ok((instance, state.pool.get(instance).address))
    }

    /// Fails unless the request may still be written.
    fn check_before_write(&self) -> Result<(), Refusal> {
        let Some(token) = self.admitted.token else {
            return Ok(());
        };
        let now = ClockTime::now();
        let state = self.context.state.borrow();
        if !state.is_fresh(now) || state.epoch != token.epoch {
            return Err(Refusal::new(RefusalReason::Stale));
        }
        if !self.settled && token.expires <= now {
            return Err(Refusal::new(RefusalReason::TokenExpired));
        }
        let config = state.fold.config();
        let granted = self
            .admitted
            .digest
            .and_then(|digest| config.workspace_of_key(&digest));
        if granted != Some(token.workspace) {
            return Err(Refusal::new(RefusalReason::KeyUnknown));
        }
        Ok(())
    }

    fn build(
        &self,
        address: SocketAddr,
        attempt: &str,
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
        *request.headers_mut() = self.outgoing_headers(address, attempt);
        breach::require(!self.shows_key(&request), BreachKind::KeyLeak);
        Ok(request)
    }

    fn outgoing_headers(&self, address: SocketAddr, attempt: &str) -> HeaderMap {
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
        set(headers::ATTEMPT, attempt.to_owned());
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

    fn shows_key(&self, request: &Request<RequestBody>) -> bool {
        let Some(key) = self.key.as_deref().filter(|key| !key.is_empty()) else {
            return false;
        };
        let in_headers = request
            .headers()
            .values()
            .any(|value| contains(value.as_bytes(), key.as_bytes()));
        in_headers || contains(request.uri().to_string().as_bytes(), key.as_bytes())
    }

    fn note_write(&mut self) {
        let is_first = self.unresolved_writes == 0;
        breach::require(
            is_first || is_idempotent(&self.head.method),
            BreachKind::SecondWrite,
        );
        self.unresolved_writes += 1;
        if let Some(token) = self.admitted.token
            && !self.settled
        {
            self.settled = true;
            token.close(self.context, true);
        }
    }

    fn take_answer(
        &mut self,
        slot: InstanceSlot,
        connection: UpstreamConnection,
        attempt: &str,
        response: Response<Incoming>,
        replay: Option<RequestBody>,
    ) -> Result<Response<ResponseBody>, AttemptEnd> {
        if is_crossed(&response, attempt) {
            self.context.metrics.crossed_answers.inc();
            slot.fail();
            return Err(self.after_failure(replay));
        }
        let state = upstream_state(&response);
        if state == Some(DRAINING) {
            slot.note_leaving();
        }
        let is_shed = response.status() == StatusCode::SERVICE_UNAVAILABLE && state.is_some();
        if is_shed && self.admitted.shed_is_not_run {
            self.unresolved_writes -= 1;
            return Err(match replay {
                Some(body) => AttemptEnd::Again(RetryReason::Shed, body),
                None => AttemptEnd::Final(Refusal::new(RefusalReason::Shed)),
            });
        }
        self.context.metrics.count_answer();
        Ok(relay(self.context, slot, connection, response))
    }

    /// What follows a failure after which the request may have run.
    fn after_failure(&self, replay: Option<RequestBody>) -> AttemptEnd {
        match replay {
            Some(body) if is_idempotent(&self.head.method) => {
                AttemptEnd::Again(RetryReason::UpstreamFailed, body)
            }
            _ => AttemptEnd::Final(Refusal::new(RefusalReason::UpstreamFailed)),
        }
    }

    fn may_try_again(&self, reason: RetryReason) -> bool {
        if reason == RetryReason::ConnectionClosed {
            return true;
        }
        let is_left = (self.tried.len() as u32) < self.admitted.attempts;
        is_left && self.context.retries.borrow_mut().spend()
    }

    fn last_refusal(&self, reason: RetryReason) -> Refusal {
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

    /// The refusal, which never says "not run" of a request that an earlier attempt wrote.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        if self.unresolved_writes == 0 || refusal.reason.may_have_run() {
            return refusal;
        }
        Refusal::after(RefusalReason::UpstreamFailed, refusal.wait_millis)
    }

    fn return_unspent(&self) {
        if !self.settled
            && let Some(token) = self.admitted.token
        {
            token.close(self.context, false);
        }
    }
}

/// Answer that passes on the instance's answer and then gives slot and connection back.
fn relay(
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
            BodyEnd::Complete if is_error => slot.fail(),
            BodyEnd::Complete => slot.succeed(latency),
            BodyEnd::Truncated => return slot.fail(),
            BodyEnd::Abandoned => return,
        }
        upstreams.put(connection);
    };
    Response::from_parts(head, ResponseBody::streamed(body, completion))
}

/// Copy of a body that can be sent again.
fn replay_of(body: &RequestBody) -> Option<RequestBody> {
    match body {
        RequestBody::Buffered(bytes) => Some(RequestBody::Buffered(bytes.clone())),
        RequestBody::Streamed(_) => None,
    }
}

fn is_crossed(response: &Response<Incoming>, attempt: &str) -> bool {
    let echoed = response.headers().get(headers::ATTEMPT);
    echoed.is_some_and(|echoed| echoed.as_bytes() != attempt.as_bytes())
}

fn upstream_state(response: &Response<Incoming>) -> Option<&'static str> {
    let state = response.headers().get(headers::UPSTREAM_STATE)?;
    [SHED, DRAINING]
        .into_iter()
        .find(|known| state.as_bytes() == known.as_bytes())
}
