//! A request's description of its prompt.

use std::{fmt, sync::Arc};

/// A part of a prompt that other requests may share. The caller chooses its length, unlike that of
/// the pieces of crate `kv`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Identifier of the part's content.
    pub id: Arc<str>,
    /// Length of the part, in tokens.
    pub tokens: u64,
}

/// A prompt as the caller describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Model that the request is for.
    pub model: Arc<str>,
    /// Length of the whole prompt, in tokens.
    pub input_tokens: u64,
    /// Number of tokens that are expected to be generated.
    pub output_tokens: u64,
    /// Parts in the prompt's order. The last part belongs to this request only; the others may be
    /// shared.
    pub parts: Vec<Part>,
}

/// Writes the parts in order, each as `id:tokens`, separated by commas.
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
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Total tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|p| p.tokens).sum()
    }

    /// Returns the part that determines the preferred replica: the last shared part, which is the
    /// most specific. `None` if no part is shared.
    pub fn context(&self) -> Option<&Part> {
        self.shared().last()
    }
}
