//! Stand-in for the platform's append-only log.
//!
//! Records are appended and read by offset. The log can be limited to its newest
//! records, and can be made unavailable or slow, or made to lose the responses
//! of appends that took effect.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_protocol::AppendResponse;
use crocushoist_protocol::LogPage;
use crocushoist_transport::ResponseBody;
use crocushoist_transport::TransportError;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_http;

use crate::control_body::json_response;
use crate::control_body::read_body;
use crate::control_body::read_json;
use crate::control_body::status_response;

/// Behaviour of the log; the default is to work and keep every record.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LogBehaviour {
    /// Whether reads and appends get HTTP 503.
    #[serde(rename = "out")]
    pub is_unavailable: bool,
    /// Number of coming appends that take effect but get HTTP 504 instead of their offset.
    pub lose_replies: u32,
    /// Number of newest records to keep; 0 keeps all.
    #[serde(rename = "keep")]
    pub max_records: usize,
    /// Delay in milliseconds of each read and append.
    pub delay_ms: u64,
}

/// Counters of the log since its start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LogStats {
    /// Number of appended records.
    pub appends: u64,
    /// Number of reads served.
    pub reads: u64,
    /// Size in bytes of all appended records, as encoded.
    pub append_bytes: u64,
}

#[derive(Debug, Default)]
struct LogState {
    behaviour: LogBehaviour,
    stats: LogStats,
    oldest: u64,
    records: VecDeque<String>,
}

impl LogState {
    fn append(&mut self, record: String) -> u64 {
        self.stats.appends += 1;
        self.stats.append_bytes += record.len() as u64;
        self.records.push_back(record);
        while self.behaviour.max_records > 0 && self.records.len() > self.behaviour.max_records {
            self.records.pop_front();
            self.oldest += 1;
        }
        self.tail() - 1
    }

    fn tail(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn read(&mut self, from: u64, max: usize) -> LogPage {
        self.stats.reads += 1;
        let first = from.clamp(self.oldest, self.tail());
        let skip = (first - self.oldest) as usize;
        LogPage {
            oldest: self.oldest,
            tail: self.tail(),
            first,
            records: self.records.iter().skip(skip).take(max).cloned().collect(),
        }
    }
}

type SharedLog = Rc<RefCell<LogState>>;

/// Serves the log at `address` for as long as the process runs.
///
/// Fails if it cannot listen at `address`.
pub async fn serve_log(address: SocketAddr) -> Result<(), TransportError> {
    let listener = listen_on(address).await?;
    let log = SharedLog::default();
    serve_http(
        listener,
        Default::default(),
        usize::MAX,
        move |_, request| handle_request(Rc::clone(&log), request),
    )
    .await;
    Ok(())
}

async fn handle_request(log: SharedLog, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/control") => {
            if let Some(behaviour) = read_json(request.into_body()).await {
                log.borrow_mut().behaviour = behaviour;
            }
            status_response(StatusCode::OK)
        }
        (Method::GET, "/stats") => json_response(&log.borrow().stats),
        _ if log.borrow().behaviour.is_unavailable => {
            status_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        (Method::GET, "/records") => handle_read(&log, &request).await,
        (Method::POST, "/records") => handle_append(&log, request.into_body()).await,
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

async fn handle_read(log: &SharedLog, request: &Request<Incoming>) -> Response<ResponseBody> {
    delay_response(log).await;
    let query = request.uri().query().unwrap_or("");
    let parameter_value = |name: &str| {
        query
            .split('&')
            .find_map(|parameter| parameter.strip_prefix(name))
            .and_then(|value| value.parse::<u64>().ok())
    };
    let page = log.borrow_mut().read(
        parameter_value("from=").unwrap_or(0),
        parameter_value("max=").unwrap_or(100) as usize,
    );
    json_response(&page)
}

async fn handle_append(log: &SharedLog, body: Incoming) -> Response<ResponseBody> {
    let Some(bytes) = read_body(body).await else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    delay_response(log).await;
    let record = String::from_utf8_lossy(&bytes).into_owned();
    let mut state = log.borrow_mut();
    let offset = state.append(record);
    if state.behaviour.lose_replies > 0 {
        state.behaviour.lose_replies -= 1;
        return status_response(StatusCode::GATEWAY_TIMEOUT);
    }
    json_response(&AppendResponse { offset })
}

async fn delay_response(log: &SharedLog) {
    let delay_ms = log.borrow().behaviour.delay_ms;
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
}
