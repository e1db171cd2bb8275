//! Extracts the caller's key and removes every copy of it from the request
//! head.
//!
//! A key has a fixed format. It is therefore found in any header, query
//! parameter or path, also percent-encoded, in upper case or inside a Basic
//! credential. Headers whose purpose is to carry keys are removed whatever
//! their value, also with underscores in place of hyphens in their name.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::HeaderMap;
use hyper::Uri;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use percent_encoding::percent_decode;

use crocushoist_protocol::RefusalReason;
use crocushoist_protocol::headers;
use crocushoist_state::KEY_LENGTH;
use crocushoist_state::KEY_PREFIX;

const KEY_HEADERS: [&str; 5] = [
    headers::WORKSPACE_KEY,
    "workspace-key",
    "x-api-key",
    "api-key",
    "proxy-authorization",
];
/// Maximum number of percent-decoding passes.
const MAX_DECODINGS: usize = 3;

/// Removes the caller's key from the request head and returns it.
///
/// Fails if two different keys are presented, the path contains one or the URI is invalid.
pub fn extract_key(head: &mut Parts) -> Result<Option<String>, RefusalReason> {
    let presented = presented_key(&head.headers)?;
    remove_key_headers(&mut head.headers);
    if contains_key(head.uri.path().as_bytes()) {
        return Err(RefusalReason::KeyMisplaced);
    }
    head.uri = without_keys(&head.uri).ok_or(RefusalReason::Malformed)?;
    Ok(presented)
}

/// Whether `text` contains a key, also percent-encoded or in a Basic credential.
pub fn contains_key(text: &[u8]) -> bool {
    let mut text = text.to_vec();
    for _ in 0..MAX_DECODINGS {
        if contains_plain_key(&text) || is_basic_credential_with_key(&text) {
            return true;
        }
        let decoded: Vec<u8> = percent_decode(&text).collect();
        if decoded == text {
            return false;
        }
        text = decoded;
    }
    contains_plain_key(&text)
}

fn presented_key(header_map: &HeaderMap) -> Result<Option<String>, RefusalReason> {
    let plain = header_map
        .get_all(headers::WORKSPACE_KEY)
        .iter()
        .map(HeaderValue::as_bytes);
    let bearer = header_map
        .get_all(AUTHORIZATION)
        .iter()
        .filter_map(|value| bearer_token(value.as_bytes()))
        .filter(|token| contains_plain_key(token));
    let mut presented: Option<&[u8]> = None;
    for key in plain.chain(bearer) {
        let key = key.trim_ascii();
        if presented.is_some_and(|earlier| earlier != key) {
            return Err(RefusalReason::KeyMisplaced);
        }
        presented = Some(key);
    }
    let text = presented.map(|key| String::from_utf8_lossy(key).into_owned());
    Ok(text)
}

fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = value.split_at_checked("bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"bearer ").then_some(token)
}

fn remove_key_headers(header_map: &mut HeaderMap) {
    let removed: Vec<HeaderName> = header_map
        .iter()
        .filter(|(name, value)| {
            is_key_header(name)
                || contains_key(value.as_bytes())
                || contains_key(name.as_str().as_bytes())
        })
        .map(|(name, _)| name.clone())
        .collect();
    for name in removed {
        header_map.remove(name);
    }
}

fn is_key_header(name: &HeaderName) -> bool {
    let name = name.as_str().replace('_', "-");
    KEY_HEADERS.contains(&name.as_str()) || name.starts_with(headers::FLEET_PREFIX)
}

/// The URI without query parameters that contain a key, `None` if that is not a valid URI.
fn without_keys(uri: &Uri) -> Option<Uri> {
    let Some(query) = uri.query() else {
        return Some(uri.clone());
    };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|parameter| !contains_key(parameter.as_bytes()))
        .collect();
    let path = uri.path();
    let text = if kept.is_empty() || contains_key(query_text(&kept).as_bytes()) {
        path.to_owned()
    } else {
        format!("{path}?{}", query_text(&kept))
    };
    let path_and_query: PathAndQuery = text.parse().ok()?;
    Uri::builder().path_and_query(path_and_query).build().ok()
}

fn query_text(parameters: &[&str]) -> String {
    parameters.join("&")
}

fn contains_plain_key(text: &[u8]) -> bool {
    text.windows(KEY_LENGTH).any(|window| {
        let (prefix, digits) = window.split_at(KEY_PREFIX.len());
        prefix.eq_ignore_ascii_case(KEY_PREFIX.as_bytes())
            && digits.iter().all(u8::is_ascii_hexdigit)
    })
}

/// Whether `text` is a Basic credential that contains a key.
fn is_basic_credential_with_key(text: &[u8]) -> bool {
    let text = text.trim_ascii();
    let Some((scheme, credential)) = text.split_at_checked("basic ".len()) else {
        return false;
    };
    scheme.eq_ignore_ascii_case(b"basic ")
        && STANDARD
            .decode(credential.trim_ascii())
            .is_ok_and(|decoded| contains_plain_key(&decoded))
}
