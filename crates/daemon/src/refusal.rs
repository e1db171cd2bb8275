//! Refusals as callers receive them.

use std::net::SocketAddr;

use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use serde_json::json;

use crocushoist_protocol::RefusalReason;
use crocushoist_protocol::headers;
use crocushoist_transport::ResponseBody;

const DEFAULT_WAIT_MS: u64 = 500;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Milliseconds after which to come back.
    pub wait_millis: u64,
    /// Addresses to use instead.
    pub addresses: Vec<SocketAddr>,
}

impl Refusal {
    /// Refusal with the usual time to come back.
    pub fn new(reason: RefusalReason) -> Self {
        Refusal::after(reason, DEFAULT_WAIT_MS)
    }

    /// Refusal with the time to come back in milliseconds.
    pub fn after(reason: RefusalReason, wait_millis: u64) -> Self {
        Refusal {
            reason,
            wait_millis: wait_millis.max(1),
            addresses: Vec::new(),
        }
    }

    /// Answer to the caller.
    pub fn response(&self) -> Response<ResponseBody> {
        let ran = if self.reason.may_have_run() {
            "unknown"
        } else {
            "no"
        };
        let mut builder = Response::builder()
            .status(self.reason.status())
            .header(CONTENT_TYPE, "application/json")
            .header(headers::REASON, self.reason.name())
            .header(headers::RAN, ran);
        let mut body = json!({ "reason": self.reason.name(), "ran": ran });
        if self.reason.is_passing() {
            builder = builder
                .header(RETRY_AFTER, self.wait_millis.div_ceil(MILLIS_PER_SECOND))
                .header(headers::RETRY_AFTER_MS, self.wait_millis);
            body["retry_after_ms"] = json!(self.wait_millis);
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
