//! Stand-in for the instances of the services.
//!
//! Each instance handles three requests at a time, queues a few more and sheds
//! the rest. A new connection costs a little time, and an instance is slower
//! until it has warmed up. A health probe takes a slot and always succeeds,
//! whatever the faults. Faults can be changed while the instances run. A list
//! shared by all instances records each request that was executed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_protocol::headers;
use crocushoist_state::ClockTime;
use crocushoist_state::KEY_PREFIX;
use crocushoist_transport::ResponseBody;
use crocushoist_transport::TransportError;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_http;

use crate::ExecutedRequest;
use crate::InstanceFaults;
use crate::control_body::json_response;
use crate::control_body::read_json;
use crate::control_body::status_response;
use crate::truncatable_body::TruncatableBody;

/// Requests that an instance handles at a time.
const SLOTS: u32 = 3;
/// Requests that may wait for a slot; more are shed.
const MAX_QUEUED_REQUESTS: u32 = 9;
const MAX_CONNECTIONS: usize = 400;
/// Extra time of the first request on a connection, recognised by its peer address.
const CONNECTION_SETUP_MS: u64 = 1;
/// Time that a health probe holds a slot.
const PROBE_MS: u64 = 25;
const HEALTH_PATH: &str = "/health";
const SLOT_CHECK_MS: u64 = 1;
/// Delay of a request under the fault `hangs`, longer than any caller waits.
const HANG_MS: u64 = 60_000;
/// Number of first requests that take `WARM_UP_FACTOR` times the service time.
const WARM_UP_REQUESTS: u64 = 20;
const WARM_UP_FACTOR: u64 = 3;
/// Path prefix that is followed by the size in bytes of the response body.
const LARGE_BODY_PREFIX: &str = "/big/";

/// Header in which callers send the ID of a request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Stand-in instances that one process serves.
#[derive(Clone, Debug)]
pub struct InstanceGroup {
    /// Addresses at which the instances listen.
    pub addresses: Vec<SocketAddr>,
    /// Service time of a request in milliseconds.
    pub service_ms: u64,
    /// Seed of the random choice of requests that are slow or fail.
    pub seed: u64,
}

struct InstanceState {
    address: SocketAddr,
    service_ms: u64,
    fault: Cell<InstanceFaults>,
    in_flight: Cell<u32>,
    queued: Cell<u32>,
    served_requests: Cell<u64>,
    seen_peers: RefCell<HashSet<SocketAddr>>,
    random: RefCell<ChaCha8Rng>,
    executed_requests: Rc<RefCell<Vec<ExecutedRequest>>>,
}

/// Serves the instances, and their control path at `control`, for as long as the process runs.
///
/// Fails if it cannot listen at one of the addresses.
pub async fn serve_instances(
    control: SocketAddr,
    group: InstanceGroup,
) -> Result<(), TransportError> {
    let executed_requests: Rc<RefCell<Vec<ExecutedRequest>>> = Rc::default();
    let mut instances = Vec::new();
    for (index, address) in group.addresses.iter().copied().enumerate() {
        let instance = Rc::new(InstanceState {
            address,
            service_ms: group.service_ms,
            fault: Cell::default(),
            in_flight: Cell::new(0),
            queued: Cell::new(0),
            served_requests: Cell::new(0),
            seen_peers: RefCell::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(group.seed + index as u64)),
            executed_requests: Rc::clone(&executed_requests),
        });
        instances.push(Rc::clone(&instance));
        let listener = listen_on(address).await?;
        compio::runtime::spawn(serve_http(
            listener,
            Default::default(),
            MAX_CONNECTIONS,
            move |peer, request| handle_request(Rc::clone(&instance), peer, request),
        ))
        .detach();
    }
    let listener = listen_on(control).await?;
    let instances = Rc::new(instances);
    serve_http(
        listener,
        Default::default(),
        usize::MAX,
        move |_, request| {
            handle_control(
                Rc::clone(&instances),
                Rc::clone(&executed_requests),
                request,
            )
        },
    )
    .await;
    Ok(())
}

