//! Headers of a caller's request that are forwarded to a worker.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::TRANSFER_ENCODING;

/// Hop-by-hop headers, which concern one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Copies the headers that are forwarded: all but hop-by-hop headers, the caller's key, and
/// headers that only this system may set.
pub(super) fn forwarded_headers(headers: &HeaderMap, reserved: &[&str]) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        let name = name.as_str();
        !HOP_BY_HOP_HEADERS.contains(&name)
            && name != AUTHORIZATION.as_str()
            && !reserved.contains(&name)
            && (name == HOST.as_str() || !connection_options.iter().any(|listed| listed == name))
    };
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if is_forwarded(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    if headers.contains_key(TRANSFER_ENCODING) {
        forwarded.remove(CONTENT_LENGTH);
    }
    forwarded
}
