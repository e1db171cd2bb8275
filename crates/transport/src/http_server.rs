//! HTTP/1.1 server that runs one task for each connection.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::time::timeout;
use compio::time::timeout_at;
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

use crate::ServerStop;
use crate::connect::close_when_unacknowledged;

/// Milliseconds for which a socket is still read after it was told to close.
///
/// The kernel resets a socket that is closed with connections or bytes that
/// nobody has read, and the caller then cannot tell whether its request ran.
const LAST_READ_MS: u64 = 10;

/// Serves every accepted connection with `handler`, and accepts connections until `stop` closes
/// the listener.
///
/// When `stop` closes the connections, each of them finishes its current
/// request first. While `max_connections` are open, each further one is closed
/// as soon as it is accepted.
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
    let handler = Rc::new(handler);
    let mut closes_at = None;
    loop {
        let accepted = match closes_at {
            None => {
                let accept = pin!(listener.accept());
                match select(accept, stop.listener_closed.raised()).await {
                    Either::Left((accepted, _)) => accepted,
                    Either::Right(_) => {
                        closes_at = Some(Instant::now() + Duration::from_millis(LAST_READ_MS));
                        continue;
                    }
                }
            }
            Some(closes_at) => match timeout_at(closes_at, listener.accept()).await {
                Ok(accepted) => accepted,
                Err(_) => return,
            },
        };
        let Ok((stream, address)) = accepted else {
            continue;
        };
        if stop.open_connections() >= max_connections {
            continue;
        }
        let guard = stop.register_connection();
        let served = serve_connection(stream, address, stop.clone(), Rc::clone(&handler));
        let task = async move {
            served.await;
            drop(guard);
        };
        compio::runtime::spawn(task).detach();
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
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);
    if let Either::Left(_) = select(connection.as_mut(), stop.connections_closed.raised()).await {
        return;
    }
    let last_read = Duration::from_millis(LAST_READ_MS);
    if timeout(last_read, connection.as_mut()).await.is_err() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
