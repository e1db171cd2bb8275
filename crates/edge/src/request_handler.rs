//! Handles a caller's request.
//!
//! The configuration, the route, the key and the rate limit are checked in this
//! order before the body is read. A request that cannot be served is refused at
//! once.

use std::cell::OnceCell;
use std::time::Duration;
use std::time::Instant;

use compio::time::timeout;
use compio::time::timeout_at;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::EXPECT;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;

use crocushoist_platform::names;
use crocushoist_policy::AdmissionRank;
use crocushoist_policy::DeploymentConfig;
use crocushoist_policy::GateDecision;
use crocushoist_policy::RetrySafety;
use crocushoist_policy::RouteSpec;
use crocushoist_policy::StopPlan;
use crocushoist_policy::WorkspaceGate;
use crocushoist_policy::WorkspaceSpec;
use crocushoist_state::ClockTime;
use crocushoist_state::KeyDigest;
use crocushoist_transport::BodyError;
use crocushoist_transport::ClientAccount;
use crocushoist_transport::HeldBody;
use crocushoist_transport::ResponseBody;

use crate::edge_context::EdgeContext;
use crate::edge_context::SharedContext;
use crate::edge_refusal::EdgeReason;
use crate::edge_refusal::EdgeRefusal;
use crate::forward_head::ForwardHead;
use crate::request_forwarder::LIMITED_RETRY_DELAY_MS;
use crate::request_forwarder::RequestForwarder;
use crate::request_forwarder::refuse_unservable;
use crate::request_progress::ProgressGuard;
use crate::request_record::RequestRecord;

/// Maximum request body in bytes that a host buffers; the operators' limit applies if it is
/// lower.
pub(crate) const MAX_BUFFERED_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Milliseconds after which a caller should retry if only this host cannot serve the request;
/// another host possibly can.
const OTHER_HOST_RETRY_DELAY_MS: u64 = 100;

/// Milliseconds after which a caller should retry if this host has no configuration yet.
const NO_CONFIG_RETRY_DELAY_MS: u64 = 500;

/// Range in milliseconds from which the retry delay for an overloaded service, or a host without
/// memory, is drawn.
///
/// A slot becomes free every few hundred milliseconds.
const MIN_OVERLOAD_RETRY_DELAY_MS: u64 = 200;
const MAX_OVERLOAD_RETRY_DELAY_MS: u64 = 700;

