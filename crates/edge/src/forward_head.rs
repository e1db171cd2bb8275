//! Heads of requests to instances.

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::http::uri::PathAndQuery;

use crocushoist_platform::names;
use crocushoist_transport::RequestBody;
use crocushoist_transport::without_hop_by_hop_headers;

/// Request head that all attempts share; each attempt adds the instance's id and the remaining
/// time.
#[derive(Clone, Debug)]
pub(crate) struct ForwardHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl ForwardHead {
    /// Head for a caller's request, without any header that contains `key`.
    ///
    /// Returns `None` if the path or the workspace's name cannot be forwarded.
    pub(crate) fn new(
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        key: Option<&str>,
        workspace: Option<&str>,
    ) -> Option<Self> {
        let mut forwarded = without_hop_by_hop_headers(headers);
        for name in [
            AUTHORIZATION.as_str(),
            PROXY_AUTHORIZATION.as_str(),
            names::WORKSPACE_HEADER,
            names::TARGET_INSTANCE_HEADER,
            names::DEADLINE_MS_HEADER,
            CONTENT_LENGTH.as_str(),
        ] {
            forwarded.remove(name);
        }
        if let Some(key) = key {
            remove_headers_containing(&mut forwarded, key.as_bytes());
        }
        if let Some(workspace) = workspace {
            forwarded.insert(
                names::WORKSPACE_HEADER,
                HeaderValue::from_str(workspace).ok()?,
            );
        }
        let uri = Uri::builder()
            .path_and_query(uri.path_and_query()?.clone())
            .build()
            .ok()?;
        Some(ForwardHead {
            method: method.clone(),
            uri,
            headers: forwarded,
        })
    }

    /// Head of a request that another host relayed.
    pub(crate) fn relayed(
        method: &str,
        path: &str,
        headers: HeaderMap,
    ) -> Result<Self, hyper::http::Error> {
        Ok(ForwardHead {
            method: Method::from_bytes(method.as_bytes())?,
            uri: Uri::builder().path_and_query(path).build()?,
            headers,
        })
    }

    /// HTTP method.
    pub(crate) fn method(&self) -> &Method {
        &self.method
    }

    /// Path and query.
    pub(crate) fn path(&self) -> &str {
        self.uri.path_and_query().map_or("/", PathAndQuery::as_str)
    }

    /// Headers for the instance.
    pub(crate) fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Request to the instance `instance_id` with `remaining_ms` milliseconds left.
    pub(crate) fn request(
        &self,
        instance_id: &str,
        remaining_ms: u64,
        body: RequestBody,
    ) -> Option<Request<RequestBody>> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(
            names::TARGET_INSTANCE_HEADER,
            HeaderValue::from_str(instance_id).ok()?,
        );
        headers.insert(names::DEADLINE_MS_HEADER, HeaderValue::from(remaining_ms));
        Some(request)
    }

    /// Id of the caller's attempt, which the instance echoes.
    pub(crate) fn attempt_id(&self) -> Option<&HeaderValue> {
        self.headers.get(names::ATTEMPT_ID_HEADER)
    }
}

/// Removes every header whose value contains `key`.
fn remove_headers_containing(headers: &mut HeaderMap, key: &[u8]) {
    let names: Vec<HeaderName> = headers
        .iter()
        .filter(|(_, value)| value.as_bytes().windows(key.len()).any(|part| part == key))
        .map(|(name, _)| name.clone())
        .collect();
    for name in names {
        headers.remove(name);
    }
}
