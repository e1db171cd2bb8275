//! Refusals of requests and the responses that report them to callers.

use std::net::SocketAddr;

use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use serde_json::json;

use crocushoist_protocol::RefusalReason;
use crocushoist_protocol::headers;
use crocushoist_transport::ResponseBody;

const DEFAULT_RETRY_AFTER_MS: u64 = 500;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub reason: RefusalReason,
    /// Milliseconds after which the caller may try again.
    pub retry_after_ms: u64,
    /// Addresses of other hosts to try.
    pub addresses: Vec<SocketAddr>,
}

impl Refusal {
    /// Refusal with the default retry delay.
    pub fn new(reason: RefusalReason) -> Self {
        Refusal::with_retry_after(reason, DEFAULT_RETRY_AFTER_MS)
    }

    /// Refusal with a retry delay in milliseconds, at least 1.
    pub fn with_retry_after(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Refusal {
            reason,
            retry_after_ms: retry_after_ms.max(1),
            addresses: Vec::new(),
        }
    }

    /// Response for the caller.
    pub fn response(&self) -> Response<ResponseBody> {
        let executed = if self.reason.may_have_executed() {
            "unknown"
        } else {
            "no"
        };
        let mut builder = Response::builder()
            .status(self.reason.status())
            .header(CONTENT_TYPE, "application/json")
            .header(headers::REASON, self.reason.name())
            .header(headers::EXECUTED, executed);
        let mut body = json!({ "reason": self.reason.name(), "ran": executed });
        if self.reason.is_retryable() {
            builder = builder
                .header(RETRY_AFTER, self.retry_after_ms.div_ceil(MILLIS_PER_SECOND))
                .header(headers::RETRY_AFTER_MS, self.retry_after_ms);
            body["retry_after_ms"] = json!(self.retry_after_ms);
        }
        if !self.addresses.is_empty() {
            let addresses: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
            builder = builder.header(headers::ADDRESSES, addresses.join(", "));
            body["addresses"] = json!(addresses);
        }
        builder
            .body(ResponseBody::buffered(body.to_string()))
            .unwrap_or_else(|_| Response::new(ResponseBody::buffered("")))
    }
}