/// Serves one request of a caller, then counts and logs the outcome.
pub(crate) async fn handle_request(
    context: SharedContext,
    account: ClientAccount,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_at = Instant::now();
    context.last_request_at.set(Some(ClockTime::now()));
    let mut record = RequestRecord::default();
    record.id = header_text(request.headers(), names::ATTEMPT_ID_HEADER).into();
    record.config_version = context.config_version();
    record.evidence_age = context.evidence.borrow().age(ClockTime::now());
    record.hub_age = context.hub_age(ClockTime::now());
    let progress = context.in_progress.add(record.id.clone(), ClockTime::now());
    let (head, mut body) = request.into_parts();
    let served = serve_request(
        &context,
        &account,
        (&head, &mut body),
        arrived_at,
        &progress,
        &mut record,
    )
    .await;
    let millis = arrived_at.elapsed().as_millis() as u64;
    let (outcome, mut response) = match served {
        Ok(response) => ("answered", response),
        Err(refusal) => {
            context.metrics.count_refusal(refusal.reason.name());
            (refusal.reason.name(), refusal.response())
        }
    };
    context.metrics.count_response(outcome);
    let status = response.status().as_u16();
    count_for_service(&context, &record, response.status());
    record.log_end(&context.logger, outcome, status, millis, rand::random());
    if context.is_stopping() || !discard_rest(&head.headers, body).await {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Checks and forwards the request. Returns the response of an instance, or why there is none.
async fn serve_request(
    context: &SharedContext,
    account: &ClientAccount,
    (head, body): (&Parts, &mut Incoming),
    arrived_at: Instant,
    progress: &ProgressGuard,
    record: &mut RequestRecord,
) -> Result<Response<ResponseBody>, EdgeRefusal> {
    let config = context.config().ok_or(EdgeRefusal::with_retry_after(
        EdgeReason::NoConfig,
        NO_CONFIG_RETRY_DELAY_MS,
    ))?;
    let key = presented_key(&head.headers);
    let route = find_route(context, &config, &head.headers, head.uri.path())?;
    record.route = route.name.clone();
    let budget_ms = time_budget_ms(&head.headers, route);
    record.budget_ms = budget_ms;
    check_stop(context, budget_ms)?;
    let workspace = find_workspace(context, &config, route, key)?;
    let service = route
        .service_for(rand::random())
        .ok_or(EdgeRefusal::new(EdgeReason::NoInstance))?;
    record.service = service.clone();
    if let Some(workspace) = workspace {
        record.workspace = workspace.name.clone();
        check_limit(context, workspace, record)?;
    }
    deposit_retry(context, service);
    let rank = AdmissionRank::for_request(&config, route, workspace);
    check_capacity(context, service, rank, record)
        .inspect_err(|_| undo_admission(context, workspace))?;
    let deadline = arrived_at + Duration::from_millis(budget_ms);
    let body = read_body(account, body, &config, deadline)
        .await
        .inspect_err(|_| undo_admission(context, workspace))?;
    // A stop may have begun, or gone on, while the body arrived.
    let remaining = deadline.saturating_duration_since(Instant::now());
    check_stop(context, remaining.as_millis() as u64)
        .inspect_err(|_| undo_admission(context, workspace))?;
    let workspace_name = workspace.map(|workspace| workspace.name.as_str());
    let head = ForwardHead::new(&head.method, &head.uri, &head.headers, key, workspace_name)
        .ok_or(EdgeRefusal::new(EdgeReason::NoRoute))?;
    let forwarder = RequestForwarder {
        context,
        request: progress,
        service: service.clone(),
        retry_safety: route.retry_safety,
        max_attempts: route.max_attempts,
        objective_ms: route.objective_ms,
        deadline,
        head,
        body,
        account,
        may_relay: true,
        content_hash: OnceCell::new(),
    };
    let response = forwarder.forward(record).await.inspect_err(|_| {
        if record.attempt_count() == 0 {
            undo_admission(context, workspace);
        }
    })?;
    let kind = match route.retry_safety {
        RetrySafety::Idempotent => "idempotent",
        RetrySafety::AtMostOnce => "at_most_once",
    };
    context
        .metrics
        .observe_latency(kind, arrived_at.elapsed().as_millis() as u64);
    Ok(response.into_response())
}

/// Route of the request. Without fresh evidence a host must not claim that there is none, because
/// a newer configuration may have it.
fn find_route<'a>(
    context: &EdgeContext,
    config: &'a DeploymentConfig,
    headers: &HeaderMap,
    path: &str,
) -> Result<&'a RouteSpec, EdgeRefusal> {
    let host = header_text(headers, HOST.as_str());
    let host = host.split(':').next().unwrap_or_default();
    let host = host.to_ascii_lowercase();
    config
        .routes
        .find(&host, path)
        .ok_or_else(|| stale_evidence_or(context, EdgeReason::NoRoute))
}

/// Refuses a request that a stopping host possibly cannot finish.
pub(crate) fn check_stop(context: &EdgeContext, budget_ms: u64) -> Result<(), EdgeRefusal> {
    let Some(started_at) = context.stop_started_at.get() else {
        return Ok(());
    };
    let plan = StopPlan::new(context.settings.grace_ms);
    if plan.admits(ClockTime::now().since(started_at), budget_ms) {
        return Ok(());
    }
    Err(EdgeRefusal::with_retry_after(
        EdgeReason::Stopping,
        OTHER_HOST_RETRY_DELAY_MS,
    ))
}

