//! Stream between the HTTP library and a socket, with buffers of a bounded size.
//!
//! The library and the runtime each buffer what the other side sends. Without
//! bounds on both, the memory of a connection follows from what its other side
//! does.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::AsyncRead;
use futures_util::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// Size in bytes of one read, and of the buffer for each direction while it is not full.
const BUFFER_BYTES: usize = 8 * 1024;

/// Maximum size in bytes of the buffer for each direction.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Stream between the HTTP library and a socket.
pub(crate) struct SocketStream(Pin<Box<AsyncStream<TcpStream>>>);

impl SocketStream {
    /// Stream over `socket`.
    pub(crate) fn new(socket: TcpStream) -> Self {
        let stream = AsyncStream::with_limits(BUFFER_BYTES, MAX_BUFFER_BYTES, socket);
        SocketStream(Box::pin(stream))
    }

    /// Reads into `buf`, as [`Read::poll_read`] does.
    pub(crate) fn poll_read_into(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; BUFFER_BYTES];
        let length = BUFFER_BYTES.min(buf.remaining());
        let count = ready!(self.0.as_mut().poll_read(cx, &mut bytes[..length]))?;
        buf.put_slice(&bytes[..count]);
        Poll::Ready(Ok(()))
    }
}

impl Read for SocketStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_read_into(cx, &mut buf)
    }
}

impl Write for SocketStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.as_mut().poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_close(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
