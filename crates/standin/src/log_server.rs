//! Stand-in for the platform's append-only log.
//!
//! Appends and reads by offset, keeps a limited number of records, and can be
//! told to be out, to lose the replies of appends or to be slow.

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

use crocushoist_protocol::AppendAnswer;
use crocushoist_protocol::LogPage;
use crocushoist_transport::ResponseBody;
use crocushoist_transport::TransportError;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_http;

use crate::control_body::answer_json;
use crate::control_body::answer_status;
use crate::control_body::read_bytes;
use crate::control_body::read_json;

/// How the log shall behave.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LogScript {
    /// Whether nothing is answered but errors.
    pub out: bool,
    /// Number of appends that take effect without a reply.
    pub lose_replies: u32,
    /// Records kept, all if zero.
    pub keep: usize,
    /// Milliseconds before each answer.
    pub delay_ms: u64,
}

/// What the log counted.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LogStats {
    /// Appended records.
    pub appends: u64,
    /// Answered reads.
    pub reads: u64,
    /// Bytes of appended records, encoded.
    pub append_bytes: u64,
}

#[derive(Debug, Default)]
struct LogState {
    script: LogScript,
    stats: LogStats,
    oldest: u64,
    records: VecDeque<String>,
}

impl LogState {
    fn append(&mut self, record: String) -> u64 {
        self.stats.appends += 1;
        self.stats.append_bytes += record.len() as u64;
        self.records.push_back(record);
        while self.script.keep > 0 && self.records.len() > self.script.keep {
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
pub async fn serve_log(address: SocketAddr) -> Result<(), TransportError> {
    let listener = listen_on(address).await?;
    let log = SharedLog::default();
    serve_http(
        listener,
        Default::default(),
        usize::MAX,
        move |_, request| answer(Rc::clone(&log), request),
    )
    .await;
    Ok(())
}

async fn answer(log: SharedLog, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/control") => {
            if let Some(script) = read_json(request.into_body()).await {
                log.borrow_mut().script = script;
            }
            answer_status(StatusCode::OK)
        }
        (Method::GET, "/stats") => answer_json(&log.borrow().stats),
        _ if log.borrow().script.out => answer_status(StatusCode::SERVICE_UNAVAILABLE),
        (Method::GET, "/records") => answer_read(&log, &request).await,
        (Method::POST, "/records") => answer_append(&log, request.into_body()).await,
        _ => answer_status(StatusCode::NOT_FOUND),
    }
}

async fn answer_read(log: &SharedLog, request: &Request<Incoming>) -> Response<ResponseBody> {
    delay(log).await;
    let query = request.uri().query().unwrap_or("");
    let number = |name: &str| {
        query
            .split('&')
            .find_map(|parameter| parameter.strip_prefix(name))
            .and_then(|value| value.parse::<u64>().ok())
    };
    let page = log.borrow_mut().read(
        number("from=").unwrap_or(0),
        number("max=").unwrap_or(100) as usize,
    );
    answer_json(&page)
}

async fn answer_append(log: &SharedLog, body: Incoming) -> Response<ResponseBody> {
    let Some(bytes) = read_bytes(body).await else {
        return answer_status(StatusCode::BAD_REQUEST);
    };
    delay(log).await;
    let record = String::from_utf8_lossy(&bytes).into_owned();
    let mut state = log.borrow_mut();
    let offset = state.append(record);
    if state.script.lose_replies > 0 {
        state.script.lose_replies -= 1;
        return answer_status(StatusCode::GATEWAY_TIMEOUT);
    }
    answer_json(&AppendAnswer { offset })
}

async fn delay(log: &SharedLog) {
    let millis = log.borrow().script.delay_ms;
    if millis > 0 {
        sleep(Duration::from_millis(millis)).await;
    }
}
