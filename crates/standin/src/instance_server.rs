//! Stand-in for the instances of the services.
//!
//! Each instance has three slots and a short queue behind them and sheds what
//! is beyond. A new connection costs a little, a cold instance is slower at
//! first. A probe costs a slot and always says that all is well. Faults are switched while it runs; a ledger keeps what ran.

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

use crate::FaultScript;
use crate::RunEntry;
use crate::control_body::answer_json;
use crate::control_body::answer_status;
use crate::control_body::read_json;
use crate::scripted_body::ScriptedBody;

const SLOTS: u32 = 3;
const QUEUE: u32 = 9;
const MAX_CONNECTIONS: usize = 400;
const CONNECTION_MS: u64 = 1;
const PROBE_MS: u64 = 25;
const HEALTH_PATH: &str = "/health";
const SLOT_CHECK_MS: u64 = 1;
const HANG_MS: u64 = 60_000;
const COLD_REQUESTS: u64 = 20;
const COLD_FACTOR: u64 = 3;
const BIG_PATH: &str = "/big/";

/// Header by which callers number their requests.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Instances of one service.
#[derive(Clone, Debug)]
pub struct InstanceGroup {
    /// Addresses of the instances.
    pub addresses: Vec<SocketAddr>,
    /// Milliseconds that a request takes.
    pub service_ms: u64,
    /// Seed of the random faults.
    pub seed: u64,
}

struct InstanceState {
    address: SocketAddr,
    service_ms: u64,
    fault: Cell<FaultScript>,
    working: Cell<u32>,
    queued: Cell<u32>,
    served: Cell<u64>,
    known: RefCell<HashSet<SocketAddr>>,
    random: RefCell<ChaCha8Rng>,
    ledger: Rc<RefCell<Vec<RunEntry>>>,
}

/// Serves the instances, and their control path at `control`, for as long as the process runs.
pub async fn serve_instances(
    control: SocketAddr,
    group: InstanceGroup,
) -> Result<(), TransportError> {
    let ledger: Rc<RefCell<Vec<RunEntry>>> = Rc::default();
    let mut instances = Vec::new();
    for (index, address) in group.addresses.iter().copied().enumerate() {
        let instance = Rc::new(InstanceState {
            address,
            service_ms: group.service_ms,
            fault: Cell::default(),
            working: Cell::new(0),
            queued: Cell::new(0),
            served: Cell::new(0),
            known: RefCell::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(group.seed + index as u64)),
            ledger: Rc::clone(&ledger),
        });
        instances.push(Rc::clone(&instance));
        let listener = listen_on(address).await?;
        compio::runtime::spawn(serve_http(
            listener,
            Default::default(),
            MAX_CONNECTIONS,
            move |peer, request| answer_request(Rc::clone(&instance), peer, request),
        ))
        .detach();
    }
    let listener = listen_on(control).await?;
    let instances = Rc::new(instances);
    serve_http(
        listener,
        Default::default(),
        usize::MAX,
        move |_, request| answer_control(Rc::clone(&instances), Rc::clone(&ledger), request),
    )
    .await;
    Ok(())
}

async fn answer_control(
    instances: Rc<Vec<Rc<InstanceState>>>,
    ledger: Rc<RefCell<Vec<RunEntry>>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::GET && path == "/ledger" {
        return answer_json(&*ledger.borrow());
    }
    let address: Option<SocketAddr> = path
        .strip_prefix("/fault/")
        .and_then(|address| address.parse().ok());
    let instance = instances
        .iter()
        .find(|instance| Some(instance.address) == address);
    match (instance, read_json(request.into_body()).await) {
        (Some(instance), Some(script)) => {
            instance.fault.set(script);
            answer_status(StatusCode::OK)
        }
        _ => answer_status(StatusCode::NOT_FOUND),
    }
}

