//! Requests that one host has another one send to an instance.

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::ToCompactString;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;

use crate::buffered_response::BufferedResponse;
use crate::edge_refusal::EdgeReason;
use crate::edge_refusal::EdgeRefusal;
use crate::peer_message::WireDeparture;

/// Request that another host sends to an instance.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RelayRequest {
    /// Id of the caller's attempt.
    pub(crate) id: CompactString,
    /// Service that the request is for.
    pub(crate) service: CompactString,
    /// Whether the request may be executed more than once.
    pub(crate) is_idempotent: bool,
    /// Number of attempts that may run the request.
    pub(crate) max_attempts: u32,
    /// Response-time objective in milliseconds.
    pub(crate) objective_ms: u64,
    /// Milliseconds until the caller must have its response.
    pub(crate) remaining_ms: u64,
    /// HTTP method.
    pub(crate) method: CompactString,
    /// Path and query.
    pub(crate) path: CompactString,
    /// Headers for the instance.
    pub(crate) headers: WireHeaders,
    /// Whole body.
    pub(crate) body: Vec<u8>,
}

/// Answer of the host that a request was relayed to.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RelayAnswer {
    /// What became of the request.
    pub(crate) outcome: RelayOutcome,
    /// Starts of instances that are leaving, as far as the answering host knows.
    pub(crate) departures: Vec<WireDeparture>,
}

/// What became of a relayed request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum RelayOutcome {
    /// An instance responded.
    Responded(WireResponse),
    /// The host gave up, with the milliseconds after which the caller should retry.
    Refused(WireReason, Option<u64>),
}

/// Response of an instance.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireResponse {
    status: u16,
    headers: WireHeaders,
    body: Vec<u8>,
}

/// Names and values of headers.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct WireHeaders(Vec<(CompactString, Vec<u8>)>);

/// Why a host gave up on a relayed request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum WireReason {
    NoPath,
    Stopping,
    NotSent,
    NoInstance,
    InstancesOnHold,
    RetriesExhausted,
    TimeBeforeSend,
    TimeAfterSend,
    InstanceFailed,
}

impl From<&HeaderMap> for WireHeaders {
    fn from(headers: &HeaderMap) -> Self {
        let entries = headers.iter();
        let encode = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_compact_string(), value.as_bytes().to_vec())
        };
        WireHeaders(entries.map(encode).collect())
    }
}

impl TryFrom<WireHeaders> for HeaderMap {
    type Error = hyper::http::Error;

    fn try_from(wire: WireHeaders) -> Result<Self, Self::Error> {
        let mut headers = HeaderMap::new();
        for (name, value) in wire.0 {
            let name = HeaderName::from_bytes(name.as_bytes())?;
            headers.append(name, HeaderValue::from_maybe_shared(Bytes::from(value))?);
        }
        Ok(headers)
    }
}

impl From<BufferedResponse> for WireResponse {
    fn from(response: BufferedResponse) -> Self {
        WireResponse {
            status: response.status.as_u16(),
            headers: (&response.headers).into(),
            body: response.body.bytes().to_vec(),
        }
    }
}

impl TryFrom<WireResponse> for BufferedResponse {
    type Error = hyper::http::Error;

    fn try_from(wire: WireResponse) -> Result<Self, Self::Error> {
        Ok(BufferedResponse {
            status: StatusCode::from_u16(wire.status)?,
            headers: wire.headers.try_into()?,
            body: Bytes::from(wire.body).into(),
        })
    }
}

impl From<EdgeReason> for WireReason {
    fn from(reason: EdgeReason) -> Self {
        match reason {
            EdgeReason::NoPath => WireReason::NoPath,
            EdgeReason::Stopping => WireReason::Stopping,
            EdgeReason::NoInstance => WireReason::NoInstance,
            // Hosts of the build before know no reason of its own for limits.
            EdgeReason::InstancesOnHold | EdgeReason::InstancesLimited => {
                WireReason::InstancesOnHold
            }
            EdgeReason::RetriesExhausted => WireReason::RetriesExhausted,
            EdgeReason::TimeBeforeSend => WireReason::TimeBeforeSend,
            EdgeReason::TimeAfterSend => WireReason::TimeAfterSend,
            EdgeReason::CrashesInstances | EdgeReason::InstanceFailed => WireReason::InstanceFailed,
            // The others refuse a request before it is forwarded.
            EdgeReason::NotSent
            | EdgeReason::NoConfig
            | EdgeReason::NoHosts
            | EdgeReason::StaleEvidence
            | EdgeReason::NoRoute
            | EdgeReason::KeyMissing
            | EdgeReason::KeyUnknown
            | EdgeReason::BodyTooLarge
            | EdgeReason::BodyUnread
            | EdgeReason::NoRoom
            | EdgeReason::OverLimit
            | EdgeReason::Overloaded => WireReason::NotSent,
        }
    }
}

impl From<WireReason> for EdgeReason {
    fn from(wire: WireReason) -> Self {
        match wire {
            WireReason::NoPath => EdgeReason::NoPath,
            WireReason::Stopping => EdgeReason::Stopping,
            WireReason::NotSent => EdgeReason::NotSent,
            WireReason::NoInstance => EdgeReason::NoInstance,
            WireReason::InstancesOnHold => EdgeReason::InstancesOnHold,
            WireReason::RetriesExhausted => EdgeReason::RetriesExhausted,
            WireReason::TimeBeforeSend => EdgeReason::TimeBeforeSend,
            WireReason::TimeAfterSend => EdgeReason::TimeAfterSend,
            WireReason::InstanceFailed => EdgeReason::InstanceFailed,
        }
    }
}

impl From<Result<BufferedResponse, EdgeRefusal>> for RelayOutcome {
    fn from(result: Result<BufferedResponse, EdgeRefusal>) -> Self {
        match result {
            Ok(response) => RelayOutcome::Responded(response.into()),
            Err(refusal) => RelayOutcome::Refused(refusal.reason.into(), refusal.retry_after_ms),
        }
    }
}
