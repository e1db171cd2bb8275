//! Answers of the host's own in place of an instance's.
//!
//! 408, 421, 429 and 503 promise that the request has not run and never will;
//! 502 and 504 promise nothing.

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use crocushoist_transport::AnswerBody;

/// Why a request gets an answer of the host's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EdgeReason {
    /// No configuration is known yet.
    NoConfig,
    /// The registered hosts, which share the limits, are not known yet.
    NoHosts,
    /// The proof of the configuration is too old to admit a keyed request.
    StaleEvidence,
    /// No route matches.
    NoRoute,
    /// The request carries no key and the route is not open.
    KeyMissing,
    /// The key is not granted.
    KeyUnknown,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body could not be read.
    BodyUnread,
    /// The workspace is beyond its limit.
    OverLimit,
    /// Every sound instance has more waiting than the objective allows.
    Overloaded,
    /// No instance takes requests.
    NoInstance,
    /// Every instance that was tried told that it did not run the request.
    NotRunAnywhere,
    /// The request could not be sent and the budget for retries is spent.
    NotSent,
    /// An instance failed after the request was sent.
    InstanceFailed,
    /// Time ran out before the request was sent.
    TimeBeforeSend,
    /// Time ran out after the request was sent.
    TimeAfterSend,
}

/// Answer of the host's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EdgeRefusal {
    /// Why.
    pub(crate) reason: EdgeReason,
    /// Milliseconds after which the caller does well to come back.
    pub(crate) retry_after_ms: Option<u64>,
}

impl EdgeReason {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            EdgeReason::NoConfig => "no_config",
            EdgeReason::NoHosts => "no_hosts",
            EdgeReason::StaleEvidence => "stale_evidence",
            EdgeReason::NoRoute => "no_route",
            EdgeReason::KeyMissing => "key_missing",
            EdgeReason::KeyUnknown => "key_unknown",
            EdgeReason::BodyTooLarge => "body_too_large",
            EdgeReason::BodyUnread => "body_unread",
            EdgeReason::OverLimit => "over_limit",
            EdgeReason::Overloaded => "overloaded",
            EdgeReason::NoInstance => "no_instance",
            EdgeReason::NotRunAnywhere => "not_run_anywhere",
            EdgeReason::NotSent => "not_sent",
            EdgeReason::InstanceFailed => "instance_failed",
            EdgeReason::TimeBeforeSend => "time_before_send",
            EdgeReason::TimeAfterSend => "time_after_send",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            EdgeReason::NoRoute => StatusCode::NOT_FOUND,
            EdgeReason::KeyMissing | EdgeReason::KeyUnknown => StatusCode::UNAUTHORIZED,
            EdgeReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            EdgeReason::BodyUnread => StatusCode::REQUEST_TIMEOUT,
            EdgeReason::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            EdgeReason::NoConfig
            | EdgeReason::NoHosts
            | EdgeReason::StaleEvidence
            | EdgeReason::Overloaded
            | EdgeReason::NoInstance
            | EdgeReason::NotRunAnywhere
            | EdgeReason::NotSent
            | EdgeReason::TimeBeforeSend => StatusCode::SERVICE_UNAVAILABLE,
            EdgeReason::InstanceFailed => StatusCode::BAD_GATEWAY,
            EdgeReason::TimeAfterSend => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl EdgeRefusal {
    /// Refusal without a time to come back.
    pub(crate) fn new(reason: EdgeReason) -> Self {
        EdgeRefusal {
            reason,
            retry_after_ms: None,
        }
    }

    /// Refusal with the milliseconds after which to come back.
    pub(crate) fn with_retry_after(reason: EdgeReason, retry_after_ms: u64) -> Self {
        EdgeRefusal {
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Status as the caller sees it.
    pub(crate) fn status(&self) -> StatusCode {
        self.reason.status()
    }

    /// Answer to the caller.
    pub(crate) fn response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.reason.name()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = format!("{:.2}", retry_after_ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
