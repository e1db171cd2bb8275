//! Body of a request to an upstream.
//!
//! Trailers of the caller are never passed on: they could carry a key.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

/// Body of a request to an upstream.
#[derive(Debug)]
pub enum ForwardBody {
    /// Bytes at hand, which can be sent again.
    Whole(Option<Bytes>),
    /// Bytes passed on as the caller sends them.
    Relayed(Incoming),
}

impl ForwardBody {
    /// Body of `bytes`.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        ForwardBody::Whole(Some(bytes.into()))
    }
}

impl Body for ForwardBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let incoming = match &mut *self {
            ForwardBody::Whole(bytes) => {
                let frame = bytes.take().filter(|bytes| !bytes.is_empty());
                return Poll::Ready(frame.map(|bytes| Ok(Frame::data(bytes))));
            }
            ForwardBody::Relayed(incoming) => incoming,
        };
        let frame = ready!(Pin::new(incoming).poll_frame(cx));
        Poll::Ready(frame.filter(|frame| !matches!(frame, Ok(frame) if frame.is_trailers())))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ForwardBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ForwardBody::Relayed(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ForwardBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ForwardBody::Relayed(incoming) => incoming.size_hint(),
        }
    }
}
