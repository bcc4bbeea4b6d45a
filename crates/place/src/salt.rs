//! Cache salts: the texts that keep apart KV cache that must not be shared.

use std::{fmt, sync::Arc};

use fleet::CacheScope;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// Characters that are escaped in names: the separator, and what is not valid in a header.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~').remove(b':');

/// What a cache salt stands for.
///
/// Written as `MODEL/VERSION`, followed by `/TEAM` for a dedicated team, or by `//DIGEST` for teams
/// that share while others are dedicated. Names are escaped, so that two different values have
/// different texts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Salt {
    /// Name of the model.
    pub model: Arc<str>,
    /// Version of its weights.
    pub version: u64,
    /// Requests that share under the salt.
    pub scope: CacheScope,
}

impl Salt {
    /// Returns what a salt stands for; `None` if the text is not a salt.
    pub fn parse(text: &str) -> Option<Self> {
        let words: Vec<&str> = text.split('/').collect();
        let (model, version, scope) = match words[..] {
            [model, version] => (model, version, CacheScope::Shared(None)),
            [model, version, team] => (model, version, CacheScope::Team(unescape(team)?)),
            [model, version, "", digest] => {
                (model, version, CacheScope::Shared(Some(digest.parse().ok()?)))
            }
            _ => return None,
        };
        Some(Self { model: unescape(model)?, version: version.parse().ok()?, scope })
    }
}

impl fmt::Display for Salt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", utf8_percent_encode(&self.model, ESCAPED), self.version)?;
        match &self.scope {
            CacheScope::Team(team) => write!(f, "/{}", utf8_percent_encode(team, ESCAPED)),
            CacheScope::Shared(Some(digest)) => write!(f, "//{digest}"),
            CacheScope::Shared(None) => Ok(()),
        }
    }
}

fn unescape(text: &str) -> Option<Arc<str>> {
    Some(percent_decode_str(text).decode_utf8().ok()?.into())
}

/// Returns the cache salt of requests with this scope. Parts are shared only within one version of a
/// model's weights and one scope. The salt is plain text, unlike the keyed digest of crate `kv`.
pub fn cache_salt(model: &str, version: u64, scope: CacheScope) -> Arc<str> {
    Salt { model: model.into(), version, scope }.to_string().into()
}
