//! Response of an instance, received completely before any byte goes to the
//! caller.

use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use crocushoist_transport::HeldBody;
use crocushoist_transport::ResponseBody;
use crocushoist_transport::without_hop_by_hop_headers;

/// Response of an instance, received completely before any byte goes to the caller.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Headers as the instance sent them.
    pub(crate) headers: HeaderMap,
    /// Complete body.
    pub(crate) body: HeldBody,
}

impl BufferedResponse {
    /// Whether the instance failed to serve the request.
    pub(crate) fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }

    /// Response to the caller.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::held(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = without_hop_by_hop_headers(&self.headers);
        response
    }
}
