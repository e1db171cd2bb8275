//! Errors of the transport layer.

use std::net::SocketAddr;

use displaydoc::Display;

use crocushoist_protocol::ProtocolError;

/// Error of the transport layer.
#[derive(Debug, Display)]
pub enum TransportError {
    /// cannot listen on {address}: {error}
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operation.
        error: std::io::Error,
    },
    /// cannot connect to {address}: {error}
    Connect {
        /// Address of the remote side.
        address: SocketAddr,
        /// Error of the operation.
        error: std::io::Error,
    },
    /// {address} did not respond within {timeout_ms} ms
    Timeout {
        /// Address of the remote side.
        address: SocketAddr,
        /// Timeout in milliseconds.
        timeout_ms: u64,
    },
    /// HTTP exchange with {address} failed: {error}
    Http {
        /// Address of the remote side.
        address: SocketAddr,
        /// Error of the operation.
        error: hyper::Error,
    },
    /// the response of {address} is longer than {max_bytes} bytes
    TooLong {
        /// Address of the remote side.
        address: SocketAddr,
        /// Maximum length in bytes.
        max_bytes: usize,
    },
    /// {address} responded with status {status}: {body}
    Status {
        /// Address of the remote side.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Body of the response as text.
        body: String,
    },
    /// invalid response: {0}
    Protocol(ProtocolError),
}

impl std::error::Error for TransportError {}

impl From<ProtocolError> for TransportError {
    fn from(error: ProtocolError) -> Self {
        TransportError::Protocol(error)
    }
}
