//! Urgency of a request.

use serde::{Deserialize, Serialize};

/// How urgent a request is. Interactive requests go before batch requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Somebody waits for the first token.
    Interactive,
    /// The answer may wait a little.
    Batch,
}

impl Class {
    /// The class as metrics and headers write it.
    pub fn label(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}
