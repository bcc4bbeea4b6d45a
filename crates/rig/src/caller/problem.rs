//! Problem documents, in which the system reports refusals and failures.

use std::{fmt, time::Duration};

use serde::Deserialize;

use crate::Reply;

/// Whether a request was run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request was certainly not run.
    No,
    /// The request may have been run.
    #[default]
    Unknown,
    /// The request was run.
    Yes,
}

/// A problem document (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status in the document, or of the answer.
    pub status: u16,
    /// Problem type, a URI; empty if the text was no problem document.
    pub kind: String,
    /// Detail, or the title if there is no detail.
    pub detail: String,
    /// Whether the request was run.
    pub ran: Ran,
    /// Pause before a retry; `None` if a retry is useless.
    pub retry: Option<Duration>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ProblemWire {
    status: Option<u16>,
    #[serde(rename = "type")]
    kind: String,
    title: String,
    detail: String,
    ran: Ran,
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Whether the last part of the problem type is `name`.
    pub fn is(&self, name: &str) -> bool {
        self.kind.rsplit(':').next() == Some(name)
    }

    /// Parses an answer that is not a success.
    pub(super) fn from_reply(reply: &Reply) -> Self {
        let seconds = reply.header("retry-after").and_then(|v| v.parse().ok());
        let mut problem = Self::from_text(&reply.text(), reply.status.as_u16());
        problem.retry = problem.retry.or(seconds.map(Duration::from_secs));
        problem
    }

    /// Parses the data of a `problem` event, or any text that should be a problem document.
    pub(super) fn from_text(text: &str, status: u16) -> Self {
        let wire: ProblemWire = serde_json::from_str(text)
            .unwrap_or_else(|_| ProblemWire { detail: text.to_owned(), ..ProblemWire::default() });
        let detail = if wire.detail.is_empty() { wire.title } else { wire.detail };
        let retry = wire.retry_after_ms.map(Duration::from_millis);
        let status = wire.status.unwrap_or(status);
        Self { status, kind: wire.kind, detail, ran: wire.ran, retry }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { status, kind, detail, ran, .. } = self;
        write!(f, "{status} {kind} (ran: {ran:?}): {detail}")
    }
}