/// Workspace that the key belongs to, `None` on a route that needs no key.
fn find_workspace<'a>(
    context: &EdgeContext,
    config: &'a DeploymentConfig,
    route: &RouteSpec,
    key: Option<&str>,
) -> Result<Option<&'a WorkspaceSpec>, EdgeRefusal> {
    if route.is_public || config.workspaces.is_empty() {
        return Ok(None);
    }
    if !context.has_fresh_evidence(ClockTime::now()) {
        return Err(EdgeRefusal::with_retry_after(
            EdgeReason::StaleEvidence,
            OTHER_HOST_RETRY_DELAY_MS,
        ));
    }
    let key = key.ok_or(EdgeRefusal::new(EdgeReason::KeyMissing))?;
    config
        .workspace_for_key(&KeyDigest::of(key))
        .map(Some)
        .ok_or(EdgeRefusal::new(EdgeReason::KeyUnknown))
}

/// Refusal for `reason`, or for stale evidence if this host may have missed a configuration.
fn stale_evidence_or(context: &EdgeContext, reason: EdgeReason) -> EdgeRefusal {
    if context.has_fresh_evidence(ClockTime::now()) {
        EdgeRefusal::new(reason)
    } else {
        EdgeRefusal::with_retry_after(EdgeReason::StaleEvidence, OTHER_HOST_RETRY_DELAY_MS)
    }
}

/// Refuses a request beyond the rate limit of `workspace`.
fn check_limit(
    context: &EdgeContext,
    workspace: &WorkspaceSpec,
    record: &mut RequestRecord,
) -> Result<(), EdgeRefusal> {
    if workspace.rate_per_s > 0.0 && !context.knows_hosts.get() {
        return Err(EdgeRefusal::with_retry_after(
            EdgeReason::NoHosts,
            OTHER_HOST_RETRY_DELAY_MS,
        ));
    }
    let now = ClockTime::now();
    let hosts = context.fleet_size();
    let mut gates = context.workspace_gates.borrow_mut();
    let gate = gates
        .entry(workspace.name.clone())
        .or_insert_with(|| WorkspaceGate::new(now));
    let limit = context.limit_of(workspace);
    let assigned_share = context.assigned_share(&workspace.name, now);
    record.assigned_share = assigned_share;
    let answered_at = context.answered_report_at.get();
    match gate.decide(limit, assigned_share, answered_at, hosts, now) {
        GateDecision::Admit => Ok(()),
        GateDecision::Refuse { wait_ms } => Err(EdgeRefusal::with_retry_after(
            EdgeReason::OverLimit,
            wait_ms,
        )),
    }
}

/// Refuses a request if no instance of the service takes requests, or the queues are so long that
/// the response would come too late.
fn check_capacity(
    context: &EdgeContext,
    service: &str,
    rank: AdmissionRank,
    record: &mut RequestRecord,
) -> Result<(), EdgeRefusal> {
    if let Some(refusal) = refuse_unservable(context, service) {
        return Err(refusal);
    }
    let table = context.instances.borrow();
    let permits = table.permit_count(service, ClockTime::now());
    if permits.is_some_and(|permits| !rank.admits_with(permits)) {
        let reason = EdgeReason::InstancesLimited;
        return Err(EdgeRefusal::with_retry_after(
            reason,
            LIMITED_RETRY_DELAY_MS,
        ));
    }
    record.waiting_per_slot = table.min_queue_per_slot(service, ClockTime::now());
    match record.waiting_per_slot {
        Some(queue) if !rank.admits(queue) => Err(EdgeRefusal::with_retry_after(
            EdgeReason::Overloaded,
            overload_retry_delay_ms(),
        )),
        _ => Ok(()),
    }
}

