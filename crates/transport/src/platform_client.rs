//! Clients of the platform's log and host list.

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

const EXCHANGE_OVERHEAD_BYTES: u64 = 250;

/// Client of the platform's log.
#[derive(Debug)]
pub struct LogClient {
    http: HttpClient,
    meter: ByteMeter,
}

impl LogClient {
    /// Client of the log at `address` that waits up to `millis` milliseconds.
    pub fn new(source: Option<IpAddr>, address: SocketAddr, millis: u64, meter: ByteMeter) -> Self {
        LogClient {
            http: HttpClient::new(source, address, millis),
            meter,
        }
    }

    /// Reads up to `max` records from offset `from` on.
    pub async fn read(&mut self, from: u64, max: usize) -> Result<LogPage, TransportError> {
        let path = format!("/records?from={from}&max={max}");
        let body = self.http.call_ok("GET", &path, Bytes::new()).await?;
        self.meter.add(body.len() as u64 + EXCHANGE_OVERHEAD_BYTES);
        serde_json::from_slice(&body).map_err(|error| ProtocolError::from(error).into())
    }

    /// Appends a record and returns its offset.
    pub async fn append(&mut self, record: &[u8]) -> Result<u64, TransportError> {
        let text = LogPage::encode(record);
        self.meter.add(text.len() as u64 + EXCHANGE_OVERHEAD_BYTES);
        let body = self
            .http
            .call_ok("POST", "/records", Bytes::from(text))
            .await?;
        let answer: AppendAnswer = serde_json::from_slice(&body).map_err(ProtocolError::from)?;
        Ok(answer.offset)
    }
}

/// Client of the platform's host list.
#[derive(Debug)]
pub struct HostListClient {
    http: HttpClient,
    meter: ByteMeter,
}

impl HostListClient {
    /// Client of the host list at `address` that waits up to `millis` milliseconds.
    pub fn new(source: Option<IpAddr>, address: SocketAddr, millis: u64, meter: ByteMeter) -> Self {
        HostListClient {
            http: HttpClient::new(source, address, millis),
            meter,
        }
    }

    /// Reads the list.
    pub async fn read(&mut self) -> Result<HostListing, TransportError> {
        let body = self.http.call_ok("GET", "/hosts", Bytes::new()).await?;
        self.meter.add(body.len() as u64 + EXCHANGE_OVERHEAD_BYTES);
        serde_json::from_slice(&body).map_err(|error| ProtocolError::from(error).into())
    }
}
