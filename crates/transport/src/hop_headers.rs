//! Hop-by-hop headers, which describe one connection and are never forwarded.

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::EXPECT;
use hyper::header::HeaderName;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

const HOP_BY_HOP_HEADERS: [HeaderName; 6] =
    [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Copy of `original` without its hop-by-hop headers and those that its `Connection` header names.
pub fn without_hop_by_hop_headers(original: &HeaderMap) -> HeaderMap {
    let mut remaining = original.clone();
    let listed_names: Vec<String> = original
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed_names {
        remaining.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        remaining.remove(name);
    }
    remaining.remove(KEEP_ALIVE);
    remaining.remove(PROXY_CONNECTION);
    remaining
}
