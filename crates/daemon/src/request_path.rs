//! Handles a caller's request from its arrival to the response.
//!
//! Route, key, workspace and token are determined in this order, and an
//! instance slot is acquired, before a byte is written to an instance. Right
//! before the write, the key, the age of the evidence and the expiry of the
//! token are checked again. A refusal says "not run" only if no byte was
//! written or if the instance itself reported that it did not run the request.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use compio::time::timeout;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;

use crocushoist_protocol::RefusalReason;
use crocushoist_protocol::headers;
use crocushoist_state::ClockTime;
use crocushoist_state::ExceptionScope;
use crocushoist_state::KeyDigest;
use crocushoist_state::RouteAccess;
use crocushoist_state::SettingName;
use crocushoist_state::WorkspaceId;
use crocushoist_transport::RequestBody;
use crocushoist_transport::ResponseBody;

use crate::address_lookup::address_response;
use crate::address_lookup::addresses_for;
use crate::address_lookup::holders_elsewhere;
use crate::admission::AcquiredToken;
use crate::admission::acquire_token;
use crate::forwarding::RequestForwarder;
use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::key_scrubber::extract_key;
use crate::refusal::Refusal;

/// Largest body, in bytes, that is buffered so that it can be sent again.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;
/// Time to receive a buffered body from the caller, in milliseconds.
const BODY_READ_TIMEOUT_MS: u64 = 5_000;

/// An admitted request and the limits on forwarding it.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Name of the service.
    pub service: CompactString,
    /// Whether a shed response of the service guarantees that the request did not run.
    pub shed_is_not_run: bool,
    /// Digest of the caller's key, `None` on an open route.
    pub key_digest: Option<KeyDigest>,
    /// Name of the workspace, empty on an open route.
    pub workspace: CompactString,
    /// Token, `None` on an open route.
    pub token: Option<AcquiredToken>,
    /// Time by which the instance must have started to respond.
    pub deadline: Instant,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Percentage of the instances that ejections must leave in use.
    pub floor_percent: u32,
}

/// Handles one request of a caller.
pub async fn handle_request(
    context: SharedContext,
    _: SocketAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (mut head, body) = request.into_parts();
    let mut response = match try_handle(&context, &mut head, body).await {
        Ok(response) => response,
        Err(mut refusal) => {
            context.metrics.count_refusal(refusal.reason);
            if refusal.reason.is_host_specific() && refusal.addresses.is_empty() {
                refusal.addresses = alternative_addresses(&context);
            }
            refusal.response()
        }
    };
    if context.state.borrow().is_stopping {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Responds to an address lookup, or admits and forwards the request.
async fn try_handle(
    context: &SharedContext,
    head: &mut Parts,
    body: Incoming,
) -> Result<Response<ResponseBody>, Refusal> {
    let key = extract_key(head).map_err(Refusal::new)?;
    if head.uri.path() == headers::ADDRESSES_PATH {
        if key.is_some() && !context.state.borrow().is_fresh(ClockTime::now()) {
            return Err(Refusal::new(RefusalReason::Stale));
        }
        return Ok(address_response(context, key.as_deref(), head.uri.query()));
    }
    let admitted = admit(context, head, key.as_deref()).await?;
    let body = prepare_body(head, body).await;
    let body = body.inspect_err(|_| {
        if let Some(token) = admitted.token {
            token.close(context, false);
        }
    })?;
    let forwarder = RequestForwarder::new(context, admitted, head, key);
    forwarder.run(body).await
}

/// Determines route, key and workspace, and acquires a token if the route needs one.
async fn admit(
    context: &HostContext,
    head: &Parts,
    key: Option<&str>,
) -> Result<AdmittedRequest, Refusal> {
    let digest = key.map(KeyDigest::of);
    let (workspace, mut admitted) = resolve_route(context, head, digest)?;
    if let Some(workspace) = workspace {
        admitted.token = Some(acquire_token(context, workspace).await?);
    }
    context.retry_budget.borrow_mut().deposit();
    Ok(admitted)
}

/// Finds the route, and the workspace of the key if the route needs one.
///
/// Refuses without evidence, and on a keyed route also with evidence that is not current.
fn resolve_route(
    context: &HostContext,
    head: &Parts,
    digest: Option<KeyDigest>,
) -> Result<(Option<WorkspaceId>, AdmittedRequest), Refusal> {
    let now = ClockTime::now();
    let state = context.state.borrow();
    if state.freshness.age(now).is_none() {
        return Err(Refusal::new(RefusalReason::Stale));
    }
    let config = state.replayed.config();
    let route = config
        .routes()
        .find(head.uri.path())
        .ok_or_else(|| Refusal::new(RefusalReason::NoRoute))?;
    let service = config.service(route.service);
    let scope = ExceptionScope::Service(service.name.clone());
    let millis = config.value_for(scope.clone(), SettingName::DeadlineMs);
    let mut admitted = AdmittedRequest {
        service: service.name.clone(),
        shed_is_not_run: service.shed_is_not_run,
        key_digest: None,
        workspace: Default::default(),
        token: None,
        deadline: Instant::now() + Duration::from_millis(u64::from(millis)),
        max_attempts: config.value_for(scope.clone(), SettingName::Attempts),
        floor_percent: config.value_for(scope, SettingName::FloorPercent),
    };
    if route.access == RouteAccess::Open {
        return Ok((None, admitted));
    }
    if !state.is_fresh(now) {
        return Err(Refusal::new(RefusalReason::Stale));
    }
    let digest = digest.ok_or_else(|| Refusal::new(RefusalReason::KeyMissing))?;
    let workspace = config
        .workspace_of_key(&digest)
        .ok_or_else(|| Refusal::new(RefusalReason::KeyUnknown))?;
    admitted.key_digest = Some(digest);
    admitted.workspace = config.workspace(workspace).name.clone();
    Ok((Some(workspace), admitted))
}

/// Body to forward: buffered if it is small and the method is idempotent, else streamed.
async fn prepare_body(head: &Parts, body: Incoming) -> Result<RequestBody, Refusal> {
    if body.is_end_stream() {
        return Ok(RequestBody::buffered(Bytes::new()));
    }
    let is_small = body
        .size_hint()
        .upper()
        .is_some_and(|upper| upper <= MAX_BUFFERED_BODY_BYTES);
    if !is_idempotent(&head.method) || !is_small {
        return Ok(RequestBody::Streamed(body));
    }
    let limited = Limited::new(body, MAX_BUFFERED_BODY_BYTES as usize);
    let collected = timeout(
        Duration::from_millis(BODY_READ_TIMEOUT_MS),
        limited.collect(),
    )
    .await;
    match collected {
        Ok(Ok(collected)) => Ok(RequestBody::buffered(collected.to_bytes())),
        _ => Err(Refusal::new(RefusalReason::Malformed)),
    }
}

/// Whether a request of `method` may be sent again after it was written.
pub fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

/// Addresses of other hosts to try: live ones, else shard holders of other data centres.
fn alternative_addresses(context: &HostContext) -> Vec<SocketAddr> {
    let own = context.settings.callers;
    let mut addresses = addresses_for(context, None, &context.settings.data_centre);
    addresses.retain(|address| *address != own);
    if addresses.is_empty() {
        addresses = holders_elsewhere(context);
    }
    addresses
}
