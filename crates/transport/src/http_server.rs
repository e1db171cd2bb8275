//! HTTP/1.1 server that runs one task for each connection.

use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use compio::io::AsyncRead;
use compio::net::TcpListener;
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
use rustix::io::Errno;
use rustix::net::RecvFlags;
use rustix::net::SocketFlags;
use rustix::net::accept_with;
use rustix::net::recv;

use crate::ServerStop;
use crate::connect::ACCEPT_RETRY_DELAY;
use crate::connect::LISTEN_BACKLOG;
use crate::connect::close_when_unacknowledged;

/// Milliseconds for which a socket is still read after it was told to close.
///
/// Afterwards the socket is closed only once the kernel holds nothing for it:
/// it resets a socket that is closed with connections or bytes that nobody has
/// read, and the caller then cannot tell whether its request ran.
const LAST_READ_MS: u64 = 10;

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

/// Milliseconds after which an idle connection is closed, unless the server has another limit.
const DEFAULT_IDLE_MS: u64 = 30_000;

/// Serves every accepted connection with `handler`, and accepts connections until `stop` closes
/// the listener.
///
/// Connections that wait to be accepted at that time are served as well. When
/// `stop` closes the connections, each of them finishes its current request
/// first. While `max_connections` are open, each further one is closed as soon
/// as it is accepted.
pub async fn serve_http<H, F, B>(
    listener: TcpListener,
    stop: ServerStop,
    max_connections: usize,
    handler: H,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    serve_http_with_idle_limit(listener, stop, max_connections, || DEFAULT_IDLE_MS, handler).await;
}

/// Serves like [`serve_http`], and closes a connection that has been idle for the milliseconds
/// that `idle_limit_ms` returned when it was accepted.
pub async fn serve_http_with_idle_limit<H, F, B>(
    listener: TcpListener,
    stop: ServerStop,
    max_connections: usize,
    idle_limit_ms: impl Fn() -> u64,
    handler: H,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let listener_guard = stop.register_listener();
    let handler = Rc::new(handler);
    let serve = |accepted: io::Result<(TcpStream, SocketAddr)>| {
        let Ok((stream, address)) = accepted else {
            return;
        };
        if stop.open_connections() >= max_connections {
            return;
        }
        let guard = stop.register_connection();
        let idle_limit = Duration::from_millis(idle_limit_ms());
        let handler = Rc::clone(&handler);
        let served = serve_connection(stream, address, stop.clone(), idle_limit, handler);
        let task = async move {
            served.await;
            drop(guard);
        };
        compio::runtime::spawn(task).detach();
    };
    accept_until(&listener, stop.listener_closed.raised(), serve).await;
    let last_read = pin!(sleep(Duration::from_millis(LAST_READ_MS)));
    accept_until(&listener, last_read, serve).await;
    // A dropped operation keeps the socket open until the next round of the runtime.
    runtime_round().await;
    // No more than these can have waited, so callers that go on connecting cannot keep it open.
    for _ in 0..=LISTEN_BACKLOG {
        let Some(accepted) = accept_waiting(&listener) else {
            break;
        };
        serve(accepted);
    }
    drop(listener);
    drop(listener_guard);
}

/// Accepts a connection that waits, `None` if the kernel has none.
fn accept_waiting(listener: &TcpListener) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    let stream = match accept_with(listener, SocketFlags::CLOEXEC) {
        Ok(socket) => std::net::TcpStream::from(socket),
        Err(Errno::AGAIN) => return None,
        Err(error) => return Some(Err(error.into())),
    };
    let accepted = stream
        .peer_addr()
        .and_then(|address| Ok((TcpStream::from_std(stream)?, address)));
    Some(accepted)
}

/// Passes accepted connections to `serve` until `end` completes and no connection waits.
async fn accept_until(
    listener: &TcpListener,
    mut end: impl Future<Output = ()> + Unpin,
    serve: impl Fn(io::Result<(TcpStream, SocketAddr)>),
) {
    loop {
        let accept = pin!(listener.accept());
        // An accepted connection comes first, because it would be reset with the operation.
        match select(accept, &mut end).await {
            Either::Left((accepted, _)) => {
                let has_failed = accepted.is_err();
                serve(accepted);
                if has_failed {
                    // Without a free file descriptor the next one would fail at once as well.
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
            Either::Right(_) => return,
        }
    }
}

async fn serve_connection<H, F, B>(
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
async fn runtime_round() {
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
