//! HTTP clients of the platform's log and of its host list.
//!
//! Both count their traffic in a [`ByteMeter`]: the bytes of the listing, page or
//! record that is transferred, plus a fixed estimate for the headers.

use std::net::IpAddr;
use std::net::SocketAddr;

use bytes::Bytes;

use crocushoist_protocol::AppendAnswer;
use crocushoist_protocol::HostListing;
use crocushoist_protocol::LogPage;
use crocushoist_protocol::ProtocolError;

use crate::ByteMeter;
use crate::HttpClient;
use crate::TransportError;

/// Estimated bytes of headers of one request and its response.
const EXCHANGE_OVERHEAD_BYTES: u64 = 250;

/// Client of the platform's log.
#[derive(Debug)]
pub struct LogClient {
    http: HttpClient,
    meter: ByteMeter,
}

impl LogClient {
    /// Client of the log at `address`; each request fails after `timeout_ms` milliseconds.
    pub fn new(
        source: Option<IpAddr>,
        address: SocketAddr,
        timeout_ms: u64,
        meter: ByteMeter,
    ) -> Self {
        LogClient {
            http: HttpClient::new(source, address, timeout_ms),
            meter,
        }
    }

    /// Reads up to `max` records, starting at offset `from`.
    ///
    /// Fails as [`HttpClient::call_ok`] does, and with `Protocol` on an invalid response.
    pub async fn read(&mut self, from: u64, max: usize) -> Result<LogPage, TransportError> {
        let path = format!("/records?from={from}&max={max}");
        let body = self.http.call_ok("GET", &path, Bytes::new()).await?;
        self.meter.add(body.len() as u64 + EXCHANGE_OVERHEAD_BYTES);
        serde_json::from_slice(&body).map_err(|error| ProtocolError::from(error).into())
    }

    /// Appends a record and returns its offset.
    ///
    /// Fails as [`LogClient::read`] does; after any failure the record may still have been appended.
    pub async fn append(&mut self, record: &[u8]) -> Result<u64, TransportError> {
        let text = LogPage::encode(record);
        self.meter.add(text.len() as u64 + EXCHANGE_OVERHEAD_BYTES);
        let body = self
            .http
            .call_ok("POST", "/records", Bytes::from(text))
            .await?;
        let appended: AppendAnswer = serde_json::from_slice(&body).map_err(ProtocolError::from)?;
        Ok(appended.offset)
    }
}

/// Client of the platform's host list.
#[derive(Debug)]
pub struct HostListClient {
    http: HttpClient,
    meter: ByteMeter,
}

impl HostListClient {
    /// Client of the host list at `address`; each request fails after `timeout_ms` milliseconds.
    pub fn new(
        source: Option<IpAddr>,
        address: SocketAddr,
        timeout_ms: u64,
        meter: ByteMeter,
    ) -> Self {
        HostListClient {
            http: HttpClient::new(source, address, timeout_ms),
            meter,
        }
    }

    /// Reads the current host list.
    ///
    /// Fails as [`HttpClient::call_ok`] does, and with `Protocol` on an invalid response.
    pub async fn read(&mut self) -> Result<HostListing, TransportError> {
        let body = self.http.call_ok("GET", "/hosts", Bytes::new()).await?;
        self.meter.add(body.len() as u64 + EXCHANGE_OVERHEAD_BYTES);
        serde_json::from_slice(&body).map_err(|error| ProtocolError::from(error).into())
    }
}
