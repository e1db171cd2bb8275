//! Responses without a length that end while the request is still written.
//!
//! A socket reports a reset once, to whichever call comes first. If that is a
//! write, the next read sees a plain end, which ends a response without a
//! length like one that is whole. The order is scripted here, without sockets.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use yare::parameterized;

use crocushoist_transport::RequestBody;
use crocushoist_transport::UpstreamConnection;

const UPLOAD_BYTES: usize = 100_000;

/// Bytes of the request that the other side takes before it responds.
const TAKEN_BYTES: usize = 10_000;

const WITHOUT_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nhalf of it";
const WITH_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf of it";

/// What a write meets when the other side takes no more.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteEnd {
    /// It waits, and the read sees the end first.
    Waits,
    /// It gets the reset, and the read sees a plain end.
    Reset,
    /// There is none, the other side takes the whole request.
    None,
}

/// Stream that takes some bytes, has a response ready then, and ends.
struct ScriptedStream {
    response: &'static [u8],
    write_end: WriteEnd,
    taken_bytes: usize,
}

impl ScriptedStream {
    fn has_responded(&self) -> bool {
        let bytes = if self.write_end == WriteEnd::None {
            UPLOAD_BYTES
        } else {
            TAKEN_BYTES
        };
        self.taken_bytes >= bytes
    }
}

impl Read for ScriptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.has_responded() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        buf.put_slice(self.response);
        self.response = b"";
        Poll::Ready(Ok(()))
    }
}

impl Write for ScriptedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write_end == WriteEnd::None || self.taken_bytes < TAKEN_BYTES {
            let count = buf.len().min(TAKEN_BYTES);
            self.taken_bytes += count;
            return Poll::Ready(Ok(count));
        }
        cx.waker().wake_by_ref();
        if self.write_end == WriteEnd::Reset && self.response.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Pending
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a part of a response that counts as the whole.
#[parameterized(
    reset_after_the_end = { WITHOUT_LENGTH, WriteEnd::Waits, false },
    reset_before_the_end = { WITHOUT_LENGTH, WriteEnd::Reset, false },
    whole_request = { WITHOUT_LENGTH, WriteEnd::None, true },
    length = { WITH_LENGTH, WriteEnd::Waits, true },
)]
fn response_is_whole_only_if_its_end_is_known(
    response: &'static [u8],
    write_end: WriteEnd,
    is_whole: bool,
) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let stream = ScriptedStream {
            response,
            write_end,
            taken_bytes: 0,
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let mut connection = UpstreamConnection::over(address, stream).await.unwrap();
        let upload = RequestBody::buffered(Bytes::from(vec![b'u'; UPLOAD_BYTES]));
        let request = Request::post("/book/1").body(upload).unwrap();
        let body = match connection.send(request).await {
            Ok(response) => response.into_body().collect().await,
            Err(failure) => panic!("no response: {failure:?}"),
        };
        assert_eq!(body.is_ok(), is_whole, "{body:?}");
    });
}
