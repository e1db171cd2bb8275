//! HTTP/1.1 server that runs one task for each connection.

use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::time::sleep;
use futures_util::future::Either;
use futures_util::future::select;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use rustix::io::Errno;
use rustix::net::SocketFlags;
use rustix::net::accept_with;

use crate::ClientAccount;
use crate::ClientEntrance;
use crate::ClientLimits;
use crate::ClientRegister;
use crate::ServerStop;
use crate::connect::ACCEPT_RETRY_DELAY;
use crate::connect::LISTEN_BACKLOG;
use crate::server_connection::LAST_READ_MS;
use crate::server_connection::runtime_round;
use crate::server_connection::serve_connection;

/// Milliseconds between checks of the time limits of the clients.
const LIMIT_CHECK_MS: u64 = 1_000;

/// Serves every accepted connection with `handler`, and accepts connections until `stop` closes
/// the listener.
///
/// As [`serve_clients`] with limits of its own; the handler gets the address of the client.
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
    let entrance = ClientEntrance::new(&ClientRegister::default(), max_connections);
    serve_clients(
        listener,
        stop,
        entrance,
        ClientLimits::default,
        move |account, request| handler(account.address(), request),
    )
    .await;
}

/// Serves every client that is accepted at `entrance` with `handler`, and accepts connections
/// until `stop` closes the listener.
///
/// Connections that wait to be accepted at that time are served as well. When
/// `stop` closes the connections, each of them finishes its current request
/// first. A connection has the limits that `limits` returned when it was
/// accepted, except for those in time, which apply as they are now.
pub async fn serve_clients<H, F, B>(
    listener: TcpListener,
    stop: ServerStop,
    entrance: ClientEntrance,
    limits: impl Fn() -> ClientLimits + 'static,
    handler: H,
) where
    H: Fn(ClientAccount, Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let listener_guard = stop.register_listener();
    let handler = Rc::new(handler);
    let limits = Rc::new(limits);
    let checked_limits = Rc::clone(&limits);
    let checks = check_limits(entrance.clone(), stop.clone(), move || checked_limits());
    compio::runtime::spawn(checks).detach();
    let serve = |accepted: io::Result<(TcpStream, SocketAddr)>| {
        let Ok((stream, address)) = accepted else {
            return;
        };
        let Some(account) = entrance.connect(address) else {
            return;
        };
        let guard = stop.register_connection();
        let handler = Rc::clone(&handler);
        let served = serve_connection(stream, account, stop.clone(), limits(), handler);
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

/// Turns away clients that exceed the time limits until the server has ended.
async fn check_limits(
    entrance: ClientEntrance,
    stop: ServerStop,
    limits: impl Fn() -> ClientLimits,
) {
    while !stop.has_ended() {
        sleep(Duration::from_millis(LIMIT_CHECK_MS)).await;
        entrance.end_overdue(limits());
    }
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
