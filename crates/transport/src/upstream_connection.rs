//! Outgoing HTTP/1.1 connection, in most cases to an instance of a service.
//!
//! Dropping the connection closes it at once, and an instance may treat that
//! as a cancellation of the request. Reuse a connection only after the response
//! has been received in full.

use std::net::IpAddr;
use std::net::SocketAddr;

use compio::runtime::JoinHandle;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::rt::Read;
use hyper::rt::Write;

use crate::RequestBody;
use crate::TransportError;
use crate::bounded_stream::BoundedStream;
use crate::bounded_stream::ReadAllowance;
use crate::connect_from;
use crate::send_progress::SendProgress;
use crate::send_progress::SentBody;
use crate::socket_stream::SocketStream;

/// Maximum number of bytes that are read before the head of the response is complete.
///
/// The buffer of the HTTP client holds less, but interim responses pass through it one after the
/// other.
const MAX_BYTES_BEFORE_RESPONSE: usize = 1024 * 1024;

/// Maximum size in bytes of the buffers of the HTTP library, and so of the head of a response.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Why sending a request failed.
#[derive(Debug)]
pub enum AttemptFailure {
    /// No byte of the request left this host; carries the request, to be sent elsewhere.
    NotWritten(Box<Request<RequestBody>>),
    /// Bytes of the request may have left this host.
    MaybeWritten(TransportError),
}

/// Outgoing HTTP/1.1 connection.
#[derive(Debug)]
pub struct UpstreamConnection {
    address: SocketAddr,
    sender: http1::SendRequest<SentBody>,
    allowance: ReadAllowance,
    progress: SendProgress,
    _task: JoinHandle<()>,
}

impl UpstreamConnection {
    /// Connects from the local address `source` to `address`.
    ///
    /// Fails with `Timeout` after `timeout_ms` milliseconds, with `Connect` on a
    /// socket error, and with `Http` if the HTTP handshake fails.
    pub async fn connect(
        source: Option<IpAddr>,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Self, TransportError> {
        let stream = connect_from(source, address, timeout_ms).await?;
        UpstreamConnection::over(address, SocketStream::new(stream)).await
    }

    /// Connection to `address` over `stream`; fails with `Http` if the HTTP handshake fails.
    pub async fn over<S>(address: SocketAddr, stream: S) -> Result<Self, TransportError>
    where
        S: Read + Write + Unpin + 'static,
    {
        let allowance = ReadAllowance::new(MAX_BYTES_BEFORE_RESPONSE);
        let progress = SendProgress::default();
        let stream = BoundedStream::new(stream, allowance.clone(), progress.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(stream)
            .await
            .map_err(|error| TransportError::Http { address, error })?;
        let task = compio::runtime::spawn(async move {
            let _ = connection.await;
        });
        Ok(UpstreamConnection {
            address,
            sender,
            allowance,
            progress,
            _task: task,
        })
    }

    /// Address of the remote side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection is open and ready for a request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends `request` and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        self.allowance.set(Some(MAX_BYTES_BEFORE_RESPONSE));
        let request = request.map(|body| self.progress.watch(body));
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                // Who reads the body bounds it.
                self.allowance.set(None);
                Ok(response)
            }
            Err(mut failure) => match failure.take_message() {
                Some(request) => {
                    let request = request.map(SentBody::into_inner);
                    Err(AttemptFailure::NotWritten(Box::new(request)))
                }
                None => Err(AttemptFailure::MaybeWritten(TransportError::Http {
                    address: self.address,
                    error: failure.into_error(),
                })),
            },
        }
    }
}
