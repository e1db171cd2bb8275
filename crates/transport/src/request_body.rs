//! Body of an outgoing HTTP request.
//!
//! A streamed body drops the caller's trailers, because they could carry a
//! workspace key.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

/// Body of an outgoing HTTP request.
#[derive(Debug)]
pub enum RequestBody {
    /// Body held in memory, which can be sent again on a retry.
    Buffered(Option<Bytes>),
    /// Body streamed from the caller, which can be sent only once.
    Streamed(Incoming),
}

impl RequestBody {
    /// Body of `bytes`, held in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        RequestBody::Buffered(Some(bytes.into()))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let incoming = match &mut *self {
            RequestBody::Buffered(bytes) => {
                let frame = bytes.take().filter(|bytes| !bytes.is_empty());
                return Poll::Ready(frame.map(|bytes| Ok(Frame::data(bytes))));
            }
            RequestBody::Streamed(incoming) => incoming,
        };
        let frame = ready!(Pin::new(incoming).poll_frame(cx));
        Poll::Ready(frame.filter(|frame| !matches!(frame, Ok(frame) if frame.is_trailers())))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            RequestBody::Streamed(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            RequestBody::Streamed(incoming) => incoming.size_hint(),
        }
    }
}
