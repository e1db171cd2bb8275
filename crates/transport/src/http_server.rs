//! HTTP/1.1 server that runs one task for each connection.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::time::sleep;
use cyper_core::CompioTimer;
use cyper_core::HyperStream;
use futures_util::future::Either;
use futures_util::future::select;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::io::Errno;
use rustix::net::RecvFlags;
use rustix::net::SocketFlags;
use rustix::net::accept_with;
use rustix::net::recv;

use crate::ServerStop;
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
        let served = serve_connection(stream, address, stop.clone(), Rc::clone(&handler));
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
            Either::Left((accepted, _)) => serve(accepted),
            Either::Right(_) => return,
        }
    }
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    address: SocketAddr,
    stop: ServerStop,
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
    let service = service_fn(move |request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler(address, request).await) }
    });
    let socket = stream.clone();
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);
    if let Either::Left(_) = select(connection.as_mut(), stop.connections_closed.raised()).await {
        return;
    }
    let last_read = pin!(sleep(Duration::from_millis(LAST_READ_MS)));
    if let Either::Left(_) = select(connection.as_mut(), last_read).await {
        return;
    }
    for _ in 0..MAX_LAST_READS {
        if !has_unread_bytes(&socket) {
            break;
        }
        if let Either::Left(_) = select(connection.as_mut(), pin!(runtime_round())).await {
            return;
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
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
