//! Answer of an instance, whole before a byte of it goes to the caller.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use crocushoist_transport::AnswerBody;
use crocushoist_transport::without_hop_headers;

/// Answer of an instance, whole before a byte of it goes to the caller.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers as the instance sent them.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl BufferedResponse {
    /// Whether the instance failed to serve the request.
    pub(crate) fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }

    /// Answer to the caller.
    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = without_hop_headers(&self.headers);
        response
    }
}
