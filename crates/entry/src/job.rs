//! Completion requests.

use std::sync::Arc;

use ident::{Digest, Name};
use kv::{PieceKey, Scope};

use crate::{body::Prompt, core::Core, request_meta::RequestMeta};

/// A completion request with everything that routing needs.
#[derive(Debug, Clone)]
pub struct Job {
    /// Team, class and deadline of the request.
    pub meta: RequestMeta,
    /// Parsed body of the request.
    pub prompt: Prompt,
}

impl Job {
    /// Returns a digest that identifies the prompt's context among the contexts of all teams.
    pub fn context(&self) -> Digest {
        let team = self.meta.grant.team.as_str();
        Digest::of(format!("{team}/{}", self.prompt.context).as_bytes())
    }

    /// Returns the scope of the prompt's pieces for a weights version.
    pub fn scope(&self, weights: &Name) -> Scope {
        Scope {
            org: self.meta.grant.org.clone(),
            team: self.meta.grant.team.clone(),
            model: self.prompt.model.clone(),
            weights: weights.clone(),
            adapter: None,
        }
    }

    /// Returns the keys of the prompt's full pieces for a weights version. A piece is the KV cache
    /// of [`kv::PIECE_BYTES`] bytes of the prompt's text.
    pub fn keys(&self, core: &Core, weights: &Name) -> Arc<[PieceKey]> {
        let text = self.prompt.text.as_bytes();
        kv::piece_keys(&core.secrets.cache, &self.scope(weights), text).into()
    }

    /// Estimates the number of tokens in the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        let tokens = self.prompt.text.len().div_ceil(BYTES_PER_TOKEN);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }
}

/// Average number of bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;
