//! Errors sent to callers, as RFC 9457 problem documents.

use std::{sync::Arc, time::Duration};

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use ident::Name;
use serde::Serialize;

use crate::router::ProblemLabel;

/// Whether a back end ran the failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request was not run.
    No,
    /// The request may have been run.
    Unknown,
    /// The request was run, but its answer cannot be returned now.
    Yes,
}

/// Reason why a request was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The request has no API key or an unknown one.
    #[error("present a valid API key as `authorization: Bearer KEY`")]
    Unauthorised,
    /// The body or a header is malformed.
    #[error("{0}")]
    Malformed(Arc<str>),
    /// The body exceeds the instance's limit, in bytes.
    #[error("the body is too large; this instance takes at most {0} bytes")]
    TooLarge(usize),
    /// The prompt exceeds the team's limit.
    #[error("the prompt has {got} bytes; the team's limit is {limit}")]
    PromptTooLong {
        /// Size of the prompt, in bytes.
        got: usize,
        /// Limit of the team, in bytes.
        limit: u32,
    },
    /// The model does not exist, or the team may not use it.
    #[error("the team may not use model {0}; ask the operator for the team's models")]
    UnknownModel(Name),
    /// The target does not exist, belongs to another organisation, or the team may not use it.
    #[error("the team may not reach target {0}; ask the operator for the team's targets")]
    UnknownTarget(Name),
    /// The team's template is not in the configuration in force.
    #[error("team {0} has no template in force; ask the operator to restore it")]
    NoTemplate(Name),
    /// The team is at its limit of rate or of requests in flight, or has a request with the same
    /// identifier.
    #[error("the team is above its limit; come back at the time given")]
    Limited,
    /// The queue is full, or the deadline cannot be met.
    #[error("the deadline cannot be met; come back at the time given")]
    Deadline,
    /// No replica can take the request now.
    #[error("no replica can take the request now; come back at the time given")]
    NoReplica,
    /// The instance cannot confirm that its configuration is in force.
    #[error("this instance cannot confirm its configuration; use another address")]
    Stale,
    /// The instance has started and has not received its configuration yet.
    #[error("this instance is not ready; use another address")]
    NotReady,
    /// The stream handle is invalid, or belongs to another team or another request.
    #[error("the Last-Event-ID does not belong to this request; send the request without it")]
    BadHandle,
    /// The call needs an idempotency key.
    #[error("send an `Idempotency-Key` of 1 to 128 visible ASCII characters with this call")]
    NoKey,
    /// The idempotency key was used with another request.
    #[error("this Idempotency-Key was used with another request; choose a new key")]
    KeyReused,
    /// A call with this key is running.
    #[error("a call with this Idempotency-Key is running; look its outcome up later")]
    Running,
    /// A call with this key may have run.
    #[error(
        "a call with this key may have run and its outcome is not known; check with the service before using a new key"
    )]
    MayHaveRun,
    /// No call with this key has run or is running.
    #[error("no call with this key is known")]
    NoOutcome,
    /// The claim of the call could not be written, so the call was not sent.
    #[error("the call could not be claimed and was not sent; come back at the time given")]
    NotClaimed,
    /// The claim of this key could not be read, so it is unknown whether an earlier call ran.
    #[error(
        "this call was not sent, and earlier calls with its key cannot be looked up now; repeat it with the same key"
    )]
    ClaimUnreadable,
    /// An earlier call with this key was run, but its stored outcome could not be read.
    #[error("the call ran; its outcome cannot be read now, ask again with the same key")]
    OutcomeUnreadable,
    /// The target refused the call before running it.
    #[error("the target did not run the call; come back at the time given")]
    Refused,
    /// The back end failed while it ran the request.
    #[error("the target failed; repeat the request")]
    Upstream,
}

