//! What a request says about its prompt.

use std::{fmt, sync::Arc};

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Identifies its content.
    pub id: Arc<str>,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A prompt as the client describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model that is to answer.
    pub model: Arc<str>,
    /// Tokens of the whole prompt.
    pub input: u64,
    /// Tokens that are expected to be generated.
    pub output: u64,
    /// In the prompt's order; the last belongs to the request itself.
    pub parts: Vec<Part>,
}

/// The parts in order, each as its id and tokens.
impl fmt::Display for Prompt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, part) in self.parts.iter().enumerate() {
            let comma = if at == 0 { "" } else { "," };
            write!(f, "{comma}{}:{}", part.id, part.tokens)?;
        }
        Ok(())
    }
}

impl Prompt {
    /// The parts that other requests may bring again.
    pub fn shared(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|p| p.tokens).sum()
    }

    /// What decides where the shared parts are at home: the most specific of them.
    pub fn context(&self) -> Option<&Part> {
        self.shared().last()
    }
}