async fn answer_request(
    instance: Rc<InstanceState>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<ScriptedBody> {
    if instance.known.borrow_mut().insert(peer) {
        sleep(Duration::from_millis(CONNECTION_MS)).await;
    }
    let attempt = request.headers().get(headers::ATTEMPT).cloned();
    let mut response = serve_request(&instance, request).await;
    if let Some(attempt) = attempt {
        let attempt = if instance.fault.get().crossed {
            "0".parse().unwrap_or(attempt)
        } else {
            attempt
        };
        response.headers_mut().insert(headers::ATTEMPT, attempt);
    }
    if instance.fault.get().draining {
        set_state(&mut response, "draining");
    }
    response
}

async fn serve_request(
    instance: &Rc<InstanceState>,
    request: Request<Incoming>,
) -> Response<ScriptedBody> {
    let Some(_slot) = SlotGuard::take(instance).await else {
        let mut response = Response::new(ScriptedBody::whole("shed"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        set_state(&mut response, "shed");
        return response;
    };
    if request.uri().path() == HEALTH_PATH {
        sleep(Duration::from_millis(PROBE_MS)).await;
        return Response::new(ScriptedBody::whole("healthy"));
    }
    let fault = instance.fault.get();
    instance
        .ledger
        .borrow_mut()
        .push(entry_of(instance, &request));
    if fault.hang {
        sleep(Duration::from_millis(HANG_MS)).await;
    }
    instance.served.set(instance.served.get() + 1);
    sleep(Duration::from_millis(work_millis(instance, fault))).await;
    let path = request.uri().path().to_owned();
    let body = if let Some(count) = path.strip_prefix(BIG_PATH) {
        ScriptedBody::filled(count.parse().unwrap_or(0))
    } else {
        let received = received_bytes(request.into_body()).await;
        ScriptedBody::whole(format!("{{\"path\":\"{path}\",\"received\":{received}}}"))
    };
    let mut response = Response::new(if fault.short { body.cut() } else { body });
    if percent(instance, fault.error_percent) {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}

fn work_millis(instance: &InstanceState, fault: FaultScript) -> u64 {
    let is_slow = fault.slow_percent == 0 || percent(instance, fault.slow_percent);
    let factor = if is_slow {
        u64::from(fault.slow_factor.max(1))
    } else {
        1
    };
    let cold = if instance.served.get() < COLD_REQUESTS {
        COLD_FACTOR
    } else {
        1
    };
    instance.service_ms * factor * cold
}

fn percent(instance: &InstanceState, percent: u32) -> bool {
    percent > 0 && instance.random.borrow_mut().random_range(0..100) < percent
}

async fn received_bytes(mut body: Incoming) -> usize {
    let mut received = 0;
    while let Some(Ok(frame)) = body.frame().await {
        received += frame.data_ref().map_or(0, |data| data.len());
    }
    received
}

fn entry_of(instance: &InstanceState, request: &Request<Incoming>) -> RunEntry {
    let text = |name: &str| {
        let value = request.headers().get(name);
        value.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
    };
    RunEntry {
        instance: instance.address,
        request: text(REQUEST_ID).unwrap_or_default(),
        workspace: text(headers::WORKSPACE).unwrap_or_default(),
        admitted_at: text(headers::ADMITTED_AT)
            .and_then(|value| value.parse().ok())
            .unwrap_or(0),
        started_at: ClockTime::now().as_millis(),
        idempotent: request.method().is_idempotent(),
        saw_key: shows_key(request.headers(), &request.uri().to_string()),
    }
}

fn shows_key(header_map: &HeaderMap, uri: &str) -> bool {
    let holds = |text: &[u8]| {
        text.windows(KEY_PREFIX.len())
            .any(|window| window.eq_ignore_ascii_case(KEY_PREFIX.as_bytes()))
    };
    let in_headers = header_map.values().any(|value| holds(value.as_bytes()));
    in_headers || header_map.contains_key(headers::KEY) || holds(uri.as_bytes())
}

fn set_state(response: &mut Response<ScriptedBody>, state: &'static str) {
    let value = hyper::header::HeaderValue::from_static(state);
    response
        .headers_mut()
        .insert(headers::UPSTREAM_STATE, value);
}

/// One of the three slots, given back when dropped.
struct SlotGuard(Rc<InstanceState>);

impl SlotGuard {
    async fn take(instance: &Rc<InstanceState>) -> Option<Self> {
        if instance.working.get() >= SLOTS && instance.queued.get() >= QUEUE {
            return None;
        }
        instance.queued.set(instance.queued.get() + 1);
        while instance.working.get() >= SLOTS {
            sleep(Duration::from_millis(SLOT_CHECK_MS)).await;
        }
        instance.queued.set(instance.queued.get() - 1);
        instance.working.set(instance.working.get() + 1);
        Some(SlotGuard(Rc::clone(instance)))
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.working.set(self.0.working.get() - 1);
    }
}
