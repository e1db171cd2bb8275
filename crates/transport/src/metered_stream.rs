//! Stream that counts the bytes it reads and writes.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_util::AsyncRead;
use futures_util::AsyncWrite;

use crate::ByteMeter;

/// Stream that counts the bytes it reads and writes in a [`ByteMeter`].
#[derive(Debug)]
pub struct MeteredStream<S> {
    inner: S,
    meter: ByteMeter,
}

impl<S> MeteredStream<S> {
    /// Counts the bytes of `inner` in `meter`.
    pub fn new(inner: S, meter: ByteMeter) -> Self {
        MeteredStream { inner, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = polled {
            self.meter.add(count as u64);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = polled {
            self.meter.add(count as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
