//! Reads and writes JSON bodies of control paths.

use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crocushoist_transport::ResponseBody;

/// Reads a whole body.
pub(crate) async fn read_bytes(body: Incoming) -> Option<Vec<u8>> {
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes().to_vec())
}

/// Reads a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    serde_json::from_slice(&read_bytes(body).await?).ok()
}

/// Answers with JSON.
pub(crate) fn answer_json(value: &impl Serialize) -> Response<ResponseBody> {
    Response::new(ResponseBody::buffered(
        serde_json::to_vec(value).unwrap_or_default(),
    ))
}

/// Answers with a status alone.
pub(crate) fn answer_status(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(""));
    *response.status_mut() = status;
    response
}
