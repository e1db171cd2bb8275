//! Progress of the request that a connection sends.
//!
//! A response without a length ends with its connection. A connection that
//! ends before the request was sent as a whole was reset, or closed in the
//! middle: the end that a read sees then proves nothing about the response,
//! since the socket may have reported the reset to a write. The same holds if
//! the response began before the request was sent, as the rest of the request
//! may lie in the kernel when the other side stops reading.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::RequestBody;

/// Progress of the request that a connection sends; its clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendProgress(Rc<ProgressState>);

#[derive(Debug, Default)]
struct ProgressState {
    /// Whether bytes of a request were written that is not known to be sent as a whole.
    is_sending: Cell<bool>,
    /// Whether the connection was handed all of the body.
    has_whole_body: Cell<bool>,
    /// Whether the last write was not taken as a whole, so that the connection holds more.
    is_blocked: Cell<bool>,
    /// Whether a write has failed.
    has_failed: Cell<bool>,
    /// Whether the response began before the request was sent.
    is_early: Cell<bool>,
}

/// Body of a request whose progress is watched until it was handed over.
pub(crate) struct SentBody {
    inner: RequestBody,
    progress: SendProgress,
}

impl SendProgress {
    /// Body of the next request.
    pub(crate) fn watch(&self, inner: RequestBody) -> SentBody {
        self.0.has_whole_body.set(false);
        self.0.is_early.set(false);
        SentBody {
            inner,
            progress: self.clone(),
        }
    }

    /// Records that `taken` bytes of `offered` ones were written, `None` if the write has to wait.
    pub(crate) fn write(&self, offered: usize, taken: Option<usize>) {
        self.0.is_blocked.set(taken != Some(offered));
        if taken.is_some() {
            self.0.is_sending.set(true);
        }
    }

    /// Records that all bytes that were written have left.
    pub(crate) fn flush(&self) {
        if self.0.has_whole_body.get() && !self.0.is_blocked.get() {
            self.0.is_sending.set(false);
        }
    }

    /// Records that a write has failed.
    pub(crate) fn fail(&self) {
        self.0.has_failed.set(true);
    }

    /// Whether bytes of a request were written that is not known to be sent as a whole.
    pub(crate) fn is_sending(&self) -> bool {
        self.0.is_sending.get()
    }

    /// Records that bytes of a response were read.
    pub(crate) fn read(&self) {
        if self.is_sending() {
            self.0.is_early.set(true);
        }
    }

    /// Whether the end of the connection may have cut off the request, and the response with it.
    pub(crate) fn is_unfinished(&self) -> bool {
        self.is_sending() || self.0.has_failed.get() || self.0.is_early.get()
    }
}

impl SentBody {
    /// The body, which was not sent.
    pub(crate) fn into_inner(mut self) -> RequestBody {
        std::mem::replace(&mut self.inner, RequestBody::Buffered(None))
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for SentBody {
    fn drop(&mut self) {
        self.progress.0.has_whole_body.set(true);
    }
}
