//! The keys of pieces.

use std::{fmt, str::FromStr};

use ident::{Digest, Name, ParseIdError, Secret};
use serde::{Deserialize, Serialize};

/// Number of bytes of prompt text in one piece.
pub const PIECE_BYTES: usize = 1024;

// Labels that separate the keyed digests by purpose. A change invalidates all stored pieces.
const SCOPE_LABEL: &[u8] = b"piece scope";
const PIECE_LABEL: &[u8] = b"piece key";
const SALT_LABEL: &[u8] = b"engine cache salt";

/// The scope of a context: the team that it belongs to and the weights that compute it. Contexts of
/// different scopes have no key in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scope {
    /// Organisation of the team.
    pub org: Name,
    /// Name of the team, as in its credential.
    pub team: Name,
    /// Name of the model.
    pub model: Name,
    /// Weights version of the model.
    pub weights: Name,
    /// Adapter that is applied to the weights; `None` without one.
    pub adapter: Option<Name>,
}

/// The key of a piece.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PieceKey(pub Digest);

impl fmt::Display for PieceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for PieceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for PieceKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        text.parse().map(Self)
    }
}

/// Returns the keys of the full pieces of `prompt`, in order. A last piece that is shorter than
/// [`PIECE_BYTES`] has no key.
pub fn piece_keys(secret: &Secret, scope: &Scope, prompt: &[u8]) -> Vec<PieceKey> {
    let root = scope_digest(secret, scope);
    let mut prev = root;
    let pieces = prompt.chunks_exact(PIECE_BYTES);
    pieces
        .map(|text| {
            prev = secret.mac(&[PIECE_LABEL, &root.0, &prev.0, text]);
            PieceKey(prev)
        })
        .collect()
}

/// Returns the salt that separates an engine's own prefix cache by organisation and team. It is a
/// keyed digest, unlike the salt of crate `place`.
pub fn cache_salt(secret: &Secret, scope: &Scope) -> Digest {
    secret.mac(&[SALT_LABEL, scope.org.as_str().as_bytes(), scope.team.as_str().as_bytes()])
}

fn scope_digest(secret: &Secret, scope: &Scope) -> Digest {
    let (has_adapter, adapter) = match &scope.adapter {
        Some(name) => (b"1", name.as_str()),
        None => (b"0", ""),
    };
    secret.mac(&[
        SCOPE_LABEL,
        scope.org.as_str().as_bytes(),
        scope.team.as_str().as_bytes(),
        scope.model.as_str().as_bytes(),
        scope.weights.as_str().as_bytes(),
        has_adapter,
        adapter.as_bytes(),
    ])
}
