//! Body of an answer to a caller.
//!
//! A relayed body passes the upstream's frames on as they come. When it ends,
//! its completion is told how it ended; an error of
//! the upstream becomes an error of this body, so that the caller's
//! connection is cut and a short answer never looks complete.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

type Completion = Box<dyn FnOnce(BodyEnd)>;

/// How a relayed body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The whole body was passed on.
    Whole,
    /// The upstream cut it short.
    CutShort,
    /// The caller did not take it.
    Abandoned,
}

/// Body of an answer to a caller.
pub struct AnswerBody {
    source: BodySource,
    completion: Option<Completion>,
}

enum BodySource {
    Whole(Option<Bytes>),
    Relayed(Incoming),
}

impl AnswerBody {
    /// Body that is at hand.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        AnswerBody {
            source: BodySource::Whole(Some(bytes.into())),
            completion: None,
        }
    }

    /// Body that an upstream sends; `completion` is told how it ended.
    pub fn relayed(incoming: Incoming, completion: impl FnOnce(BodyEnd) + 'static) -> Self {
        let mut body = AnswerBody {
            source: BodySource::Relayed(incoming),
            completion: Some(Box::new(completion)),
        };
        if body.is_end_stream() {
            body.complete(BodyEnd::Whole);
        }
        body
    }

    fn complete(&mut self, end: BodyEnd) {
        if let Some(completion) = self.completion.take() {
            completion(end);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let incoming = match &mut self.source {
            BodySource::Whole(bytes) => {
                let frame = bytes.take().filter(|bytes| !bytes.is_empty());
                return Poll::Ready(frame.map(|bytes| Ok(Frame::data(bytes))));
            }
            BodySource::Relayed(incoming) => incoming,
        };
        let polled = Pin::new(incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.complete(BodyEnd::Whole),
            Poll::Ready(Some(Err(_))) => self.complete(BodyEnd::CutShort),
            Poll::Ready(Some(Ok(_))) if self.is_end_stream() => self.complete(BodyEnd::Whole),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Relayed(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            BodySource::Relayed(incoming) => incoming.size_hint(),
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.complete(BodyEnd::Abandoned);
    }
}
