//! Urgency class of a request.

use serde::{Deserialize, Serialize};

/// Urgency class of a request. Interactive requests take precedence over batch requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A user waits for the first token.
    Interactive,
    /// The answer may be delayed.
    Batch,
}

impl Class {
    /// Returns the name of the class in metrics and headers.
    pub fn label(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}
