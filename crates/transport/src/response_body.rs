//! Body of a response to a caller.
//!
//! A streamed body forwards the upstream's frames as they arrive and calls its
//! callback once, with how the body ended. An upstream error becomes an error
//! of this body: the server then closes the caller's connection, so that a
//! truncated response never looks complete.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::HeldBody;
use crate::HeldMemory;

/// Maximum size in bytes of a part of a buffered body that is handed to the connection at once.
///
/// The connection keeps what it was handed until the caller takes it.
const PART_BYTES: usize = 16 * 1024;

type EndCallback = Box<dyn FnOnce(BodyEnd)>;

/// How a streamed body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body was forwarded to its end.
    Complete,
    /// The upstream failed before the end of the body.
    Truncated,
    /// The body was dropped before its end, as when the caller disconnects.
    Abandoned,
}

/// Body of a response to a caller.
pub struct ResponseBody {
    source: BodySource,
    on_end: Option<EndCallback>,
    /// Memory that the caller holds until the body was handed over.
    _memory: Option<Rc<HeldMemory>>,
}

enum BodySource {
    Buffered(Option<Bytes>),
    Streamed(Incoming),
}

impl ResponseBody {
    /// Body that is held in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        ResponseBody {
            source: BodySource::Buffered(Some(bytes.into())),
            on_end: None,
            _memory: None,
        }
    }

    /// Body that was read as a whole, for whose memory the caller is charged.
    pub fn held(body: HeldBody) -> Self {
        let (bytes, memory) = body.into_parts();
        ResponseBody {
            source: BodySource::Buffered(Some(bytes)),
            on_end: None,
            _memory: memory,
        }
    }

    /// Body streamed from an upstream; calls `on_end` once, with how the body ended.
    pub fn streamed(incoming: Incoming, on_end: impl FnOnce(BodyEnd) + 'static) -> Self {
        let mut body = ResponseBody {
            source: BodySource::Streamed(incoming),
            on_end: Some(Box::new(on_end)),
            _memory: None,
        };
        if body.is_end_stream() {
            body.report_end(BodyEnd::Complete);
        }
        body
    }

    fn report_end(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let incoming = match &mut self.source {
            BodySource::Buffered(bytes) => {
                return Poll::Ready(next_part(bytes).map(|part| Ok(Frame::data(part))));
            }
            BodySource::Streamed(incoming) => incoming,
        };
        let polled = Pin::new(incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.report_end(BodyEnd::Complete),
            Poll::Ready(Some(Err(_))) => self.report_end(BodyEnd::Truncated),
            Poll::Ready(Some(Ok(_))) if self.is_end_stream() => self.report_end(BodyEnd::Complete),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Streamed(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            BodySource::Streamed(incoming) => incoming.size_hint(),
        }
    }
}

/// Takes the next part of `bytes`.
fn next_part(bytes: &mut Option<Bytes>) -> Option<Bytes> {
    let mut rest = bytes.take().filter(|bytes| !bytes.is_empty())?;
    if rest.len() <= PART_BYTES {
        return Some(rest);
    }
    // A slice would keep the whole body in memory for as long as the part.
    let part = Bytes::copy_from_slice(&rest.split_to(PART_BYTES));
    let is_last = rest.len() <= PART_BYTES;
    *bytes = Some(if is_last {
        Bytes::copy_from_slice(&rest)
    } else {
        rest
    });
    Some(part)
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.report_end(BodyEnd::Abandoned);
    }
}
