//! The bearer key that a request carries.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

/// Name of the scheme, in any case.
const SCHEME: &str = "bearer";

/// Returns the bearer key of a request; none if there is none, if it isn't plain
/// text, or if two are given, which two parties might read differently.
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
    let mut given = headers.get_all(AUTHORIZATION).iter();
    let text = given.next()?.to_str().ok()?;
    if given.next().is_some() {
        return None;
    }
    let (scheme, key) = text.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}