impl ProblemKind {
    /// Returns the status of the problem document and the last part of its type.
    fn status_and_label(&self) -> (StatusCode, &'static str) {
        match self {
            Self::Unauthorised => (StatusCode::UNAUTHORIZED, "unauthorised"),
            Self::Malformed(_) => (StatusCode::BAD_REQUEST, "malformed"),
            Self::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
            Self::PromptTooLong { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "prompt-too-long"),
            Self::UnknownModel(_) => (StatusCode::NOT_FOUND, "unknown-model"),
            Self::UnknownTarget(_) => (StatusCode::NOT_FOUND, "unknown-target"),
            Self::NoTemplate(_) => (StatusCode::FORBIDDEN, "no-template"),
            Self::Limited => (StatusCode::TOO_MANY_REQUESTS, "limited"),
            Self::Deadline => (StatusCode::SERVICE_UNAVAILABLE, "deadline"),
            Self::NoReplica => (StatusCode::SERVICE_UNAVAILABLE, "no-replica"),
            Self::Stale => (StatusCode::SERVICE_UNAVAILABLE, "stale"),
            Self::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not-ready"),
            Self::BadHandle => (StatusCode::CONFLICT, "bad-handle"),
            Self::NoKey => (StatusCode::BAD_REQUEST, "no-key"),
            Self::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, "key-reused"),
            Self::Running => (StatusCode::CONFLICT, "running"),
            Self::MayHaveRun => (StatusCode::BAD_GATEWAY, "may-have-run"),
            Self::NoOutcome => (StatusCode::NOT_FOUND, "no-outcome"),
            Self::NotClaimed => (StatusCode::SERVICE_UNAVAILABLE, "not-claimed"),
            Self::ClaimUnreadable => (StatusCode::SERVICE_UNAVAILABLE, "claim-unread"),
            Self::OutcomeUnreadable => (StatusCode::SERVICE_UNAVAILABLE, "outcome-unread"),
            Self::Refused => (StatusCode::SERVICE_UNAVAILABLE, "refused"),
            Self::Upstream => (StatusCode::BAD_GATEWAY, "upstream"),
        }
    }

    /// Returns the last part of the problem's type, which is also a metric label.
    pub fn label(&self) -> &'static str {
        self.status_and_label().1
    }

    fn ran(&self) -> Ran {
        match self {
            Self::Running | Self::MayHaveRun | Self::ClaimUnreadable | Self::Upstream => {
                Ran::Unknown
            }
            Self::OutcomeUnreadable => Ran::Yes,
            _ => Ran::No,
        }
    }
}

/// Error response to a caller: a [`ProblemKind`], whether the request was run, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Reason of the error.
    pub kind: ProblemKind,
    /// Whether a back end ran the request.
    pub ran: Ran,
    /// Delay that the caller is advised to wait before a retry; `None` if no delay is advised. The
    /// text of `kind` says whether to retry.
    pub retry: Option<Duration>,
}

impl Problem {
    /// Creates the problem for `kind` with the advice to retry after `retry`.
    pub fn after(kind: ProblemKind, retry: Duration) -> Self {
        Self { retry: Some(retry), ..Self::from(kind) }
    }

    /// Returns the problem document.
    pub fn document(&self) -> ProblemWire {
        let (status, kind) = self.kind.status_and_label();
        ProblemWire {
            kind: format!("urn:lentilpitch:problem:{kind}"),
            title: kind,
            status: status.as_u16(),
            detail: self.kind.to_string(),
            ran: self.ran,
            retry_after_ms: self.retry.map(|r| u64::try_from(r.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

impl From<ProblemKind> for Problem {
    fn from(kind: ProblemKind) -> Self {
        Self { ran: kind.ran(), kind, retry: None }
    }
}

/// A problem document (RFC 9457) with the extension members `ran` and `retry_after_ms`.
#[derive(Debug, Serialize)]
pub struct ProblemWire {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: String,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let (status, label) = self.kind.status_and_label();
        let mut response = (status, Json(self.document())).into_response();
        response.extensions_mut().insert(ProblemLabel(label));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(retry) = self.retry {
            // `Retry-After` is in whole seconds. A caller that retries too early is only refused
            // again.
            let seconds = retry.as_millis().div_ceil(1000);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds.min(3600) as u32));
        }
        response
    }
}
