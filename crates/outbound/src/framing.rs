//! How the end of an answer's body is marked.

use hyper::{
    HeaderMap, Method, Response, StatusCode, Version,
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
};

/// What marks the end of an answer's body (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// A length, or an answer that has no body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection. A body that was cut can't be told from a whole one, unless the
    /// connection was reset.
    Connection,
}

impl Framing {
    /// The framing of an answer to a request with the given method.
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let bodiless = status.is_informational()
            || [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
        if bodiless || *method == Method::HEAD {
            return Self::Length;
        }
        let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        match last.and_then(|v| v.to_str().ok()?.rsplit(',').next()) {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Self::Chunks,
            None if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            _ => Self::Connection,
        }
    }

    /// The value of `framing` in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Makes the end of the connection the only mark of a response's end. Its body must not tell its
/// length. hyper sends such a body in chunks unless the version is HTTP/1.0.
pub fn end_with_connection<B>(response: &mut Response<B>) {
    *response.version_mut() = Version::HTTP_10;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
