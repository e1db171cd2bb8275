//! Body of an instance's answer, which can be cut short.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

const CHUNK_BYTES: usize = 16 * 1024;

/// Body of `total` bytes that is sent in chunks and may be cut in the middle.
#[derive(Debug)]
pub(crate) struct ScriptedBody {
    content: Bytes,
    total: usize,
    cut_at: Option<usize>,
    sent: usize,
}

impl ScriptedBody {
    /// Body of `content`.
    pub(crate) fn whole(content: impl Into<Bytes>) -> Self {
        let content = content.into();
        ScriptedBody {
            total: content.len(),
            content,
            cut_at: None,
            sent: 0,
        }
    }

    /// Body of `total` equal bytes.
    pub(crate) fn filled(total: usize) -> Self {
        ScriptedBody {
            content: Bytes::from(vec![b'x'; CHUNK_BYTES]),
            total,
            cut_at: None,
            sent: 0,
        }
    }

    /// The same body, cut in its middle.
    pub(crate) fn cut(mut self) -> Self {
        self.cut_at = Some(self.total / 2);
        self
    }
}

impl Body for ScriptedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let end = self.cut_at.unwrap_or(self.total);
        if self.sent >= end {
            let cut = self.cut_at.is_some();
            return Poll::Ready(cut.then(|| Err(io::ErrorKind::ConnectionAborted.into())));
        }
        let count = (end - self.sent).min(self.content.len());
        self.sent += count;
        Poll::Ready(Some(Ok(Frame::data(self.content.slice(..count)))))
    }

    fn is_end_stream(&self) -> bool {
        self.cut_at.is_none() && self.sent >= self.total
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.total - self.sent) as u64)
    }
}
