//! Errors of the transport layer.

use std::net::SocketAddr;

use displaydoc::Display;

use crocushoist_protocol::ProtocolError;

/// Error of the transport layer.
#[derive(Debug, Display)]
pub enum TransportError {
    /// cannot listen on {address}: {error}
    Listen {
        /// Address given.
        address: SocketAddr,
        /// Cause.
        error: std::io::Error,
    },
    /// cannot connect to {address}: {error}
    Connect {
        /// Address of the far side.
        address: SocketAddr,
        /// Cause.
        error: std::io::Error,
    },
    /// {address} did not answer within {millis} ms
    Timeout {
        /// Address of the far side.
        address: SocketAddr,
        /// Milliseconds waited.
        millis: u64,
    },
    /// exchange with {address} failed: {error}
    Http {
        /// Address of the far side.
        address: SocketAddr,
        /// Cause.
        error: hyper::Error,
    },
    /// {address} answered with status {status}: {body}
    Status {
        /// Address of the far side.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        body: String,
    },
    /// message cannot be read: {0}
    Protocol(ProtocolError),
}

impl std::error::Error for TransportError {}

impl From<ProtocolError> for TransportError {
    fn from(error: ProtocolError) -> Self {
        TransportError::Protocol(error)
    }
}