async fn handle_control(
    instances: Rc<Vec<Rc<InstanceState>>>,
    executed_requests: Rc<RefCell<Vec<ExecutedRequest>>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::GET && path == "/ledger" {
        return json_response(&*executed_requests.borrow());
    }
    let address: Option<SocketAddr> = path
        .strip_prefix("/fault/")
        .and_then(|address| address.parse().ok());
    let instance = instances
        .iter()
        .find(|instance| Some(instance.address) == address);
    match (instance, read_json(request.into_body()).await) {
        (Some(instance), Some(faults)) => {
            instance.fault.set(faults);
            status_response(StatusCode::OK)
        }
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

async fn handle_request(
    instance: Rc<InstanceState>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<TruncatableBody> {
    if instance.seen_peers.borrow_mut().insert(peer) {
        sleep(Duration::from_millis(CONNECTION_SETUP_MS)).await;
    }
    let attempt = request.headers().get(headers::ATTEMPT).cloned();
    let mut response = serve_request(&instance, request).await;
    if let Some(attempt) = attempt {
        let attempt = if instance.fault.get().changes_attempt_id {
            "0".parse().unwrap_or(attempt)
        } else {
            attempt
        };
        response.headers_mut().insert(headers::ATTEMPT, attempt);
    }
    if instance.fault.get().is_draining {
        set_upstream_state(&mut response, "draining");
    }
    response
}

async fn serve_request(
    instance: &Rc<InstanceState>,
    request: Request<Incoming>,
) -> Response<TruncatableBody> {
    let Some(_slot) = SlotGuard::acquire(instance).await else {
        let mut response = Response::new(TruncatableBody::from_content("shed"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        set_upstream_state(&mut response, "shed");
        return response;
    };
    if request.uri().path() == HEALTH_PATH {
        sleep(Duration::from_millis(PROBE_MS)).await;
        return Response::new(TruncatableBody::from_content("healthy"));
    }
    let fault = instance.fault.get();
    instance
        .executed_requests
        .borrow_mut()
        .push(executed_request(instance, &request));
    if fault.hangs {
        sleep(Duration::from_millis(HANG_MS)).await;
    }
    instance
        .served_requests
        .set(instance.served_requests.get() + 1);
    sleep(Duration::from_millis(service_time_ms(instance, fault))).await;
    let path = request.uri().path().to_owned();
    let body = if let Some(count) = path.strip_prefix(LARGE_BODY_PREFIX) {
        TruncatableBody::filled(count.parse().unwrap_or(0))
    } else {
        let received = count_body_bytes(request.into_body()).await;
        TruncatableBody::from_content(format!("{{\"path\":\"{path}\",\"received\":{received}}}"))
    };
    let mut response = Response::new(if fault.truncates_responses {
        body.truncated()
    } else {
        body
    });
    if draw_percent(instance, fault.error_percent) {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}

fn service_time_ms(instance: &InstanceState, fault: InstanceFaults) -> u64 {
    let is_slow = fault.slow_percent == 0 || draw_percent(instance, fault.slow_percent);
    let factor = if is_slow {
        u64::from(fault.slow_factor.max(1))
    } else {
        1
    };
    let warm_up_factor = if instance.served_requests.get() < WARM_UP_REQUESTS {
        WARM_UP_FACTOR
    } else {
        1
    };
    instance.service_ms * factor * warm_up_factor
}

/// Draws true with a probability of `percent` in 100.
fn draw_percent(instance: &InstanceState, percent: u32) -> bool {
    percent > 0 && instance.random.borrow_mut().random_range(0..100) < percent
}

async fn count_body_bytes(mut body: Incoming) -> usize {
    let mut received = 0;
    while let Some(Ok(frame)) = body.frame().await {
        received += frame.data_ref().map_or(0, |data| data.len());
    }
    received
}

fn executed_request(instance: &InstanceState, request: &Request<Incoming>) -> ExecutedRequest {
    let header_text = |name: &str| {
        let value = request.headers().get(name);
        value.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
    };
    ExecutedRequest {
        instance: instance.address,
        request_id: header_text(REQUEST_ID_HEADER).unwrap_or_default(),
        workspace: header_text(headers::WORKSPACE).unwrap_or_default(),
        admitted_at_ms: header_text(headers::ADMITTED_AT)
            .and_then(|value| value.parse().ok())
            .unwrap_or(0),
        started_at_ms: ClockTime::now().as_millis(),
        is_idempotent: request.method().is_idempotent(),
        received_key: contains_key_text(request.headers(), &request.uri().to_string()),
    }
}

/// Whether a header or the URI contains the prefix of a key, or the key header is set.
fn contains_key_text(header_map: &HeaderMap, uri: &str) -> bool {
    let contains_prefix = |text: &[u8]| {
        text.windows(KEY_PREFIX.len())
            .any(|window| window.eq_ignore_ascii_case(KEY_PREFIX.as_bytes()))
    };
    let in_headers = header_map
        .values()
        .any(|value| contains_prefix(value.as_bytes()));
    in_headers || header_map.contains_key(headers::WORKSPACE_KEY) || contains_prefix(uri.as_bytes())
}

fn set_upstream_state(response: &mut Response<TruncatableBody>, state: &'static str) {
    let value = hyper::header::HeaderValue::from_static(state);
    response
        .headers_mut()
        .insert(headers::UPSTREAM_STATE, value);
}

/// Slot of an instance, released when dropped.
struct SlotGuard(Rc<InstanceState>);

impl SlotGuard {
    /// Waits for a slot; `None` if the queue is full.
    async fn acquire(instance: &Rc<InstanceState>) -> Option<Self> {
        if instance.in_flight.get() >= SLOTS && instance.queued.get() >= MAX_QUEUED_REQUESTS {
            return None;
        }
        instance.queued.set(instance.queued.get() + 1);
        while instance.in_flight.get() >= SLOTS {
            sleep(Duration::from_millis(SLOT_CHECK_MS)).await;
        }
        instance.queued.set(instance.queued.get() - 1);
        instance.in_flight.set(instance.in_flight.get() + 1);
        Some(SlotGuard(Rc::clone(instance)))
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
