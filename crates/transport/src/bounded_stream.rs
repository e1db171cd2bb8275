//! Stream of which only a bounded number of bytes may be read until it gets a new bound.
//!
//! A remote side that sends without end, such as interim responses that are
//! never followed by a final one, would otherwise keep its reader busy for as
//! long as it sends. The end of the connection is an error while a request is
//! sent, see [`SendProgress`].

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::send_progress::SendProgress;

/// Size in bytes of one read.
const READ_BYTES: usize = 8 * 1024;

/// Bytes that may still be read from a [`BoundedStream`]; its clones share them.
#[derive(Clone, Debug)]
pub(crate) struct ReadAllowance(Rc<Cell<Option<usize>>>);

/// Stream of which only a bounded number of bytes may be read.
#[derive(Debug)]
pub(crate) struct BoundedStream<S> {
    inner: S,
    allowance: ReadAllowance,
    progress: SendProgress,
}

impl ReadAllowance {
    /// Allowance of `bytes`.
    pub(crate) fn new(bytes: usize) -> Self {
        ReadAllowance(Rc::new(Cell::new(Some(bytes))))
    }

    /// Allows `bytes` from now on, any number if absent.
    pub(crate) fn set(&self, bytes: Option<usize>) {
        self.0.set(bytes);
    }

    /// Takes `bytes`; returns false if there are not as many.
    fn take(&self, bytes: usize) -> bool {
        let Some(left) = self.0.get() else {
            return true;
        };
        self.0.set(Some(left.saturating_sub(bytes)));
        bytes <= left
    }
}

impl<S> BoundedStream<S> {
    /// Bounds what is read from `inner` by `allowance`, and records in `progress` what is written.
    pub(crate) fn new(inner: S, allowance: ReadAllowance, progress: SendProgress) -> Self {
        BoundedStream {
            inner,
            allowance,
            progress,
        }
    }

    /// Records the outcome of a write of `offered` bytes.
    fn note_write(&self, offered: usize, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(taken)) => self.progress.write(offered, Some(*taken)),
            Poll::Ready(Err(_)) => self.progress.fail(),
            Poll::Pending => self.progress.write(offered, None),
        }
    }
}

impl<S: Read + Write + Unpin> Read for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let length = READ_BYTES.min(buf.remaining());
        let mut read = ReadBuf::new(&mut bytes[..length]);
        ready!(Pin::new(&mut self.inner).poll_read(cx, read.unfilled()))?;
        if self.progress.is_sending() {
            // What was written may have left since the library asked.
            if let Poll::Ready(Ok(())) = Pin::new(&mut self.inner).poll_flush(cx) {
                self.progress.flush();
            }
        }
        if !read.filled().is_empty() {
            self.progress.read();
        } else if self.progress.is_unfinished() {
            let message = "the connection ended before the request was sent";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, message)));
        }
        if !self.allowance.take(read.filled().len()) {
            let message = "the remote side sent too much before its response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.note_write(buf.len(), &polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.inner).poll_flush(cx));
        match flushed {
            Ok(()) => self.progress.flush(),
            Err(_) => self.progress.fail(),
        }
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.note_write(bufs.iter().map(|buf| buf.len()).sum(), &polled);
        polled
    }
}
