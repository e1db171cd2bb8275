//! Stream of a client, which tells its account what arrives and when all is written.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::ClientAccount;
use crate::socket_stream::SocketStream;

/// Stream of a client.
pub(crate) struct ClientStream {
    inner: SocketStream,
    account: ClientAccount,
}

impl ClientStream {
    /// Stream of the client of `account` over `inner`.
    pub(crate) fn new(inner: SocketStream, account: ClientAccount) -> Self {
        ClientStream { inner, account }
    }
}

impl Read for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.remaining();
        let inner = Pin::new(&mut self.inner);
        ready!(inner.poll_read_into(cx, &mut buf))?;
        let count = before - buf.remaining();
        if count > 0 && !self.account.receive(count) {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        self.account.flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