/// Counts a request for its service, unless it failed as a trial that only the floor required.
fn count_for_service(context: &EdgeContext, record: &RequestRecord, status: StatusCode) {
    let is_refused = status == StatusCode::TOO_MANY_REQUESTS;
    let is_served = !is_refused && !status.is_server_error();
    if record.service.is_empty() || (record.is_required_trial && !is_served) {
        return;
    }
    let mut table = context.instances.borrow_mut();
    table.count_request(&record.service, is_served);
}

/// Withdraws the admission of a request for which no attempt was made.
fn undo_admission(context: &EdgeContext, workspace: Option<&WorkspaceSpec>) {
    let Some(workspace) = workspace else {
        return;
    };
    if let Some(gate) = context
        .workspace_gates
        .borrow_mut()
        .get_mut(&workspace.name)
    {
        gate.undo_admission();
    }
}

/// Counts a new request for the retry budget of `service`.
fn deposit_retry(context: &EdgeContext, service: &str) {
    let hosts = context.fleet_size();
    let settings = &context.settings;
    let mut accounts = context.retry_accounts.borrow_mut();
    let account = accounts.entry(service.into()).or_default();
    let now = ClockTime::now();
    account.add_request(settings.retry_ratio, settings.retry_slack, hosts, now);
}

/// Milliseconds until the caller must have its response: the shorter of the caller's deadline and
/// the route's timeout.
fn time_budget_ms(headers: &HeaderMap, route: &RouteSpec) -> u64 {
    let requested: Option<u64> = header_text(headers, names::DEADLINE_MS_HEADER).parse().ok();
    match (requested, route.timeout_ms) {
        (Some(requested), 0) => requested,
        (Some(requested), timeout) => requested.min(timeout),
        (None, timeout) => timeout,
    }
}

/// Reads the whole body, up to the size limit and until the deadline.
async fn read_body(
    account: &ClientAccount,
    body: &mut Incoming,
    config: &DeploymentConfig,
    deadline: Instant,
) -> Result<HeldBody, EdgeRefusal> {
    if body.is_end_stream() {
        return Ok(HeldBody::default());
    }
    let max_bytes = config.limits.max_body_bytes.min(MAX_BUFFERED_BODY_BYTES);
    match timeout_at(deadline, account.read_upload(body, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong(_))) => Err(EdgeRefusal::new(EdgeReason::BodyTooLarge)),
        Ok(Err(BodyError::NoRoom)) => Err(EdgeRefusal::with_retry_after(
            EdgeReason::NoRoom,
            overload_retry_delay_ms(),
        )),
        Ok(Err(BodyError::Broken(_))) | Err(_) => Err(EdgeRefusal::new(EdgeReason::BodyUnread)),
    }
}

/// Milliseconds after which a caller should retry that was refused for lack of room.
///
/// The random delay keeps callers that are refused together from retrying together.
pub(crate) fn overload_retry_delay_ms() -> u64 {
    rand::random_range(MIN_OVERLOAD_RETRY_DELAY_MS..MAX_OVERLOAD_RETRY_DELAY_MS)
}

/// Reads what is left of the body of a request that has its response. Returns whether the
/// connection can be used again, which needs that the rest is short and arrives soon.
async fn discard_rest(headers: &HeaderMap, body: Incoming) -> bool {
    const MAX_REST_BYTES: u64 = 64 * 1024;
    const MAX_REST_MS: u64 = 20;
    if body.is_end_stream() {
        return true;
    }
    // Reading would ask the caller for a body that nobody needs.
    if headers.contains_key(EXPECT) || body.size_hint().lower() > MAX_REST_BYTES {
        return false;
    }
    let rest = Limited::new(body, MAX_REST_BYTES as usize).collect();
    let read = timeout(Duration::from_millis(MAX_REST_MS), rest).await;
    matches!(read, Ok(Ok(_)))
}

/// Key in the `Authorization` header.
fn presented_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(names::AUTH_SCHEME).map(str::trim)
}

/// Value of a header, empty if the header is absent or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
