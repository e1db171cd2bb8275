//! Responses of the host itself in place of an instance's.
//!
//! The statuses 408, 421, 429 and 503 promise that the request was not run and
//! will not be; 502 and 504 leave that open.

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use crocushoist_transport::ResponseBody;

/// Why the host itself responds to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EdgeReason {
    /// The host has no configuration yet.
    NoConfig,
    /// The host does not know the registered hosts yet, with which it shares the limits.
    NoHosts,
    /// The evidence that no configuration was missed is too old to admit a request with a key.
    StaleEvidence,
    /// The host is stopping and may end before the deadline of the request.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The request has no key and the route needs one.
    KeyMissing,
    /// No workspace has the key.
    KeyUnknown,
    /// The request body is larger than allowed.
    BodyTooLarge,
    /// The request body could not be read completely before the deadline.
    BodyUnread,
    /// The host has no memory for the request, or needed its place.
    NoRoom,
    /// The workspace has reached its limit.
    OverLimit,
    /// The queues at all healthy instances are longer than the objective allows.
    Overloaded,
    /// No instance accepts requests, or each that does was tried.
    NoInstance,
    /// Each usable instance wants no requests from this host for a time.
    InstancesOnHold,
    /// Each usable instance named a limit, and no request of this host's part is left.
    InstancesLimited,
    /// Instances crashed under this request wherever it ran.
    CrashesInstances,
    /// This host reaches no instance of the service, and no other host took the request.
    NoPath,
    /// No further attempt is allowed and none ran the request.
    RetriesExhausted,
    /// Too many attempts did not reach the chosen instance.
    NotSent,
    /// The attempts failed, and one possibly ran the request.
    InstanceFailed,
    /// The deadline passed, and no attempt ran the request.
    TimeBeforeSend,
    /// The deadline passed after an attempt possibly ran the request.
    TimeAfterSend,
}

/// Response of the host itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EdgeRefusal {
    /// Why the request was refused.
    pub(crate) reason: EdgeReason,
    /// Milliseconds after which the caller should retry.
    pub(crate) retry_after_ms: Option<u64>,
}

impl EdgeReason {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            EdgeReason::NoConfig => "no_config",
            EdgeReason::NoHosts => "no_hosts",
            EdgeReason::StaleEvidence => "stale_evidence",
            EdgeReason::Stopping => "stopping",
            EdgeReason::NoRoute => "no_route",
            EdgeReason::KeyMissing => "key_missing",
            EdgeReason::KeyUnknown => "key_unknown",
            EdgeReason::BodyTooLarge => "body_too_large",
            EdgeReason::BodyUnread => "body_unread",
            EdgeReason::NoRoom => "no_room",
            EdgeReason::OverLimit => "over_limit",
            EdgeReason::Overloaded => "overloaded",
            EdgeReason::NoInstance => "no_instance",
            EdgeReason::InstancesOnHold => "instances_on_hold",
            EdgeReason::InstancesLimited => "instances_limited",
            EdgeReason::CrashesInstances => "crashes_instances",
            EdgeReason::NoPath => "no_path",
            EdgeReason::RetriesExhausted => "not_run_anywhere",
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
            | EdgeReason::Stopping
            | EdgeReason::NoRoom
            | EdgeReason::Overloaded
            | EdgeReason::NoInstance
            | EdgeReason::InstancesOnHold
            | EdgeReason::InstancesLimited
            | EdgeReason::NoPath
            | EdgeReason::RetriesExhausted
            | EdgeReason::NotSent
            | EdgeReason::TimeBeforeSend => StatusCode::SERVICE_UNAVAILABLE,
            // A promise that the request was not run would call its caller back.
            EdgeReason::CrashesInstances | EdgeReason::InstanceFailed => StatusCode::BAD_GATEWAY,
            EdgeReason::TimeAfterSend => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl EdgeRefusal {
    /// Refusal without a retry delay.
    pub(crate) fn new(reason: EdgeReason) -> Self {
        EdgeRefusal {
            reason,
            retry_after_ms: None,
        }
    }

    /// Refusal with the milliseconds after which the caller should retry.
    pub(crate) fn with_retry_after(reason: EdgeReason, retry_after_ms: u64) -> Self {
        EdgeRefusal {
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// HTTP status of the response.
    pub(crate) fn status(&self) -> StatusCode {
        self.reason.status()
    }

    /// Response to the caller, with the reason as its body.
    pub(crate) fn response(&self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::buffered(self.reason.name()));
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
