//! Serves operators' requests and metric scrapes.

use std::net::SocketAddr;

use compact_str::CompactString;
use compact_str::format_compact;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Serialize;

use crocushoist_coordination::LogRecord;
use crocushoist_protocol::ConfigReport;
use crocushoist_protocol::EditFailure;
use crocushoist_protocol::EditRequest;
use crocushoist_protocol::EjectionReport;
use crocushoist_protocol::ExceptionReport;
use crocushoist_protocol::HostReport;
use crocushoist_protocol::InstanceReport;
use crocushoist_protocol::ShardReport;
use crocushoist_protocol::StatusReport;
use crocushoist_state::ClockTime;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_transport::ResponseBody;

use crate::edit_submission::submit_edit;
use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_metrics::HostMetrics;
use crate::host_state::HostState;

/// Largest request body, in bytes.
const MAX_CALL_BYTES: usize = 64 * 1024;
const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;
const PAGE_BYTES: u64 = 4_096;

/// Handles one request of an operator or a metric scraper.
pub(crate) async fn handle_admin(
    context: SharedContext,
    _: SocketAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/metrics") => text(StatusCode::OK, context.metrics.text()),
        (&Method::GET, "/status") => json(StatusCode::OK, &status_report(&context)),
        (&Method::GET, "/config") => {
            let report = ConfigReport::from(&context.state.borrow().replayed);
            json(StatusCode::OK, &report)
        }
        (&Method::POST, "/edits") => handle_edit(&context, request.into_body()).await,
        (&Method::POST, path) if path.starts_with("/ended/") => {
            handle_ended(&context, path, request.into_body()).await
        }
        _ => text(
            StatusCode::NOT_FOUND,
            "paths: GET /status, GET /config, GET /metrics, POST /edits, POST /ended/INCARNATION\n"
                .into(),
        ),
    }
}

async fn handle_edit(context: &HostContext, body: Incoming) -> Response<ResponseBody> {
    let call = match read_call(body).await {
        Ok(call) => call,
        Err(error) => return json(StatusCode::BAD_REQUEST, &edit_failure(error)),
    };
    match submit_edit(context, call).await {
        Ok(response) => json(StatusCode::OK, &response),
        Err(failure) if failure.may_take_effect => json(StatusCode::GATEWAY_TIMEOUT, &failure),
        Err(failure) => json(StatusCode::CONFLICT, &failure),
    }
}

async fn read_call(body: Incoming) -> Result<EditRequest, CompactString> {
    let bytes = read_body(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| format_compact!("the edit cannot be read: {error}"))
}

async fn read_body(body: Incoming) -> Result<Vec<u8>, CompactString> {
    let collected = Limited::new(body, MAX_CALL_BYTES).collect().await;
    let collected =
        collected.map_err(|error| format_compact!("the body cannot be read: {error}"))?;
    Ok(collected.to_bytes().to_vec())
}

/// Appends the declaration of an operator that an incarnation has ended.
async fn handle_ended(context: &HostContext, path: &str, body: Incoming) -> Response<ResponseBody> {
    let number = path.trim_start_matches("/ended/");
    let Ok(incarnation) = u64::from_str_radix(number, 16) else {
        let error = format!("incarnation \"{number}\" is not a hexadecimal number");
        return json(StatusCode::BAD_REQUEST, &edit_failure(error));
    };
    let reason = match read_body(body).await {
        Ok(bytes) => CompactString::from(String::from_utf8_lossy(&bytes)),
        Err(error) => return json(StatusCode::BAD_REQUEST, &edit_failure(error)),
    };
    if reason.trim().is_empty() {
        return json(
            StatusCode::BAD_REQUEST,
            &edit_failure("the body must carry the reason"),
        );
    }
    let record = LogRecord::DeclareEnded {
        incarnation: IncarnationId(incarnation),
        author: "operator".into(),
        reason,
    };
    match context.append_record(&record).await {
        Ok(offset) => json(StatusCode::OK, &serde_json::json!({ "offset": offset })),
        Err(error) => json(StatusCode::BAD_GATEWAY, &edit_failure(error.to_string())),
    }
}

fn edit_failure(error: impl Into<CompactString>) -> EditFailure {
    EditFailure {
        error: error.into(),
        may_take_effect: false,
    }
}

