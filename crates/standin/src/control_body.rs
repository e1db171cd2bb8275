//! Reads and writes the HTTP bodies of the stand-ins' own paths.

use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crocushoist_transport::ResponseBody;

/// Buffers a request body; `None` if the connection fails first.
pub(crate) async fn read_body(body: Incoming) -> Option<Vec<u8>> {
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes().to_vec())
}

/// Decodes a JSON request body; `None` if it cannot be received or decoded.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    serde_json::from_slice(&read_body(body).await?).ok()
}

/// Response with a JSON body.
pub(crate) fn json_response(value: &impl Serialize) -> Response<ResponseBody> {
    Response::new(ResponseBody::buffered(
        serde_json::to_vec(value).unwrap_or_default(),
    ))
}

/// Response with a status and an empty body.
pub(crate) fn status_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(""));
    *response.status_mut() = status;
    response
}
