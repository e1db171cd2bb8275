//! Response body of a stand-in instance, which can be truncated.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

const CHUNK_BYTES: usize = 16 * 1024;

/// Body of `total_bytes` bytes, sent in chunks of at most the length of `content`.
///
/// A truncated body announces its full length and fails at its middle, as it
/// does when the instance's connection breaks.
#[derive(Debug)]
pub(crate) struct TruncatableBody {
    content: Bytes,
    total_bytes: usize,
    truncate_at: Option<usize>,
    sent_bytes: usize,
}

impl TruncatableBody {
    /// Body that consists of `content`.
    pub(crate) fn from_content(content: impl Into<Bytes>) -> Self {
        let content = content.into();
        TruncatableBody {
            total_bytes: content.len(),
            content,
            truncate_at: None,
            sent_bytes: 0,
        }
    }

    /// Body of `total_bytes` times the letter x.
    pub(crate) fn filled(total_bytes: usize) -> Self {
        TruncatableBody {
            content: Bytes::from(vec![b'x'; CHUNK_BYTES]),
            total_bytes,
            truncate_at: None,
            sent_bytes: 0,
        }
    }

    /// Makes the body fail at its middle.
    pub(crate) fn truncated(mut self) -> Self {
        self.truncate_at = Some(self.total_bytes / 2);
        self
    }
}

impl Body for TruncatableBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let end = self.truncate_at.unwrap_or(self.total_bytes);
        if self.sent_bytes >= end {
            let is_truncated = self.truncate_at.is_some();
            return Poll::Ready(is_truncated.then(|| Err(io::ErrorKind::ConnectionAborted.into())));
        }
        let count = (end - self.sent_bytes).min(self.content.len());
        self.sent_bytes += count;
        Poll::Ready(Some(Ok(Frame::data(self.content.slice(..count)))))
    }

    fn is_end_stream(&self) -> bool {
        self.truncate_at.is_none() && self.sent_bytes >= self.total_bytes
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.total_bytes - self.sent_bytes) as u64)
    }
}