fn status_report(context: &HostContext) -> StatusReport {
    let now = ClockTime::now();
    let state = context.state.borrow();
    let (held, active) = state.shard_buckets.held_and_active_counts();
    let own = state.own.incarnation;
    StatusReport {
        host: host_report(
            &state.own.address,
            own,
            state.replayed.next_offset(),
            0,
            state.is_stopping,
        ),
        accepted: state.acceptance.accepted_offset(),
        evidence_age_ms: state.freshness.age(now),
        fresh: state.is_fresh(now),
        shards_held: held,
        shards_active: active,
        peers: peer_reports(&state, now),
        shards: shard_reports(&state),
        instances: instance_reports(&state, now),
        ejections: ejection_reports(&state),
        exceptions: exception_reports(&state),
        answered: context.metrics.responses(),
        refusals: context.metrics.refusals(),
        retries: context.metrics.retries(),
        breaches: HostMetrics::breaches(),
        control_bytes: context.meter.total(),
        cpu_ms: cpu_millis(),
        resident_bytes: resident_bytes(),
        uptime_ms: now.since(context.started_at),
    }
}

fn host_report(
    address: &HostAddress,
    incarnation: IncarnationId,
    next_offset: u64,
    silent_ms: u64,
    leaving: bool,
) -> HostReport {
    HostReport {
        callers: address.callers,
        peers: address.peers,
        data_centre: address.data_centre.clone(),
        incarnation: format_compact!("{:016x}", incarnation.0),
        next_offset,
        silent_ms,
        leaving,
    }
}

fn peer_reports(state: &HostState, now: ClockTime) -> Vec<HostReport> {
    let mut reports: Vec<HostReport> = state
        .directory
        .iter()
        .map(|(incarnation, peer)| {
            let silent_ms = now.since(peer.last_seen_at);
            host_report(
                &peer.address,
                incarnation,
                peer.next_offset,
                silent_ms,
                peer.leaving,
            )
        })
        .collect();
    reports.sort_unstable_by_key(|report| report.peers);
    reports
}

fn shard_reports(state: &HostState) -> Vec<ShardReport> {
    state
        .replayed
        .table()
        .iter()
        .map(|(shard, entry)| ShardReport {
            shard: shard.as_u32(),
            generation: entry.generation,
            holder: entry.holder.as_ref().map(|holder| holder.address.peers),
            incarnation: entry
                .holder
                .as_ref()
                .map(|holder| format_compact!("{:016x}", holder.incarnation.0)),
        })
        .collect()
}

fn instance_reports(state: &HostState, now: ClockTime) -> Vec<InstanceReport> {
    state
        .pool
        .iter()
        .map(|(_, instance)| InstanceReport {
            service: instance.service.clone(),
            address: instance.address,
            data_centre: instance.data_centre.clone(),
            state: if instance.is_leaving(now) {
                "leaving".into()
            } else if instance.is_ejected(now) {
                "ejected".into()
            } else if instance.backoff_until > now {
                "avoided".into()
            } else {
                "live".into()
            },
            reason: instance.ejection_reason.clone(),
            outstanding: instance.outstanding() as u32,
            latency_micros: instance.latency_micros,
        })
        .collect()
}

fn ejection_reports(state: &HostState) -> Vec<EjectionReport> {
    let ejections = state
        .outlier_detectors
        .iter()
        .flat_map(|(service, detector)| {
            detector
                .ejection_counts()
                .map(move |(address, reason, count)| EjectionReport {
                    service: service.clone(),
                    address,
                    reason: reason.name().into(),
                    count,
                })
        });
    ejections.collect()
}

fn exception_reports(state: &HostState) -> Vec<ExceptionReport> {
    state
        .replayed
        .config()
        .exceptions()
        .map(|(scope, setting, entry)| ExceptionReport {
            scope: format_compact!("{scope}"),
            setting: setting.name().into(),
            value: entry.value,
            reason: entry.reason.clone(),
            author: entry.author.clone(),
        })
        .collect()
}

fn cpu_millis() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as u64 * MILLIS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MILLI
}

/// Resident memory of this process in bytes, zero if the system does not report it.
fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_string(value).unwrap_or_default();
    respond(status, "application/json", body)
}

fn text(status: StatusCode, body: String) -> Response<ResponseBody> {
    respond(status, "text/plain; charset=utf-8", body)
}

fn respond(status: StatusCode, kind: &'static str, body: String) -> Response<ResponseBody> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, kind)
        .body(ResponseBody::buffered(body))
        .unwrap_or_else(|_| Response::new(ResponseBody::buffered("")))
}
