//! Validated names that are cheap to clone.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
const MAX_BYTES: usize = 64;

/// Name of a team, target, zone, instance, model, version or organisation.
///
/// Invariant: 1 to 64 bytes of `a-z`, `0-9`, `.`, `_` and `-`, starting with a letter or digit.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Error for a text that is not a valid [`Name`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than 64 bytes.
    #[error("a name has at most {MAX_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The text contains a character that is not allowed at its position.
    #[error(
        "a name holds only a-z, 0-9, '.', '_' and '-' and starts with a letter or digit; found {0:?}"
    )]
    BadChar(char),
}

impl Name {
    /// Validates `text` and creates a name.
    pub fn new(text: &str) -> Result<Self, NameError> {
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > MAX_BYTES {
            return Err(NameError::TooLong(text.len()));
        }
        let alnum = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
        if let Some(c) = text.chars().find(|&c| !alnum(c) && !matches!(c, '.' | '_' | '-')) {
            return Err(NameError::BadChar(c));
        }
        match text.chars().next() {
            Some(c) if !alnum(c) => Err(NameError::BadChar(c)),
            _ => Ok(Self(text.into())),
        }
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::new(text)
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.as_str().to_owned()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.0, f)
    }
}
