//! One connection of the HTTP server, from its first request to its close.
//!
//! The kernel resets a connection that is closed while it holds bytes that
//! nobody has read, or that gets more of them afterwards, and the caller may
//! lose its response with it. A connection that is told to close is therefore
//! read until nothing waits on it, and one that ends after a response is read
//! on for as long as its caller sends.

use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::future::poll_fn;
use std::mem;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use compio::io::AsyncRead;
use compio::net::TcpStream;
use compio::time::sleep;
use compio::time::timeout;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::select;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper::service::service_fn;
use rustix::net::RecvFlags;
use rustix::net::recv;

use crate::ServerStop;
use crate::connect::close_when_unacknowledged;

/// Milliseconds for which a socket is still read after it was told to close.
///
/// Afterwards the socket is closed only once the kernel holds nothing for it:
/// it resets a socket that is closed with connections or bytes that nobody has
/// read, and the caller then cannot tell whether its request ran.
pub(crate) const LAST_READ_MS: u64 = 10;

/// Maximum number of times that the runtime is left to read the bytes which wait on a connection
/// that was told to close.
///
/// Bytes that still wait then belong to a request in progress.
const MAX_LAST_READS: usize = 16;

/// Maximum number of bytes that are read and thrown away after a response.
const MAX_REST_BYTES: usize = 8 * 1024 * 1024;

/// Milliseconds for which a caller may go on sending after its response.
const MAX_REST_MS: u64 = 1_000;

/// Size in bytes of the buffer for what is thrown away.
const REST_BUFFER_BYTES: usize = 16 * 1024;

/// Serves the requests on a connection of the caller at `address` until it ends, or `stop` closes it.
pub(crate) async fn serve_connection<H, F, B>(
    stream: TcpStream,
    address: SocketAddr,
    stop: ServerStop,
    idle_limit: Duration,
    handler: Rc<H>,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    // A connection whose socket options cannot be set is served all the same.
    let _ = stream.set_nodelay(true);
    let _ = close_when_unacknowledged(&stream);
    let has_body = Rc::new(Cell::new(false));
    let last_has_body = Rc::clone(&has_body);
    let service = service_fn(move |request: Request<Incoming>| {
        has_body.set(!request.body().is_end_stream());
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler(address, request).await) }.boxed_local()
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(idle_limit)
        .serve_connection(HyperStream::new_plain(stream.clone()), service);
    let end = run_connection(connection, &stream, &stop).await;
    if end == ConnectionEnd::Response && last_has_body.get() {
        discard_rest(stream).await;
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// A response was written, or the caller closed the connection.
    Response,
    /// It was idle.
    Idle,
    /// It failed, or the caller sent nothing for too long.
    Failed,
}

impl<T, E> From<Result<T, E>> for ConnectionEnd {
    fn from(result: Result<T, E>) -> Self {
        match result {
            Ok(_) => ConnectionEnd::Response,
            Err(_) => ConnectionEnd::Failed,
        }
    }
}

/// Runs `connection` over `stream` until it ends, or `stop` closes it.
async fn run_connection<S, B>(
    mut connection: http1::Connection<HyperStream<TcpStream>, S>,
    stream: &TcpStream,
    stop: &ServerStop,
) -> ConnectionEnd
where
    S: HttpService<Incoming, ResBody = B> + Unpin,
    S::Future: Unpin,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let closed = stop.connections_closed.raised();
    if let Either::Left((result, _)) = select(&mut connection, closed).await {
        return result.into();
    }
    let last_read = pin!(sleep(Duration::from_millis(LAST_READ_MS)));
    if let Either::Left((result, _)) = select(&mut connection, last_read).await {
        return result.into();
    }
    for _ in 0..MAX_LAST_READS {
        if !has_unread_bytes(stream) {
            break;
        }
        if let Either::Left((result, _)) = select(&mut connection, pin!(runtime_round())).await {
            return result.into();
        }
    }
    Pin::new(&mut connection).graceful_shutdown();
    // An idle connection is done at once, and is closed without reading from it again.
    let is_idle = poll_fn(|cx| Poll::Ready(connection.poll_without_shutdown(cx).is_ready())).await;
    if is_idle {
        return ConnectionEnd::Idle;
    }
    connection.await.into()
}

/// Reads what the caller still sends after its response, until it closes the connection.
///
/// The kernel would reset a connection that is closed before, and the caller
/// could lose the response.
async fn discard_rest(mut stream: TcpStream) {
    let reading = async {
        let mut buffer = Vec::with_capacity(REST_BUFFER_BYTES);
        let mut bytes = 0;
        while bytes < MAX_REST_BYTES {
            buffer.clear();
            let result = stream.read(buffer).await;
            let Ok(count @ 1..) = result.0 else {
                return;
            };
            bytes += count;
            buffer = result.1;
        }
    };
    let _ = timeout(Duration::from_millis(MAX_REST_MS), reading).await;
}

/// Whether the kernel holds bytes of `stream` that were not read.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    matches!(recv(stream, &mut [0], flags), Ok((1.., _)))
}

/// Lets the runtime finish once what it can on its sockets.
pub(crate) async fn runtime_round() {
    let mut is_over = false;
    poll_fn(|cx| {
        if mem::replace(&mut is_over, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
