//! Body of a response that tells the account when the connection has all of it.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::ClientAccount;

/// Body of a response that tells the account when the connection has all of it.
pub(crate) struct HandedBody<B> {
    // The connection asks for a body that it can move.
    inner: Pin<Box<B>>,
    account: ClientAccount,
}

impl<B> HandedBody<B> {
    /// Body of a response to the client of `account`.
    pub(crate) fn new(body: B, account: ClientAccount) -> Self {
        HandedBody {
            inner: Box::pin(body),
            account,
        }
    }
}

impl<B: Body<Data = Bytes>> Body for HandedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        self.inner.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B> Drop for HandedBody<B> {
    fn drop(&mut self) {
        self.account.hand_over_response();
    }
}
