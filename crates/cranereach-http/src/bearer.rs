//! Extraction of the bearer token from request headers.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

/// Name of the authentication scheme, compared without regard to case.
const SCHEME: &str = "bearer";

/// Returns the bearer token of a request.
///
/// Returns `None` if the request has no token or one that isn't visible ASCII. Several
/// `Authorization` headers also give `None`, because another server on the path might
/// choose a different one.
///
/// ```
/// use cranereach_http::bearer::bearer;
/// use hyper::HeaderMap;
/// use hyper::header::AUTHORIZATION;
/// use hyper::header::HeaderValue;
///
/// let mut headers = HeaderMap::new();
/// headers.append(AUTHORIZATION, HeaderValue::from_static("Bearer secret"));
/// assert_eq!(bearer(&headers), Some("secret"));
/// headers.append(AUTHORIZATION, HeaderValue::from_static("Bearer other"));
/// assert_eq!(bearer(&headers), None);
/// ```
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let text = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, token) = text.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case(SCHEME) && !token.is_empty()).then_some(token)
}
