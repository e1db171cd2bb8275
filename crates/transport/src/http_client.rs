//! HTTP/1.1 client that sends one request at a time over one reused connection.
//!
//! The connection is reused only after a complete response. A request is sent
//! again only when none of its bytes left this host, which happens when the
//! server has closed the reused connection.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::time::timeout;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;

use crate::AttemptFailure;
use crate::RequestBody;
use crate::TransportError;
use crate::UpstreamConnection;

/// Maximum body of a response in bytes, several times that of the longest list or configuration.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body of the response.
    pub body: Bytes,
}

/// HTTP/1.1 client that sends one request at a time over one reused connection.
#[derive(Debug)]
pub struct HttpClient {
    source: Option<IpAddr>,
    address: SocketAddr,
    timeout_ms: u64,
    max_idle_ms: Option<u64>,
    idle_connection: Option<IdleConnection>,
}

/// Connection that waits for the next request.
#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
}

impl HttpClient {
    /// Client of `address` that connects from the local address `source`.
    ///
    /// Each request, including its complete response, fails after `timeout_ms` milliseconds.
    pub fn new(source: Option<IpAddr>, address: SocketAddr, timeout_ms: u64) -> Self {
        HttpClient {
            source,
            address,
            timeout_ms,
            max_idle_ms: None,
            idle_connection: None,
        }
    }

    /// Uses no connection again that was idle for more than `max_idle_ms` milliseconds.
    pub fn with_max_idle(mut self, max_idle_ms: u64) -> Self {
        self.max_idle_ms = Some(max_idle_ms);
        self
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the complete response, whatever its status.
    ///
    /// Fails with `Timeout`, with `TooLong`, or with `Connect` or `Http` if the connection fails.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpResponse, TransportError> {
        self.call_within(self.timeout_ms, method, path, headers, body)
            .await
    }

    /// Sends a request that fails after `timeout_ms` milliseconds, and reads the response as
    /// [`HttpClient::call`] does.
    pub async fn call_within(
        &mut self,
        timeout_ms: u64,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpResponse, TransportError> {
        let address = self.address;
        let request = build_request(address, method, path, headers, body)?;
        timeout(Duration::from_millis(timeout_ms), self.exchange(request))
            .await
            .unwrap_or(Err(TransportError::Timeout {
                address,
                timeout_ms,
            }))
    }

    /// Sends a request and returns the body of the response.
    ///
    /// Fails like [`HttpClient::call`], and with `Status` if the status is no success.
    pub async fn call_ok(
        &mut self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, TransportError> {
        let response = self.call(method, path, &[], body).await?;
        if response.status.is_success() {
            return Ok(response.body);
        }
        Err(TransportError::Status {
            address: self.address,
            status: response.status.as_u16(),
            body: String::from_utf8_lossy(&response.body).into_owned(),
        })
    }

    async fn exchange(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<HttpResponse, TransportError> {
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => UpstreamConnection::connect(self.source, self.address, self.timeout_ms).await?,
        };
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(AttemptFailure::MaybeWritten(error)) => return Err(error),
            Err(AttemptFailure::NotWritten(request)) => {
                connection =
                    UpstreamConnection::connect(self.source, self.address, self.timeout_ms).await?;
                let outcome = connection.send(*request).await;
                outcome.map_err(|failure| match failure {
                    AttemptFailure::NotWritten(_) => self.connection_reset(),
                    AttemptFailure::MaybeWritten(error) => error,
                })?
            }
        };
        let (head, body) = response.into_parts();
        let address = self.address;
        let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = collected
            .map_err(|error| match error.downcast() {
                Ok(error) => TransportError::Http {
                    address,
                    error: *error,
                },
                Err(_) => TransportError::TooLong {
                    address,
                    max_bytes: MAX_RESPONSE_BYTES,
                },
            })?
            .to_bytes();
        self.idle_connection = Some(IdleConnection {
            connection,
            since: Instant::now(),
        });
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn take_idle(&mut self) -> Option<UpstreamConnection> {
        let idle = self.idle_connection.take()?;
        let max_idle = self.max_idle_ms.map(Duration::from_millis);
        let is_recent = max_idle.is_none_or(|max_idle| idle.since.elapsed() <= max_idle);
        (is_recent && idle.connection.is_usable()).then_some(idle.connection)
    }

    fn connection_reset(&self) -> TransportError {
        TransportError::Connect {
            address: self.address,
            error: std::io::ErrorKind::ConnectionReset.into(),
        }
    }
}

fn build_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Request<RequestBody>, TransportError> {
    let mut builder = Request::builder().method(method).uri(path);
    if !headers.iter().any(|(name, _)| *name == HOST.as_str()) {
        builder = builder.header(HOST, address.to_string());
    }
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(RequestBody::buffered(body))
        .map_err(|error| TransportError::Connect {
            address,
            error: std::io::Error::other(error),
        })
}
