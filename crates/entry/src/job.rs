//! A completion to be served.

use std::sync::Arc;

use ident::{Digest, Name};
use kv::{PieceKey, Scope};

use crate::{asked::Asked, body::Prompt, core::Core};

/// A completion request with all that routing needs to know of it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Who asks, by when.
    pub asked: Asked,
    /// What is asked.
    pub prompt: Prompt,
}

impl Job {
    /// Identifies the context of the prompt among all teams' contexts.
    pub fn context(&self) -> Digest {
        let team = self.asked.grant.team.as_str();
        Digest::of(format!("{team}/{}", self.prompt.context).as_bytes())
    }

    /// The scope of the prompt's cache under a weight version.
    pub fn scope(&self, weights: &Name) -> Scope {
        Scope {
            org: self.asked.grant.org.clone(),
            team: self.asked.grant.team.clone(),
            model: self.prompt.model.clone(),
            weights: weights.clone(),
            adapter: None,
        }
    }

    /// Keys of the prompt's full pieces under a weight version.
    pub fn keys(&self, core: &Core, weights: &Name) -> Arc<[PieceKey]> {
        let text = self.prompt.text.as_bytes();
        kv::chain(&core.secrets.cache, &self.scope(weights), text).into()
    }

    /// Rough number of tokens in the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        let tokens = self.prompt.text.len().div_ceil(BYTES_PER_TOKEN);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }
}

/// Bytes of prompt text that make a token, on average.
const BYTES_PER_TOKEN: usize = 4;
