//! Error responses in `application/problem+json`.

use std::time::Duration;

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use fields::Faults;
use ident::{RequestId, Rev};

use crate::{ControlError, ProblemWire};

/// Media type of problem details (RFC 9457).
const MEDIA_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// Error of a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The operator's key is missing or wrong.
    #[error("send an operator's key as `authorization: Bearer KEY`")]
    Unauthorised,
    /// The document, list or path does not exist.
    #[error("there is no such document or path")]
    NotFound,
    /// The path does not take this method.
    #[error("this path does not take this method")]
    Method,
    /// The body is larger than the limit.
    #[error("the body is larger than {} bytes", crate::MAX_BODY)]
    TooLarge,
    /// A header or parameter is wrong.
    #[error("{0}")]
    BadRequest(String),
    /// A change does not name the revision that it replaces.
    #[error("send `if-match: \"r<rev>\"` to change or remove, `if-none-match: *` to create")]
    PreconditionRequired,
    /// The document is not at the expected revision. The change was not accepted.
    #[error("the document was changed meanwhile; read it and decide again")]
    Stale {
        /// Revision of the present document; `None` if it was removed.
        current: Option<Rev>,
    },
    /// The document to be created exists. The change was not accepted.
    #[error("the document exists; send `if-match` to change it")]
    Exists {
        /// Revision of the present document.
        current: Rev,
    },
    /// Another change was accepted with this id.
    #[error("change id {id} was accepted for another change; make a new one")]
    IdReused {
        /// Id of both changes.
        id: RequestId,
        /// Revision of the accepted change.
        current: Rev,
    },
    /// The document is invalid. The change was not accepted.
    #[error("the document needs changes:\n{0}")]
    Invalid(Faults),
    /// The table service can't be reached. The change was not accepted.
    #[error("the table service can't be reached; nothing was accepted")]
    Unavailable {
        /// Delay after which a retry makes sense.
        retry_after: Duration,
    },
    /// It is not known whether the change was accepted.
    #[error("the change may have been accepted; send it again with the same change id {id}")]
    Unknown {
        /// Id of the change.
        id: RequestId,
    },
}

impl Problem {
    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::PreconditionRequired => StatusCode::PRECONDITION_REQUIRED,
            Self::Stale { .. } => StatusCode::PRECONDITION_FAILED,
            Self::Exists { .. } | Self::IdReused { .. } => StatusCode::CONFLICT,
            Self::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the last segment of the problem's type URN.
    pub fn slug(&self) -> &'static str {
        match self {
            Self::Unauthorised => "unauthorised",
            Self::NotFound => "not-found",
            Self::Method => "method",
            Self::TooLarge => "too-large",
            Self::BadRequest(_) => "bad-request",
            Self::PreconditionRequired => "precondition-required",
            Self::Stale { .. } => "stale",
            Self::Exists { .. } => "exists",
            Self::IdReused { .. } => "id-reused",
            Self::Invalid(_) => "invalid",
            Self::Unavailable { .. } => "unavailable",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Returns the title, which is the same for all problems of a type.
    pub fn title(&self) -> &'static str {
        match self {
            Self::Unauthorised => "Not an operator",
            Self::NotFound => "Not found",
            Self::Method => "Method not allowed",
            Self::TooLarge => "Body too large",
            Self::BadRequest(_) => "Bad request",
            Self::PreconditionRequired => "No revision named",
            Self::Stale { .. } => "Changed meanwhile",
            Self::Exists { .. } => "Exists",
            Self::IdReused { .. } => "Change id used before",
            Self::Invalid(_) => "Invalid document",
            Self::Unavailable { .. } => "Table service unavailable",
            Self::Unknown { .. } => "Outcome unknown",
        }
    }

    /// Returns the delay after which a retry makes sense; `None` if the same request fails again.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Unavailable { retry_after } => Some(*retry_after),
            Self::Unknown { .. } => Some(Duration::from_secs(1)),
            _ => None,
        }
    }
}

impl From<ControlError> for Problem {
    fn from(error: ControlError) -> Self {
        match error {
            ControlError::Stale { current } => Self::Stale { current },
            ControlError::IdReused { id, current } => Self::IdReused { id, current },
            ControlError::Invalid(faults) => Self::Invalid(faults),
            ControlError::Unavailable { retry_after } => Self::Unavailable { retry_after },
            ControlError::Unknown { id } => Self::Unknown { id },
            ControlError::Missing => Self::NotFound,
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status = self.status();
        let retry = self.retry_after().map(|d| d.as_millis().div_ceil(1000));
        let mut answer = (status, Json(ProblemWire::from(self))).into_response();
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, MEDIA_TYPE);
        if let Some(seconds) = retry {
            let value = HeaderValue::from_str(&seconds.to_string());
            headers.insert(header::RETRY_AFTER, value.expect("digits are a valid header value"));
        }
        if status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        answer
    }
}
