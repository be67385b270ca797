//! Contents of bodies that show by themselves where they are complete.

use hyper::HeaderMap;
use hyper::header::CONTENT_ENCODING;
use hyper::header::CONTENT_TYPE;

use crate::body_end::ResponseBody;
use crate::event_border::EventBorder;
use crate::json_text::JsonText;

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Media type of a JSON text.
const JSON: &[u8] = b"application/json";

/// End of the other media types whose content is a JSON text.
const JSON_SUFFIX: &[u8] = b"+json";

/// Encoding of a body that is sent as it is.
const IDENTITY: &str = "identity";

/// Content of a body, followed while it is read. No byte of it is kept.
#[derive(Clone, Copy, Debug)]
pub enum Content {
    /// Stream of events.
    Events(EventBorder),
    /// JSON text.
    Json(JsonText),
    /// Anything else: nothing but the end of the body shows whether it is complete.
    Opaque,
}

impl Content {
    /// Returns the content of a response, as far as it has to be followed. Whoever declares the end
    /// of a JSON text says that there is no more of it.
    pub fn of_response(body: &ResponseBody, headers: &HeaderMap, may_be_unlabeled: bool) -> Self {
        match Self::announced_by(headers, may_be_unlabeled) {
            Self::Json(_) if body.declares_end() => Self::Opaque,
            content => content,
        }
    }

    /// Returns the content that the headers of a response announce. `may_be_unlabeled` says
    /// whether it is a stream of events if they name no media type.
    ///
    /// ```
    /// use cranereach_http::content::Content;
    /// use hyper::HeaderMap;
    /// use hyper::header::CONTENT_TYPE;
    /// use hyper::header::HeaderValue;
    ///
    /// let mut headers = HeaderMap::new();
    /// let problem = HeaderValue::from_static("application/problem+json; charset=utf-8");
    /// headers.insert(CONTENT_TYPE, problem);
    /// assert!(matches!(Content::announced_by(&headers, false), Content::Json(_)));
    /// ```
    pub fn announced_by(headers: &HeaderMap, may_be_unlabeled: bool) -> Self {
        let is_encoded = headers
            .get(CONTENT_ENCODING)
            .is_some_and(|encoding| encoding != IDENTITY);
        if is_encoded {
            return Self::Opaque;
        }
        match headers.get(CONTENT_TYPE) {
            Some(media_type) => Self::of_media_type(media_type.as_bytes()),
            None if may_be_unlabeled => Self::Events(EventBorder::default()),
            None => Self::Opaque,
        }
    }

    /// Follows the next bytes.
    pub fn follow(&mut self, bytes: &[u8]) {
        match self {
            Self::Events(border) => border.follow(bytes),
            Self::Json(text) => text.follow(bytes),
            Self::Opaque => {}
        }
    }

    /// Whether a part of the content is missing if it ends here.
    pub fn is_cut_off(&self) -> bool {
        match self {
            Self::Events(border) => border.is_inside_event(),
            Self::Json(text) => text.is_cut_off(),
            Self::Opaque => false,
        }
    }

    /// Returns the content of a media type, which may have parameters.
    fn of_media_type(media_type: &[u8]) -> Self {
        let end = media_type.iter().position(|byte| *byte == b';');
        let name = media_type[..end.unwrap_or(media_type.len())].trim_ascii();
        let suffix = &name[name.len().saturating_sub(JSON_SUFFIX.len())..];
        if name.eq_ignore_ascii_case(EVENT_STREAM) {
            Self::Events(EventBorder::default())
        } else if name.eq_ignore_ascii_case(JSON) || suffix.eq_ignore_ascii_case(JSON_SUFFIX) {
            Self::Json(JsonText::default())
        } else {
            Self::Opaque
        }
    }
}
