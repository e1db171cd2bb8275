//! The path of a caller's request.
//!
//! Route, key, workspace, token and instance slot are settled in this order
//! before a byte is written to an instance; right before the write, the key,
//! the evidence and the token's life are checked once more. A refusal says
//! "not run" only if no byte was written or the instance's own word means it.

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

use crate::address_desk::addresses_for;
use crate::address_desk::answer_addresses;
use crate::address_desk::holders_elsewhere;
use crate::admission::TakenToken;
use crate::admission::take_token;
use crate::forwarding::Forwarding;
use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::key_scrubber::take_key;
use crate::refusal::Refusal;

const MAX_REPLAYED_BYTES: u64 = 64 * 1024;
const COLLECT_MS: u64 = 5_000;

/// What a request was admitted as.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Name of the service.
    pub service: CompactString,
    /// Whether the service's shed answer means that the request did not run.
    pub shed_is_not_run: bool,
    /// Digest of the key, `None` on an open route.
    pub digest: Option<KeyDigest>,
    /// Name of the workspace, empty on an open route.
    pub workspace: CompactString,
    /// Token, `None` on an open route.
    pub token: Option<TakenToken>,
    /// When the answer must have begun.
    pub deadline: Instant,
    /// Attempts that may be made.
    pub attempts: u32,
    /// Floor under ejections, in percent.
    pub floor_percent: u32,
}

/// Answers one request of a caller.
pub async fn answer_request(
    context: SharedContext,
    _: SocketAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (mut head, body) = request.into_parts();
    let mut response = match answer(&context, &mut head, body).await {
        Ok(response) => response,
        Err(mut refusal) => {
            context.metrics.count_refusal(refusal.reason);
            if refusal.reason.is_local() && refusal.addresses.is_empty() {
                refusal.addresses = other_addresses(&context);
            }
            refusal.response()
        }
    };
    if context.state.borrow().stopping {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(
    context: &SharedContext,
    head: &mut Parts,
    body: Incoming,
) -> Result<Response<ResponseBody>, Refusal> {
    let key = take_key(head).map_err(Refusal::new)?;
    if head.uri.path() == headers::ADDRESSES_PATH {
        if key.is_some() && !context.state.borrow().is_fresh(ClockTime::now()) {
            return Err(Refusal::new(RefusalReason::Stale));
        }
        return Ok(answer_addresses(context, key.as_deref(), head.uri.query()));
    }
    let admitted = admit(context, head, key.as_deref()).await?;
    let body = body_to_forward(head, body).await;
    let body = body.inspect_err(|_| {
        if let Some(token) = admitted.token {
            token.close(context, false);
        }
    })?;
    let forwarding = Forwarding::new(context, admitted, head, key);
    forwarding.run(body).await
}

/// Settles route, key, workspace and token.
async fn admit(
    context: &HostContext,
    head: &Parts,
    key: Option<&str>,
) -> Result<AdmittedRequest, Refusal> {
    let digest = key.map(KeyDigest::of);
    let (workspace, mut admitted) = settle_route(context, head, digest)?;
    if let Some(workspace) = workspace {
        admitted.token = Some(take_token(context, workspace).await?);
    }
    context.retries.borrow_mut().earn();
    Ok(admitted)
}

fn settle_route(
    context: &HostContext,
    head: &Parts,
    digest: Option<KeyDigest>,
) -> Result<(Option<WorkspaceId>, AdmittedRequest), Refusal> {
    let now = ClockTime::now();
    let state = context.state.borrow();
    if state.freshness.age(now).is_none() {
        return Err(Refusal::new(RefusalReason::Stale));
    }
    let config = state.fold.config();
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
        digest: None,
        workspace: Default::default(),
        token: None,
        deadline: Instant::now() + Duration::from_millis(u64::from(millis)),
        attempts: config.value_for(scope.clone(), SettingName::Attempts),
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
    admitted.digest = Some(digest);
    admitted.workspace = config.workspace(workspace).name.clone();
    Ok((Some(workspace), admitted))
}

/// Body for the instance: kept whole if the request may be sent again and it is small.
async fn body_to_forward(head: &Parts, body: Incoming) -> Result<RequestBody, Refusal> {
    if body.is_end_stream() {
        return Ok(RequestBody::buffered(Bytes::new()));
    }
    let is_small = body
        .size_hint()
        .upper()
        .is_some_and(|upper| upper <= MAX_REPLAYED_BYTES);
    if !is_idempotent(&head.method) || !is_small {
        return Ok(RequestBody::Streamed(body));
    }
    let whole = Limited::new(body, MAX_REPLAYED_BYTES as usize);
    let collected = timeout(Duration::from_millis(COLLECT_MS), whole.collect()).await;
    match collected {
        Ok(Ok(whole)) => Ok(RequestBody::buffered(whole.to_bytes())),
        _ => Err(Refusal::new(RefusalReason::Malformed)),
    }
}

/// Whether a request of `method` may be sent again.
pub fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

fn other_addresses(context: &HostContext) -> Vec<SocketAddr> {
    let own = context.settings.callers;
    let mut addresses = addresses_for(context, None, &context.settings.data_centre);
    addresses.retain(|address| *address != own);
    if addresses.is_empty() {
        addresses = holders_elsewhere(context);
    }
    addresses
}
