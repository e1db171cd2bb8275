//! Body of an answer to a caller.
//!
//! A relayed body passes the upstream's frames on as they come. When it ends,
//! its completion is told whether the whole answer was passed on; an error of
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

type Completion = Box<dyn FnOnce(bool)>;

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

    /// Body that an upstream sends; `completion` is told whether all of it was passed on.
    pub fn relayed(incoming: Incoming, completion: impl FnOnce(bool) + 'static) -> Self {
        let mut body = AnswerBody {
            source: BodySource::Relayed(incoming),
            completion: Some(Box::new(completion)),
        };
        if body.is_end_stream() {
            body.complete(true);
        }
        body
    }

    fn complete(&mut self, whole: bool) {
        if let Some(completion) = self.completion.take() {
            completion(whole);
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
            Poll::Ready(None) => self.complete(true),
            Poll::Ready(Some(Err(_))) => self.complete(false),
            Poll::Ready(Some(Ok(_))) if self.is_end_stream() => self.complete(true),
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
        self.complete(false);
    }
}
