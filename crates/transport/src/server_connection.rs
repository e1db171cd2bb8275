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
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::time::sleep;
use compio::time::timeout;
use cyper_core::CompioTimer;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::select;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper::service::service_fn;
use rustix::net::RecvFlags;
use rustix::net::recv;

use crocushoist_clients::ClientStage;

use crate::ClientAccount;
use crate::ClientEnd;
use crate::ClientLimits;
use crate::ServerStop;
use crate::client_stream::ClientStream;
use crate::connect::close_when_unacknowledged;
use crate::connect::reset_on_close;
use crate::handed_body::HandedBody;
use crate::socket_stream::SocketStream;

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

/// Minimum size in bytes of the buffers of the HTTP library.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Response to a head that does not end.
const HEAD_LATE_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Size in bytes of the buffer for what is thrown away.
const REST_BUFFER_BYTES: usize = 16 * 1024;

/// Serves the requests on the connection of a client until it ends, `stop` closes it, or the client
/// must give way.
pub(crate) async fn serve_connection<H, F, B>(
    stream: TcpStream,
    account: ClientAccount,
    stop: ServerStop,
    limits: ClientLimits,
    handler: Rc<H>,
) where
    H: Fn(ClientAccount, Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    // A connection whose socket options cannot be set is served all the same.
    let _ = stream.set_nodelay(true);
    let _ = close_when_unacknowledged(&stream);
    let has_body = Rc::new(Cell::new(false));
    let last_has_body = Rc::clone(&has_body);
    let request_account = account.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        has_body.set(!request.body().is_end_stream());
        request_account.set_stage(ClientStage::Served);
        let account = request_account.clone();
        let response = handler(account.clone(), request);
        async move {
            let mut response = response.await;
            if account.upload_ended().is_raised() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            account.begin_response();
            Ok::<_, Infallible>(response.map(|body| HandedBody::new(body, account)))
        }
        .boxed_local()
    });
    let socket = ClientStream::new(SocketStream::new(stream.clone()), account.clone());
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(socket, service);
    let end = {
        let mut running = pin!(run_connection(connection, &stream, &stop));
        loop {
            match select(&mut running, account.closed().raised()).await {
                Either::Left((end, _)) => break end,
                // The next request of an idle client may have come meanwhile.
                Either::Right(_)
                    if account.left_stage() == ClientStage::Idle && has_unread_bytes(&stream) =>
                {
                    account.stay();
                }
                Either::Right(_) => break ConnectionEnd::TurnedAway,
            }
        }
    };
    match end {
        ConnectionEnd::Response if last_has_body.get() => discard_rest(stream).await,
        ConnectionEnd::HeadTooLong => {
            account.report(ClientEnd::HeadTooLong);
            discard_rest(stream).await;
        }
        ConnectionEnd::TurnedAway => turn_away(stream, &account).await,
        _ => {}
    }
}

/// Ends the connection of a client that gives way.
async fn turn_away(mut stream: TcpStream, account: &ClientAccount) {
    match account.left_stage() {
        // Whatever the client was sent before has been taken, so this is the response to its head.
        ClientStage::Head if account.end() == Some(ClientEnd::HeadLate) => {
            let _ = stream.write_all(HEAD_LATE_RESPONSE).await;
            discard_rest(stream).await;
        }
        // The kernel would keep what the client does not take.
        ClientStage::Response => reset_on_close(&stream),
        _ => {}
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
    /// The head of a request was too long, and was refused.
    HeadTooLong,
    /// The client had to give way.
    TurnedAway,
}

impl From<hyper::Result<()>> for ConnectionEnd {
    fn from(result: hyper::Result<()>) -> Self {
        match result {
            Ok(()) => ConnectionEnd::Response,
            Err(error) if error.is_parse_too_large() => ConnectionEnd::HeadTooLong,
            Err(_) => ConnectionEnd::Failed,
        }
    }
}

/// Runs `connection` over `stream` until it ends, or `stop` closes it.
async fn run_connection<S, B>(
    mut connection: http1::Connection<ClientStream, S>,
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
